/**
 * Selects the way of each request to its server: directly, or through the host
 * that relays requests to it.
 *
 * Hosts do not know what other hosts have just sent, and in a large deployment
 * a host sends to a given server so rarely that every request would need a new
 * connection. One relay for each server, in the server's availability zone,
 * reuses its connections and knows all requests in flight at the server.
 *
 * A host that reaches no server itself sends everything through other hosts, in
 * the same order of precedence, so that a server keeps one relay.
 */
import { createGroupFailureDetector, MAXIMUM_RELAYED_BODY_BYTES, type PathSelector, type Relay } from '../gateway/mod.ts'
import type { Isolation } from '../reachability/mod.ts'
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
  /** Isolation of this host from the servers; `null` if it reaches them. */
  readonly isolation: () => Isolation | null
  /** Name of the group of servers that have the same relay; `null` for a server that is a group of its own. Default: every server is. */
  readonly groupOf?: (server: RoutedServer) => string | null
  /** Called when requests through a relay can no longer be expected to get responses; `isIsolated` is whether it has refused one because it reaches no server. */
  readonly onRelayLost: (host: string, isIsolated: boolean) => void
}

/** What relays are ranked for, and the exponent of their weights. */
interface RelaySubject { readonly subject: string, readonly exponent: number }

/** Maximum number of relays that a request of an isolated host is sent to. */
const MAXIMUM_RELAYS_TRIED = 3

/** Time for which a relay that has refused for want of a path is not selected, in milliseconds: by then the leader has published the hosts that relay. */
const ISOLATED_RELAY_MS = 1000

/**
 * Exponent of a host's weight where it relays for a group of servers: a group
 * gets many times the requests of one server, so it goes to one of the largest
 * hosts of the zone.
 */
const GROUP_WEIGHT_EXPONENT = 3

/** Relay directory of one host. */
export interface RelayDirectory extends PathSelector {
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
  /** Until when a relay counts as reaching no server. */
  const isolatedUntil = new Map<string, number>()
  /** When the next of these times is over, so that relays are selected anew; all hosts then select the same ones again. */
  let selectAgainAt = Infinity

  /** Lower scores come first: weighted rendezvous hashing, so that a host that joins or leaves changes the relays of few servers. */
  function score (host: RelayHost, { subject, exponent }: RelaySubject): number {
    return -Math.log(rendezvousRank(host.host, subject)) / host.weight ** exponent
  }

  function subjectOf (server: RoutedServer): RelaySubject {
    const group = options.groupOf?.(server) ?? null
    return group === null ? { subject: server.id, exponent: 1 } : { subject: group, exponent: GROUP_WEIGHT_EXPONENT }
  }

  function isIsolated (host: RelayHost): boolean {
    return (isolatedUntil.get(host.host) ?? -Infinity) > now()
  }

  function selectFirst (hosts: readonly RelayHost[], server: RoutedServer): RelayHost | null {
    const subject = subjectOf(server)
    let best: RelayHost | null = null
    let lowestScore = Infinity
    for (const host of hosts) {
      const hostScore = score(host, subject)
      if (hostScore < lowestScore) {
        best = host
        lowestScore = hostScore
      }
    }
    return best
  }

  /** Discards the selected relays, and the hosts that may reach servers again. */
  function resetSelection (): void {
    relays = new Map()
    for (const [host, until] of isolatedUntil) if (until <= now()) isolatedUntil.delete(host)
    selectAgainAt = Math.min(...isolatedUntil.values())
  }

  function relayOf (server: RoutedServer): RelayHost | null {
    if (now() >= selectAgainAt) resetSelection()
    const group = options.groupOf?.(server) ?? server.id
    const cached = relays.get(group)
    if (cached !== undefined) return cached
    const host = selectFirst((byZone.get(server.zone) ?? []).filter((candidate) => !isIsolated(candidate)), server)
    relays.set(group, host)
    return host
  }

  /** The host that relays for an isolated host: the server's relay, or else another host in the server's zone, or else one of any zone. */
  function selectOtherHost (server: RoutedServer, tried: ReadonlySet<string>): RelayHost | null {
    if (tried.size >= MAXIMUM_RELAYS_TRIED) return null
    const isUsable = (host: RelayHost): boolean => host.host !== options.host && !tried.has(host.host) && !isIsolated(host) && !failureDetector.isUnresponsive(host.host)
    return selectFirst((byZone.get(server.zone) ?? []).filter(isUsable), server) ?? selectFirst([...byZone.values()].flat().filter(isUsable), server)
  }

  function toRelay (host: RelayHost): Relay {
    return {
      host: host.host,
      address: host.address,
      trackRequest: (request, expectedMs) => failureDetector.trackRequest({ id: request, group: host.host }, expectedMs)
    }
  }

  return {
    setHosts (hosts) {
      const present = new Set(hosts.map(({ host }) => host))
      for (const { host } of [...byZone.values()].flat()) if (!present.has(host)) options.onRelayLost(host, false)
      byZone = new Map()
      relays = new Map()
      for (const host of hosts) byZone.set(host.zone, [...byZone.get(host.zone) ?? [], host])
    },
    hostsIn: (zone) => byZone.get(zone) ?? [],
    recordIsolated (host) {
      isolatedUntil.set(host, now() + ISOLATED_RELAY_MS)
      resetSelection()
      options.onRelayLost(host, true)
    },
    isIsolated: () => options.isolation() !== null,
    isRelay: (server) => relayOf(server)?.host === options.host,
    select (server, { bodyBytes, isLimited, triedRelays, triedDirectly }) {
      const isolation = options.isolation()
      if (isolation !== null) {
        const other = selectOtherHost(server, triedRelays)
        if (other !== null) return { kind: 'relay', relay: toRelay(other) }
        // While only new connections fail, those that are open may still carry requests.
        return { kind: isolation.isSilent || triedDirectly ? 'none' : 'direct' }
      }
      if (triedRelays.size > 0 || (bodyBytes > MAXIMUM_RELAYED_BODY_BYTES && !isLimited)) return { kind: 'direct' }
      const host = relayOf(server)
      if (host === null || host.host === options.host || failureDetector.isUnresponsive(host.host)) return { kind: 'direct' }
      return { kind: 'relay', relay: toRelay(host) }
    }
  }
}
