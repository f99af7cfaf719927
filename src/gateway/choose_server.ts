/**
 * Chooses a server for a request without a key.
 *
 * The balance between zones chooses the zone. A few responsive servers of it
 * are sampled at random, and the one with the lowest expected latency is
 * chosen. If many hosts all chose the best server, they would overload it before
 * they received each other's loads.
 */
import { rendezvousRank, type RoutedServer } from '../routing/mod.ts'
import { NO_WARM_UP, type WarmUpTracker } from '../warm_up/mod.ts'
import type { ServerLoads } from './server_loads.ts'

/** Options of {@link chooseServer}. */
export interface ChooseServerOptions {
  readonly loads: ServerLoads
  /** Returns the requests per second that a server takes from all hosts together, or `null` if it has named no limit. */
  readonly limitOf: (server: RoutedServer) => number | null
  /** Whether the server has recently reached its limit. */
  readonly isExhausted: (server: string) => boolean
  /** Cold servers and their request rates. Default: there are none. */
  readonly warmUp?: Pick<WarmUpTracker, 'isCold' | 'requestsPerSecond'>
  /** Servers that the request has already been sent to. */
  readonly tried: ReadonlySet<string>
  /** Availability zone of this host. */
  readonly zone: string
  /** Length of the request's body, in bytes. */
  readonly bodyBytes: number
  /** Chooses the zone that the request is sent to while servers there accept it; `null` leaves the choice open. */
  readonly chooseZone: () => string | null
  /** Random number from 0 to 1. */
  readonly random: () => number
  /** Name of this host; each host uses its own subset of the servers of a large service. */
  readonly host: string
}

/** Number of servers that are sampled and compared. */
const SAMPLED_SERVERS = 3

/** Number of servers of a service above which a host uses only a subset of them. */
const LARGE_SERVICE_SERVERS = 20

/** Size of a host's subset in its own zone and in other zones: enough to compare servers and to tolerate the loss of some. */
const SAME_ZONE_SUBSET_SERVERS = 8
const OTHER_ZONES_SUBSET_SERVERS = 4

/** Minimum length of a body that stays in its zone while a server there has a free slot, in bytes. */
const LARGE_BODY_BYTES = 16 * 1024

/**
 * Chooses a server.
 *
 * @param servers Servers that accept the request.
 * @param options Loads of the servers and properties of the request.
 * @returns The server, or `null` if every server has been tried.
 */
export function chooseServer (servers: readonly RoutedServer[], options: ChooseServerOptions): RoutedServer | null {
  const untried = rankServers(servers, options.host).filter((server) => !options.tried.has(server.id))
  const responsive = untried.filter((server) => !options.loads.isUnresponsive(server))
  const permitted = responsive.filter((server) => !options.isExhausted(server.id))
  const preferred = [permitted, responsive].find((group) => group.length > 0) ?? untried
  let candidates = [...selectSubset(selectZone(preferred, options), options)]
  let best: RoutedServer | null = null
  let lowestCost = Infinity
  for (let sampled = 0; sampled < SAMPLED_SERVERS && candidates.length > 0; sampled++) {
    const [server] = candidates.splice(drawWeightedIndex(candidates, options), 1)
    if (server === undefined) break
    // An idle cold server has the lowest cost. If it also competed in later draws, it would get more than its part.
    if (sampled === 0) candidates = candidates.filter((candidate) => !isCold(candidate, options))
    const cost = estimateCost(server, options)
    if (cost < lowestCost) {
      best = server
      lowestCost = cost
    }
  }
  return best
}

/** Lists of servers in the order of a host, by the list they were made from. */
const rankedLists = new WeakMap<readonly RoutedServer[], { readonly host: string, readonly ranked: readonly RoutedServer[] }>()

/** Returns the servers of a large service in this host's own order, which is computed once for each list; other lists are returned unchanged. */
function rankServers (servers: readonly RoutedServer[], host: string): readonly RoutedServer[] {
  if (servers.length <= LARGE_SERVICE_SERVERS) return servers
  const known = rankedLists.get(servers)
  if (known?.host === host) return known.ranked
  const ranked = servers.map((server) => ({ server, rank: rendezvousRank(host, server.id) })).sort((left, right) => left.rank - right.rank).map(({ server }) => server)
  rankedLists.set(servers, { host, ranked })
  return ranked
}

/**
 * Selects the servers of the chosen zone, else those of this host's zone, else
 * all. A large body stays in this host's zone while a server there has a free
 * slot. A request that a server has already refused goes to the next of these
 * groups that has a free slot: until the shares of the zones have followed a
 * burst, it would otherwise be refused again beside free servers.
 */
function selectZone (servers: readonly RoutedServer[], options: ChooseServerOptions): readonly RoutedServer[] {
  const serversIn = (zone: string | null): readonly RoutedServer[] => servers.filter((server) => server.zone === zone)
  const sameZone = serversIn(options.zone)
  if (options.bodyBytes >= LARGE_BODY_BYTES) {
    const free = sameZone.filter((server) => hasFreeSlot(server, options))
    if (free.length > 0) return free
  }
  const groups = [serversIn(options.chooseZone()), sameZone, servers]
  if (options.tried.size > 0) {
    for (const group of groups) {
      const free = group.filter((server) => hasFreeSlot(server, options))
      if (free.length > 0) return free
    }
  }
  return groups.find((group) => group.length > 0) ?? servers
}

/**
 * Selects this host's subset of the servers of a large service, so that
 * connections are reused before their idle timeout. Returns all servers while
 * the subset has no free slot. The servers are in the host's own order.
 */
function selectSubset (servers: readonly RoutedServer[], options: ChooseServerOptions): readonly RoutedServer[] {
  if (servers.length <= LARGE_SERVICE_SERVERS) return servers
  const sameZone = servers.filter((server) => server.zone === options.zone).slice(0, SAME_ZONE_SUBSET_SERVERS)
  const otherZones = servers.filter((server) => server.zone !== options.zone).slice(0, OTHER_ZONES_SUBSET_SERVERS)
  const subset = [...sameZone, ...otherZones]
  return subset.some((server) => hasFreeSlot(server, options)) ? subset : servers
}

function isCold (server: RoutedServer, { warmUp = NO_WARM_UP }: ChooseServerOptions): boolean {
  return warmUp.isCold(server)
}

/** Whether the server has a free slot; that of a cold one may not be used at once. */
function hasFreeSlot (server: RoutedServer, options: ChooseServerOptions): boolean {
  return options.loads.inFlight(server.id) < server.slots && !isCold(server, options)
}

function estimateCost (server: RoutedServer, options: ChooseServerOptions): number {
  const { loads } = options
  const failureFactor = 1 + 4 * loads.failureShare(server.id)
  // The utilisation breaks ties between servers with free slots.
  const utilisation = (loads.inFlight(server.id) + 1) / server.slots
  return loads.expectedMs(server) * failureFactor * (1 + utilisation * 0.5)
}

/** Draws the index of a server with a probability proportional to its capacity. */
function drawWeightedIndex (servers: readonly RoutedServer[], options: ChooseServerOptions): number {
  const { loads, limitOf, warmUp = NO_WARM_UP } = options
  const weights = servers.map((server) => Math.min(server.slots / loads.workMs(server), (limitOf(server) ?? Infinity) / 1000, (warmUp.requestsPerSecond(server) ?? Infinity) / 1000))
  let remaining = options.random() * weights.reduce((sum, weight) => sum + weight, 0)
  for (const [index, weight] of weights.entries()) {
    remaining -= weight
    if (remaining < 0) return index
  }
  return servers.length - 1
}
