/**
 * Chooses the host that relays requests to a server.
 *
 * Hosts do not know what other hosts have just sent, and in a large deployment
 * a host sends to a given server so rarely that every request would need a new
 * connection. One relay for each server, in the server's availability zone,
 * reuses its connections and knows all requests in flight at the server.
 */
import { createGroupFailureDetector, type Relay, type RelaySelector } from '../gateway/mod.ts'
import { rendezvousRank, type RoutedServer } from '../routing/mod.ts'

/** A host that can relay requests. */
export interface RelayHost {
  readonly host: string
  readonly zone: string
  /** Address at which it accepts requests from other hosts. */
  readonly address: string
  /** Share of the relayed requests, relative to other hosts; above 0. */
  readonly weight: number
}

/** Options of {@link createRelayDirectory}. */
export interface RelayDirectoryOptions {
  /** Name of this host, which sends directly to the servers that it relays for. */
  readonly host: string
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Relay directory of one host. */
export interface RelayDirectory extends RelaySelector {
  /** Replaces the hosts that can relay requests. */
  setHosts (hosts: readonly RelayHost[]): void
  /** Hosts of an availability zone that can relay requests. */
  hostsIn (zone: string): readonly RelayHost[]
}

/**
 * Creates a relay directory that has no hosts yet.
 *
 * @param options Name and clock of this host.
 * @returns The directory.
 */
export function createRelayDirectory (options: RelayDirectoryOptions): RelayDirectory {
  const { now } = options
  const failureDetector = createGroupFailureDetector(now)
  let byZone = new Map<string, RelayHost[]>()
  let relays = new Map<string, RelayHost | null>()

  /** Chooses a host by weighted rendezvous hashing, so that a host that joins or leaves changes the relays of few servers. */
  function selectHost (server: RoutedServer): RelayHost | null {
    let best: RelayHost | null = null
    let lowestScore = Infinity
    for (const host of byZone.get(server.zone) ?? []) {
      const score = -Math.log(rendezvousRank(host.host, server.id)) / host.weight
      if (score < lowestScore) {
        best = host
        lowestScore = score
      }
    }
    return best
  }

  function relayOf (server: RoutedServer): RelayHost | null {
    const cached = relays.get(server.id)
    if (cached !== undefined) return cached
    const host = selectHost(server)
    relays.set(server.id, host)
    return host
  }

  return {
    setHosts (hosts) {
      byZone = new Map()
      relays = new Map()
      for (const host of hosts) byZone.set(host.zone, [...byZone.get(host.zone) ?? [], host])
    },
    hostsIn: (zone) => byZone.get(zone) ?? [],
    isRelay: (server) => relayOf(server)?.host === options.host,
    select (server): Relay | null {
      const host = relayOf(server)
      if (host === null || host.host === options.host || failureDetector.isUnresponsive(host.host)) return null
      return {
        host: host.host,
        address: host.address,
        trackRequest: (request, expectedMs) => failureDetector.trackRequest({ id: request, group: host.host }, expectedMs)
      }
    }
  }
}
