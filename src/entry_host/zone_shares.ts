/**
 * Keeps the shares of requests that leave this host's availability zone up to
 * date with the published loads, and logs their changes.
 */
import type { RoutingState, ServerLoads } from '../gateway/mod.ts'
import type { Logger } from '../logging/mod.ts'
import type { RoutedServer, RoutingConfiguration } from '../routing/mod.ts'
import type { WarmUpTracker } from '../warm_up/mod.ts'
import { createZoneBalance, sumZoneLoads, type ZoneBalance, type ZoneLoad } from '../zone_balance/mod.ts'

/** Options of {@link createZoneShares}. */
export interface ZoneSharesOptions {
  /** Zone of this host. */
  readonly zone: string
  readonly routingState: Pick<RoutingState, 'configuration' | 'availableServers'>
  readonly loads: Pick<ServerLoads, 'inFlight' | 'workMs' | 'isUnresponsive'>
  /** Cold servers, whose slots cannot all be used. Default: there are none. */
  readonly warmUp?: Pick<WarmUpTracker, 'requestsPerSecond'>
  readonly logger: Pick<Logger, 'info'>
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Shares of requests that leave the zone of one host. */
export interface ZoneShares {
  /** Applies the published loads; called once for each heartbeat, after its loads. */
  update (): void
  readonly chooseZone: ZoneBalance['chooseZone']
  /** Share of this zone's requests that each zone receives, by service. */
  describe (): Readonly<Record<string, Readonly<Record<string, number>>>>
}

/** Change of the share that leaves the zone that is worth a line. */
const LOGGED_CHANGE = 0.1

/** Share that leaves the zone from which it counts as different from zero: single requests leave at the edge of the capacity. */
const LOGGED_MINIMUM = 0.01

/** Minimum time between two lines about one service, in milliseconds: a burst changes the share with each heartbeat. */
const LOG_INTERVAL_MS = 1000

/** Shortest latency goal of the routes of each service, in milliseconds. */
function findLatencyGoals (configuration: RoutingConfiguration): Map<string, number> {
  const goals = new Map<string, number>()
  for (const { latencyGoalMs, targets } of configuration.routes) {
    for (const { service } of targets) goals.set(service, Math.min(goals.get(service) ?? Infinity, latencyGoalMs))
  }
  return goals
}

function roundShares (shares: ReadonlyMap<string, number>): Record<string, number> {
  return Object.fromEntries([...shares].sort(([left], [right]) => left < right ? -1 : 1).map(([zone, share]) => [zone, Math.round(share * 1000) / 1000]))
}

function formatLoad ({ zone, slots, inFlight, waiting, workMs, isUnresponsive }: ZoneLoad): string {
  return `${zone}:${inFlight}+${waiting}of${slots}:${Math.round(workMs)}ms${isUnresponsive ? ':unresponsive' : ''}`
}

/**
 * Creates shares under which all requests stay in the zone.
 *
 * @param options Zone, servers and loads of the host.
 * @returns The shares.
 */
export function createZoneShares (options: ZoneSharesOptions): ZoneShares {
  const { zone, routingState, now } = options
  let goalsOf: RoutingConfiguration | null = null
  let goals = new Map<string, number>()
  const logged = new Map<string, { readonly leaving: number, readonly at: number }>()
  const balance = createZoneBalance({ zone, latencyGoalMs: (service) => goals.get(service) ?? Infinity })

  function logChange (service: string, loads: readonly ZoneLoad[]): void {
    const shares = balance.shares(service)
    const share = 1 - (shares.get(zone) ?? 0)
    const leaving = shares.size === 0 || share < LOGGED_MINIMUM ? 0 : share
    const last = logged.get(service) ?? { leaving: 0, at: -Infinity }
    if (now() - last.at < LOG_INTERVAL_MS) return
    if (Math.abs(leaving - last.leaving) < LOGGED_CHANGE && (leaving === 0) === (last.leaving === 0)) return
    logged.set(service, { leaving, at: now() })
    options.logger.info({
      service, zone, leaving: Math.round(leaving * 1000) / 1000, previous: Math.round(last.leaving * 1000) / 1000, shares: Object.entries(roundShares(shares)).map((entry) => entry.join(':')).join(), loads: loads.map(formatLoad).join()
    }, 'zone-shares-changed')
  }

  /** Requests that a server can run concurrently at present; a cold one is limited by its request rate. */
  function slotsOf (server: RoutedServer): number {
    const perSecond = options.warmUp?.requestsPerSecond(server) ?? Infinity
    return Math.min(server.slots, perSecond * options.loads.workMs(server) / 1000)
  }

  return {
    update () {
      const configuration = routingState.configuration()
      if (configuration === null) return
      if (configuration !== goalsOf) {
        goalsOf = configuration
        goals = findLatencyGoals(configuration)
      }
      for (const { name } of configuration.services) {
        const loads = sumZoneLoads(routingState.availableServers(name), { loads: options.loads, latencyGoalMs: goals.get(name) ?? Infinity, slotsOf })
        balance.update(name, loads, now())
        logChange(name, loads)
      }
    },
    chooseZone: balance.chooseZone,
    describe: () => Object.fromEntries((goalsOf?.services ?? []).map(({ name }) => [name, roundShares(balance.shares(name))]))
  }
}
