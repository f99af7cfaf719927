/**
 * Stores the requests that are refused, so that they stay refused when all
 * hosts are lost. The leader writes them in one row together with its lease.
 */
import { NO_EVIDENCE, type Evidence, type Refusal } from '../fatal_requests/mod.ts'
import type { Leadership } from '../leadership/mod.ts'
import type { Logger } from '../logging/mod.ts'
import type { TableService } from '../ports/mod.ts'

/** Key of the row. */
export const REFUSALS_KEY = 'refused-requests'

/** Maximum number of refusals in the row, the newest ones: a row holds 64 KiB. */
const MAXIMUM_STORED_REFUSALS = 256

/** Options of {@link createRefusalStore}. */
export interface RefusalStoreOptions {
  readonly table: TableService
  readonly leadership: Pick<Leadership, 'isLeading' | 'isStoreUnavailable' | 'recordPosition' | 'write'>
  /** What this host knows of refused requests. */
  readonly evidence: () => Evidence
  /** Called with the stored refusals after this host has become leader. */
  readonly onLoaded: (evidence: Evidence) => void
  readonly logger: Logger
  /** Monotonic time, and wall-clock time, which is the same on all hosts, in milliseconds. */
  readonly now: () => number
  readonly wallClock: () => number
}

/** Store of refused requests. */
export interface RefusalStore {
  /** As the leader, reads the row once and then writes it whenever the refusals have changed; called regularly. */
  tick (): Promise<void>
  /** Makes the leader write the row again, because the store may have lost it. */
  invalidate (): void
}

/** Refusal with times of the wall clock. */
type StoredRefusal = readonly [fingerprint: string, refusedAt: number, until: number, times: number]

/**
 * Creates the store of one host.
 *
 * @param options Table service, lease and refusals.
 * @returns The store.
 */
export function createRefusalStore (options: RefusalStoreOptions): RefusalStore {
  const { leadership, logger } = options
  let isLoaded = false
  let isRunning = false
  let written = ''

  async function load (): Promise<void> {
    const rows = await options.table.changes(REFUSALS_KEY, 0)
    if (!rows.ok) return
    isLoaded = true
    const row = rows.value.rows.find(({ key }) => key === REFUSALS_KEY)
    if (row === undefined) return
    leadership.recordPosition(REFUSALS_KEY, row)
    const refusals = parseRefusals(row.value)
    if (refusals === null) return logger.error({ key: row.key, era: row.era, revision: row.revision }, 'refusals-unreadable')
    const offset = options.now() - options.wallClock()
    options.onLoaded({ ...NO_EVIDENCE, refusals: refusals.map(([fingerprint, refusedAt, until, times]) => ({ fingerprint, refusedAt: refusedAt + offset, until: until + offset, times })) })
    logger.info({ refusals: refusals.length }, 'refusals-loaded')
  }

  async function save (): Promise<void> {
    const refusals = options.evidence().refusals.slice(-MAXIMUM_STORED_REFUSALS)
    const description = describe(refusals)
    if (description === written) return
    const offset = options.wallClock() - options.now()
    const value = { refusals: refusals.map(({ fingerprint, refusedAt, until, times }): StoredRefusal => [fingerprint, Math.round(refusedAt + offset), Math.round(until + offset), times]) }
    const outcome = await leadership.write([{ key: REFUSALS_KEY, value }])
    if (outcome === 'written') written = description
    logger.info({ refusals: refusals.length, outcome }, 'refusals-stored')
  }

  return {
    async tick () {
      if (isRunning) return
      if (!leadership.isLeading()) {
        isLoaded = false
        written = ''
        return
      }
      if (leadership.isStoreUnavailable()) return
      isRunning = true
      try {
        if (isLoaded) await save()
        else await load()
      } finally {
        isRunning = false
      }
    },
    invalidate () { written = '' }
  }
}

function describe (refusals: readonly Refusal[]): string {
  return refusals.map(({ fingerprint, times }) => `${fingerprint}/${times}`).sort().join()
}

function parseRefusals (value: unknown): StoredRefusal[] | null {
  if (typeof value !== 'object' || value === null || !('refusals' in value) || !Array.isArray(value.refusals)) return null
  return value.refusals.filter((entry: unknown): entry is StoredRefusal => Array.isArray(entry) && typeof entry[0] === 'string' && entry.slice(1, 4).length === 3 && entry.slice(1, 4).every(Number.isFinite))
}
