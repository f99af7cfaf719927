/**
 * Decides which backend servers are present.
 *
 * During a store outage, entries of live servers may expire, and a store that is
 * restored from a copy lists servers as they were seconds ago. A missing entry
 * therefore removes a server only after the store has been responding, and has
 * not been restored, for some time; until then the server is kept as it was last
 * listed. A server that was leaving does not become ready again, and one that had
 * left does not return with an entry that may have been restored.
 */
import type { RoutedServer } from '../routing/mod.ts'
import type { PublishedValue } from './store_reader.ts'

/** Time after a store outage within which live servers are listed again, in milliseconds; the platform documents two seconds. */
const RELISTING_GRACE_MS = 2500

/** Time after a restore within which the entry of a server that has left may have come from the copy, in milliseconds: the platform removes such an entry after three missed heartbeats, which are a second apart at most, once servers had time to be listed again. */
const RESTORED_ENTRY_LIFETIME_MS = 6000

/** Time for which servers that have left are remembered, in milliseconds: longer than the history that a restore loses. */
const DEPARTURE_MEMORY_MS = 60_000

/** Servers that one host considers present. */
export interface ServerList {
  /** Applies a list that was read; returns the servers considered present. */
  onRead (list: PublishedValue<readonly RoutedServer[]>, now: number): readonly RoutedServer[]
  /** Records the servers that this host uses, when they come from the leader. */
  record (servers: readonly RoutedServer[], now: number): void
  /** Records that the store did not respond. */
  onFailure (now: number): void
}

/** A server that is no longer present. */
interface Departure {
  readonly server: RoutedServer
  readonly at: number
}

/**
 * Creates an empty list.
 *
 * @returns The list.
 */
export function createServerList (): ServerList {
  let present: readonly RoutedServer[] = []
  let era: number | null = null
  let failedAt = -Infinity
  let restoredAt = -Infinity
  const departures = new Map<string, Departure>()

  function record (servers: readonly RoutedServer[], now: number): void {
    const ids = new Set(servers.map((server) => server.id))
    for (const server of present) if (!ids.has(server.id)) departures.set(server.id, { server, at: now })
    for (const id of ids) departures.delete(id)
    for (const [id, { at }] of departures) if (now - at > DEPARTURE_MEMORY_MS) departures.delete(id)
    present = servers
  }

  /** Whether the entry has been restored: its server is known to have left, or to have started again since. */
  function isOutdated (entry: RoutedServer, known: RoutedServer | undefined, now: number): boolean {
    if (known === undefined || now - restoredAt >= RESTORED_ENTRY_LIFETIME_MS) return false
    return entry.bornAt < known.bornAt || (departures.has(entry.id) && isSameRun(entry, known))
  }

  return {
    onRead (list, now) {
      if (era !== null && list.era < era) return present
      if (era !== null && list.era > era) restoredAt = now
      era = list.era
      const known = new Map(present.map((server) => [server.id, server]))
      for (const [id, { server }] of departures) known.set(id, server)
      const servers = list.value.filter((server) => !isOutdated(server, known.get(server.id), now)).map((server) => {
        const before = known.get(server.id)
        return before?.leaving === true && isSameRun(before, server) ? { ...server, leaving: true } : server
      })
      const listed = new Set(servers.map((server) => server.id))
      const addresses = new Set(servers.map((server) => server.address))
      // An outdated entry stands for a server that is listed.
      const relisted = present.filter((server) => !listed.has(server.id) && list.value.some((entry) => entry.id === server.id))
      const isComplete = now - Math.max(failedAt, restoredAt) >= RELISTING_GRACE_MS
      // A server has ended if another server uses its address.
      const kept = isComplete ? relisted : present.filter((server) => !listed.has(server.id) && !addresses.has(server.address))
      record([...servers, ...kept], now)
      return present
    },
    record,
    onFailure (now) { failedAt = now }
  }
}

/** Whether two entries are of the same run of a server: a later run may have the same identifier. */
function isSameRun (left: RoutedServer, right: RoutedServer): boolean {
  return left.bornAt !== 0 && left.bornAt === right.bornAt
}
