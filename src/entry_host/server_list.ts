/**
 * Decides which backend servers are present.
 *
 * During a store outage, entries of live servers may expire. A missing entry
 * therefore removes a server only after the store has been responding for some
 * time; until then the server is kept as it was last listed.
 */
import type { RoutedServer } from '../routing/mod.ts'

/** Time after a store outage within which live servers are listed again, in milliseconds; the platform documents two seconds. */
const RELISTING_GRACE_MS = 2500

/** Servers that one host considers present. */
export interface ServerList {
  /** Applies a list that was read; returns the servers considered present. */
  onRead (servers: readonly RoutedServer[], now: number): readonly RoutedServer[]
  /** Records that the store did not respond. */
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
      if (now - failedAt >= RELISTING_GRACE_MS) {
        present = servers
        return present
      }
      const listed = new Set(servers.map((server) => server.id))
      const addresses = new Set(servers.map((server) => server.address))
      // A server has ended if another server uses its address.
      const kept = present.filter((server) => !listed.has(server.id) && !addresses.has(server.address))
      present = [...servers, ...kept]
      return present
    },
    onFailure (now) { failedAt = now }
  }
}
