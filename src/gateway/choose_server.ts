/**
 * Chooses a server for a request without a key.
 *
 * Of the servers that are not silent, the one with the shortest expected time
 * is taken, among a few that are drawn at random: many hosts that all took the
 * best would crowd it before they hear of one another.
 */
import { hashText } from '../slices/slice_of_key.ts'
import type { RoutedServer } from '../routing/mod.ts'
import type { ServerLoads } from './server_loads.ts'

/** Options of {@link chooseServer}. */
export interface ChooseServerOptions {
  readonly loads: ServerLoads
  /** Servers that have had the request already. */
  readonly tried: ReadonlySet<string>
  /** Availability zone of this host. */
  readonly zone: string
  /** Length of the request's body, in bytes. */
  readonly bodyBytes: number
  /** Random number from 0 to 1. */
  readonly random: () => number
  /** Name of this host; hosts with other names keep to other servers of a large service. */
  readonly host: string
}

/** Servers that are drawn and compared. */
const DRAWN = 3

/** Expected time is counted as longer by this share for a server in another zone: bytes between zones cost. */
const OTHER_ZONE_SHARE = 0.25

/** Servers from which on a service is large: a host keeps to a part of them. */
const LARGE_SERVICE = 20

/** Servers of its own zone, and of others, that a host keeps to: enough to compare and to lose some. */
const NEAR_SERVERS = 8
const FAR_SERVERS = 4

/** Bodies from this length on stay in their zone while a server there has a free slot, in bytes. */
const LARGE_BODY_BYTES = 16 * 1024

/**
 * Chooses a server.
 *
 * @param servers Servers that may take the request.
 * @param options Loads and what has been tried.
 * @returns The server, or `null` where there is none.
 */
export function chooseServer (servers: readonly RoutedServer[], options: ChooseServerOptions): RoutedServer | null {
  const untried = servers.filter((server) => !options.tried.has(server.id))
  const sound = untried.filter((server) => !options.loads.isUnresponsive(server))
  const candidates = nearest(fewer(sound.length > 0 ? sound : untried, options), options)
  let best: RoutedServer | null = null
  let lowest = Infinity
  for (let drawn = 0; drawn < DRAWN && candidates.length > 0; drawn++) {
    const [server] = candidates.splice(drawWeighted(candidates, options), 1)
    if (server === undefined) break
    const cost = costOf(server, options)
    if (cost < lowest) {
      best = server
      lowest = cost
    }
  }
  return best
}

/**
 * The servers that this host keeps to: of a large service some near and a few
 * far ones, so that connections are used again before they idle out. All
 * servers count while those have no free slot.
 */
function fewer (servers: readonly RoutedServer[], options: ChooseServerOptions): readonly RoutedServer[] {
  if (servers.length <= LARGE_SERVICE) return servers
  const ranked = servers.map((server) => ({ server, rank: hashText(`${options.host}/${server.id}`) })).sort((left, right) => left.rank - right.rank).map(({ server }) => server)
  const near = ranked.filter((server) => server.zone === options.zone).slice(0, NEAR_SERVERS)
  const far = ranked.filter((server) => server.zone !== options.zone).slice(0, FAR_SERVERS)
  const kept = [...near, ...far]
  return kept.some((server) => options.loads.inFlight(server.id) < server.slots) ? kept : servers
}

/** The servers of this host's zone for a large body, if one of them has a free slot; otherwise all. */
function nearest (servers: readonly RoutedServer[], options: ChooseServerOptions): RoutedServer[] {
  if (options.bodyBytes < LARGE_BODY_BYTES) return [...servers]
  const near = servers.filter((server) => server.zone === options.zone && options.loads.inFlight(server.id) < server.slots)
  return near.length > 0 ? near : [...servers]
}

function costOf (server: RoutedServer, options: ChooseServerOptions): number {
  const { loads } = options
  const failing = 1 + 4 * loads.failureShare(server.id)
  const distance = server.zone === options.zone ? 1 : 1 + OTHER_ZONE_SHARE
  // The fullness breaks ties between servers with free slots.
  const fullness = (loads.inFlight(server.id) + 1) / server.slots
  return loads.expectedMs(server) * failing * distance * (1 + fullness * 0.5)
}

/** Draws a server with a probability in proportion to its capacity. */
function drawWeighted (servers: readonly RoutedServer[], options: ChooseServerOptions): number {
  const weights = servers.map((server) => server.slots / options.loads.workMs(server))
  let left = options.random() * weights.reduce((sum, weight) => sum + weight, 0)
  for (const [index, weight] of weights.entries()) {
    left -= weight
    if (left < 0) return index
  }
  return servers.length - 1
}
