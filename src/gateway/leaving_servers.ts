/**
 * Servers that are leaving, by what any source says of them: the list of
 * servers, or their own responses, which say so even if the list does not yet,
 * or can't be read. A run of a server that is leaving does not become ready
 * again; a later run is another one.
 */
import type { RoutedServer } from '../routing/mod.ts'

/** A run of a server. */
export type ServerRun = Pick<RoutedServer, 'id' | 'bornAt'>

/** Servers that are leaving, as one host knows them. */
export interface LeavingServers {
  /** Records that a server is leaving; returns whether this was not known. */
  record (server: ServerRun): boolean
  has (server: ServerRun): boolean
  /** Time since the server was found to be leaving, in milliseconds; 0 if it is not. */
  sinceMs (server: ServerRun): number
  /** Forgets runs that have not been listed for long. */
  onListed (servers: readonly ServerRun[]): void
}

interface LeavingRun { readonly since: number, listedAt: number }

/** Time for which a server that is no longer listed is remembered, in milliseconds: entries of live servers may be missing from the list during an outage of the store. */
const UNLISTED_RETENTION_MS = 60_000

/**
 * Creates a record without servers.
 *
 * @param now Monotonic time in milliseconds.
 * @returns The record.
 */
export function createLeavingServers (now: () => number): LeavingServers {
  const runs = new Map<string, LeavingRun>()

  function keyOf ({ id, bornAt }: ServerRun): string {
    return `${bornAt} ${id}`
  }

  function runOf (server: ServerRun): LeavingRun | undefined {
    return runs.get(keyOf(server))
  }

  return {
    record (server) {
      if (runOf(server) !== undefined) return false
      runs.set(keyOf(server), { since: now(), listedAt: now() })
      return true
    },
    has: (server) => runOf(server) !== undefined,
    sinceMs (server) {
      const run = runOf(server)
      return run === undefined ? 0 : now() - run.since
    },
    onListed (servers) {
      for (const server of servers) {
        const run = runOf(server)
        if (run !== undefined) run.listedAt = now()
      }
      for (const [key, { listedAt }] of runs) if (now() - listedAt > UNLISTED_RETENTION_MS) runs.delete(key)
    }
  }
}
