/**
 * Which host passes requests for a server on.
 *
 * Hosts do not know what the others have just sent, and in a large deployment
 * each pair of host and server meets so seldom that every request would need a
 * new connection. One relay for each server, in the server's own availability
 * zone, uses its connections again and knows all that the server has in hand.
 */
import { createGroupFailureDetector, type Relay, type RelaySelector } from '../gateway/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import { hashText } from '../slices/slice_of_key.ts'

/** A host that may relay. */
export interface RelayHost {
  readonly host: string
  readonly zone: string
  /** Where it takes requests from other hosts. */
  readonly address: string
  /** Its part of the work, relative to others; above 0. */
  readonly weight: number
}

/** Options of {@link createRelayDirectory}. */
export interface RelayDirectoryOptions {
  /** Name of this host: it sends to its own servers directly. */
  readonly host: string
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Directory of one host. */
export interface RelayDirectory extends RelaySelector {
  /** Replaces the hosts that may relay. */
  setHosts (hosts: readonly RelayHost[]): void
}

/** Largest value of a 32-bit hash, and one more. */
const HASH_SPACE = 2 ** 32

/**
 * Creates a directory without hosts.
 *
 * @param options This host and its clock.
 * @returns The directory.
 */
export function createRelayDirectory (options: RelayDirectoryOptions): RelayDirectory {
  const { now } = options
  const silence = createGroupFailureDetector(now)
  let byZone = new Map<string, RelayHost[]>()
  let chosen = new Map<string, RelayHost | null>()

  /** The host with the highest score for the server: another host joining or leaving changes few choices. */
  function rank (server: RoutedServer): RelayHost | null {
    let best: RelayHost | null = null
    let lowest = Infinity
    for (const host of byZone.get(server.zone) ?? []) {
      const score = -Math.log((hashText(`${host.host}/${server.id}`) + 0.5) / HASH_SPACE) / host.weight
      if (score < lowest) {
        best = host
        lowest = score
      }
    }
    return best
  }

  function relayOf (server: RoutedServer): RelayHost | null {
    const known = chosen.get(server.id)
    if (known !== undefined) return known
    const host = rank(server)
    chosen.set(server.id, host)
    return host
  }

  return {
    setHosts (hosts) {
      byZone = new Map()
      chosen = new Map()
      for (const host of hosts) byZone.set(host.zone, [...byZone.get(host.zone) ?? [], host])
    },
    select (server): Relay | null {
      const host = relayOf(server)
      if (host === null || host.host === options.host || silence.isUnresponsive(host.host)) return null
      return {
        host: host.host,
        address: host.address,
        trackRequest: (request, expectedMs) => silence.trackRequest({ id: request, group: host.host }, expectedMs)
      }
    }
  }
}
