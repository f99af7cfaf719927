/** Exchange of suspects between the hosts of all cells: told to each at once, and kept in rows of the table service. */
import type { CellRow } from '../cell/mod.ts'
import type { Suspect, SuspectRegistry } from '../dispatch/mod.ts'
import type { TableService } from '../ports/mod.ts'
import type { ControlClient } from './control_router.ts'
import { CELLS_PREFIX } from './routes.ts'
import type { SharedRows } from './shared_rows.ts'

/** Start of the keys of the rows of suspects. */
export const SUSPECTS_PREFIX = 'gooseberryfold/suspects/'

/** Longest time that a caller waits for the other hosts to learn of a suspect, in milliseconds. */
const SHARE_TIMEOUT_MS = 500

/** Options of {@link createSuspectExchange}. */
export interface SuspectExchangeOptions {
  readonly host: string
  readonly table: TableService
  readonly rows: SharedRows
  readonly peer: (host: string) => ControlClient
  readonly registry: () => SuspectRegistry
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Exchange of one host. */
export interface SuspectExchange {
  /** Tells every host that is known; resolves when all know or the time limit has passed. */
  publish (suspects: readonly Suspect[]): Promise<void>
  /** Takes in the rows that are new since the last call. */
  applyRows (): void
  /** Clears a suspect here and in its row; `false` where the row could not be written. */
  clear (fingerprint: string): Promise<boolean>
}

/**
 * Creates the exchange of one host.
 *
 * @param options Table, rows, peers and ledger.
 * @returns The exchange.
 */
export function createSuspectExchange (options: SuspectExchangeOptions): SuspectExchange {
  const { rows, table } = options
  const adopted = new Map<string, number>()

  function otherHosts (): string[] {
    const hosts = rows.withPrefix(CELLS_PREFIX)
      .flatMap((row) => (row.value as CellRow).members.map((member) => member.host))
    return [...new Set(hosts)].filter((host) => host !== options.host)
  }

  async function keep (suspect: Suspect): Promise<void> {
    const key = SUSPECTS_PREFIX + suspect.fingerprint
    const expectedRevision = rows.get(key)?.revision ?? 0
    await table.write([{ key, expectedRevision, value: { crashes: suspect.crashes } }])
  }

  return {
    async publish (suspects) {
      const entries = suspects.map(({ fingerprint, crashes }) => ({ fingerprint, crashes }))
      const told = otherHosts().map(async (host) => { await options.peer(host).suspects.mutate(entries) })
      await Promise.race([
        Promise.allSettled([...told, ...suspects.map(keep)]),
        new Promise((resolve) => { setTimeout(resolve, SHARE_TIMEOUT_MS).unref() })
      ])
    },
    applyRows () {
      for (const row of rows.withPrefix(SUSPECTS_PREFIX)) {
        if (adopted.get(row.key) === row.revision) continue
        adopted.set(row.key, row.revision)
        const { crashes } = row.value as { readonly crashes: number }
        const fingerprint = row.key.slice(SUSPECTS_PREFIX.length)
        if (crashes > 0) options.registry().merge(fingerprint, crashes, options.now())
        else options.registry().clear(fingerprint)
      }
    },
    async clear (fingerprint) {
      options.registry().clear(fingerprint)
      const key = SUSPECTS_PREFIX + fingerprint
      const row = await table.read(key)
      if (!row.ok) return false
      if (row.value === null) return true
      const written = await table.write([{ key, expectedRevision: row.value.revision, value: { crashes: 0 } }])
      return written.ok
    }
  }
}
