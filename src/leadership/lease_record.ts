/** The value of the lease's row. */
import type { StorePosition } from '../store_history/mod.ts'

/** Value of the lease's row. */
export interface LeaseRecord {
  /** Identifier of the holder's process; it changes when the host restarts. */
  readonly holder: string
  /** Address for connections from other hosts. */
  readonly address: string
  /** Whether the holder has released the lease. */
  readonly released: boolean
  /** Era of the store in which the lease was written; an earlier one than that of the row shows that the row was restored from a copy. */
  readonly era: number
  /** Number of hosts that share limits set for all of them, as known to the holder; earlier builds do not state it. */
  readonly hosts?: number
  /** For a released lease, how long after the release each backend server may still hold keys, in milliseconds. */
  readonly holdsMs?: Readonly<Record<string, number>>
}

/**
 * Decodes the lease's row.
 *
 * @param row The row as read from the table service.
 * @returns The lease, or `null` if the value is invalid.
 */
export function parseLease (row: StorePosition & { readonly value: unknown }): LeaseRecord | null {
  if (typeof row.value !== 'object' || row.value === null) return null
  const { holder, address, released, era, hosts, holdsMs } = row.value as Record<string, unknown>
  if (typeof holder !== 'string' || typeof address !== 'string' || typeof released !== 'boolean') return null
  // Earlier releases of this program do not state the era.
  const lease = { holder, address, released, era: typeof era === 'number' ? era : row.era, ...(isHostCount(hosts) ? { hosts } : {}) }
  const remainingMs = parseRemainingMs(holdsMs)
  return remainingMs === null ? lease : { ...lease, holdsMs: remainingMs }
}

function isHostCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) > 0
}

function parseRemainingMs (value: unknown): Record<string, number> | null {
  if (typeof value !== 'object' || value === null) return null
  const entries = Object.entries(value)
  return entries.every(([, remainingMs]) => typeof remainingMs === 'number') ? Object.fromEntries(entries) as Record<string, number> : null
}
