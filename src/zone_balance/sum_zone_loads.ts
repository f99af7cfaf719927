/**
 * Sums the loads of a service's servers for each availability zone. Called once
 * for each published heartbeat and service: it visits every server.
 */
import type { ServerLoads } from '../gateway/server_loads.ts'
import type { RoutedServer } from '../routing/mod.ts'
import type { ZoneLoad } from './zone_load.ts'

/** Options of {@link sumZoneLoads}. */
export interface SumZoneLoadsOptions {
  readonly loads: Pick<ServerLoads, 'inFlight' | 'workMs' | 'isUnresponsive'>
  /** Shortest latency goal of the service's routes, in milliseconds. Default: none. */
  readonly latencyGoalMs?: number
  /** Concurrent requests that a server can take at present, for example fewer while it is cold. Default: its slots. */
  readonly slotsOf?: (server: RoutedServer) => number
  /** Requests that wait to be sent to the servers of a zone. Default: none. */
  readonly waitingIn?: (zone: string) => number
}

interface Sum { servers: number, slots: number, inFlight: number, perMs: number }

/**
 * Sums the loads of the servers for each zone.
 *
 * Only servers that respond, and that are fast enough for the latency goal,
 * count as capacity of their zone, unless the zone has no others: hosts avoid a
 * slow server, whose free slots would hide that the fast ones are full.
 *
 * @param servers Servers of one service that accept requests.
 * @param options Loads of the servers.
 * @returns The loads of the zones in the order of their names; zones without servers are absent.
 */
export function sumZoneLoads (servers: readonly RoutedServer[], options: SumZoneLoadsOptions): ZoneLoad[] {
  const { loads, latencyGoalMs = Infinity, slotsOf = (server) => server.slots, waitingIn = () => 0 } = options
  /** Sums by zone and class of server: 0 usable, 1 too slow, 2 unresponsive. */
  const zones = new Map<string, Array<Sum | undefined>>()
  for (const server of servers) {
    const workMs = loads.workMs(server)
    const rank = loads.isUnresponsive(server) ? 2 : workMs > latencyGoalMs ? 1 : 0
    const sums = zones.get(server.zone) ?? []
    zones.set(server.zone, sums)
    const sum = sums[rank] ??= { servers: 0, slots: 0, inFlight: 0, perMs: 0 }
    const slots = slotsOf(server)
    sum.servers++
    sum.slots += slots
    sum.inFlight += loads.inFlight(server.id)
    sum.perMs += slots / workMs
  }
  return [...zones].sort(([left], [right]) => left < right ? -1 : 1).map(([zone, sums]) => {
    const rank = sums.findIndex((sum) => sum !== undefined)
    const { perMs, ...sum } = sums[rank] ?? { servers: 0, slots: 0, inFlight: 0, perMs: 0 }
    return { zone, ...sum, waiting: waitingIn(zone), workMs: perMs > 0 ? sum.slots / perMs : 0, isUnresponsive: rank === 2 }
  })
}
