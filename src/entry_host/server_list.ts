/**
 * Which backend servers count as present.
 *
 * Entries of servers may lapse while the store is away although the servers
 * live. A missing entry therefore counts only if the store has answered for
 * some time; until then the server is kept as it was last listed.
 */
import type { RoutedServer } from '../routing/mod.ts'

/** Time after the store's return within which living servers are listed again, in milliseconds; the platform states two seconds. */
const RETURN_MS = 2500

/** Servers as one host believes in them. */
export interface ServerList {
  /** Takes in a list that was read; returns the servers that count as present. */
  onRead (servers: readonly RoutedServer[], now: number): readonly RoutedServer[]
  /** Notes that the store did not answer. */
  onFailure (now: number): void
}

/**
 * Creates an empty list.
 *
 * @returns The list.
 */
export function createServerList (): ServerList {
  let present: readonly RoutedServer[] = []
  let failedAt = -Infinity

  return {
    onRead (servers, now) {
      if (now - failedAt >= RETURN_MS) {
        present = servers
        return present
      }
      const listed = new Set(servers.map((server) => server.id))
      const addresses = new Set(servers.map((server) => server.address))
      // A server whose address another one has taken has ended.
      const kept = present.filter((server) => !listed.has(server.id) && !addresses.has(server.address))
      present = [...servers, ...kept]
      return present
    },
    onFailure (now) { failedAt = now }
  }
}
