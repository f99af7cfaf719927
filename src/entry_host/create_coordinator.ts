/**
 * Coordinates the hosts while this host leads: plans which server owns which
 * keys, grants keys, sums the loads of all hosts and publishes the results.
 */
import type { OwnerChange, PlannedRange, PlanRecord, RangeController, ServerControl } from '../ownership/mod.ts'
import { createFencingTokens, createKeyLoad, createRangeController, partitionKeySpace, decodePlanRecord, encodePlanRecord, maximumMovesPerPlan, planRanges, type KeyLoad } from '../ownership/mod.ts'
import type { ServerView } from '../gateway/server_loads.ts'
import type { RoutingState } from '../gateway/routing_state.ts'
import type { Leadership } from '../leadership/mod.ts'
import type { Logger } from '../logging/mod.ts'
import type { TableService } from '../ports/mod.ts'
import type { ConnectedHost, Report, Update, WireServerView } from '../replication/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import { FIRST_ERA } from '../store_history/mod.ts'
import { createLoadAggregator, type LoadAggregator, type ReportingHost } from './load_aggregator.ts'
import { encodeViews, encodeOwnersUpdate } from './encode_updates.ts'
import { createInitialUpdates } from './initial_updates.ts'

/** Key prefix of the rows that store plans; followed by the name of the service. */
export const PLAN_PREFIX = 'plan/'

/** Options of {@link createCoordinator}. */
export interface CoordinatorOptions {
  readonly routingState: RoutingState
  readonly leadership: Leadership
  readonly table: TableService
  readonly control: ServerControl
  readonly logger: Logger
  readonly now: () => number
  readonly maximumGrantDurationMs: number
  /** Whether most of the hosts that reported before the store stopped responding still report. If not, the cause is a network partition and not the store. */
  readonly isMajorityReporting: () => boolean
  /** Requests per second that a server may receive because it is cold; `null` if it is warm. Default: no server is cold. */
  readonly coldRequestsPerSecond?: (server: RoutedServer) => number | null
  /** Since when this host certainly reaches servers; monotonic time in milliseconds, `Infinity` while it may not. Default: always. */
  readonly reachesServersSince?: () => number
  readonly publish: (update: Update) => void
  /** Applies changes of owners to this host's own routing state. */
  readonly onOwnerChanges: (service: string, changes: readonly OwnerChange[]) => void
}

/** Coordinator that runs on the leading host. */
export interface Coordinator {
  /** Loads the plans of earlier leaders and becomes active; returns false if the store did not respond. */
  takeOver (): Promise<boolean>
  stop (): void
  /** Time for which each server may still hold keys, in milliseconds by server; read after this host has stopped leading. */
  remainingGrantDurationsMs (): Record<string, number>
  /** Starts the grants and releases that are due. */
  tick (): void
  /** Plans the services whose keys should move; stores all changed plans in one write. */
  plan (): Promise<void>
  /** Applies the current servers and evacuated zones of the routing state; a plan in progress is followed by another one at once. */
  onServersChanged (): void
  onReport (host: ReportingHost, report: Extract<Report, { readonly kind: 'report' }>): void
  onHostLeft (host: string): void
  /** Records that a host reaches no server, so that its reports say nothing about servers. */
  onHostIsolated (host: string): void
  views (): Map<string, ServerView>
  /** Updates that bring a newly connected host up to date. */
  initialUpdates (host: ConnectedHost): Update[]
  /** Owners of all keys. */
  ownersUpdates (): Update[]
  /** Adjusts the share of requests that hosts admit to overloaded servers; called once before each publication of loads. */
  adjustShares (): void
  /** Server views that have changed significantly since they were last published; all of them if `complete`. */
  changedViews (complete: boolean): WireServerView[]
}

/** Minimum number of requests, after decay, that load figures must cover before keys are moved to balance load. */
const MINIMUM_LOAD = 20

/** Capacity of a server that fails all its requests, as a share of a healthy server's capacity. */
const MINIMUM_CAPACITY_SHARE = 0.1

/** Share of a server's limit that is planned for: requests come at random times, and a limit leaves no queue. */
const LIMIT_PLAN_SHARE = 0.85

/** Minimum changes for a view to be published again, in requests in flight and, for other figures, as a share: smaller ones affect no routing decision. */
const SIGNIFICANT_IN_FLIGHT_CHANGE = 2
const SIGNIFICANT_SHARE_CHANGE = 0.1

/**
 * Creates a coordinator; it is inactive until `takeOver()` succeeds.
 *
 * @param options Ports, routing state and callbacks.
 * @returns The coordinator.
 */
export function createCoordinator (options: CoordinatorOptions): Coordinator {
  const { routingState, leadership, logger, now } = options
  const rangeControllers = new Map<string, RangeController>()
  const keyLoads = new Map<string, KeyLoad>()
  /** Era of each stored plan. */
  const storedEras = new Map<string, number>()
  let loads: LoadAggregator = createLoadAggregator(assumedWorkMsOf)
  /** View of each server as it was last published. */
  const publishedViews = new Map<string, ServerView>()
  const initialUpdates = createInitialUpdates(routingState)
  let active = false
  const nextToken = createFencingTokens(leadership.heldPosition)
  let planning = false
  /** Whether servers have changed since the plan in progress was computed. */
  let isPlanOutdated = false

  function assumedWorkMsOf (server: string): number | undefined {
    const service = routingState.server(server)?.service
    return service === undefined ? undefined : routingState.assumedWorkMs(service)
  }

  /** Returns when grants that a plan may not list were made at the latest; `null` if the plan lists all of them. */
  function unlistedGrantsMadeUntil (plan: PlanRecord, isStored: boolean): number | null {
    if (plan.era >= leadership.era()) return null
    const previousGrants = leadership.previousGrants()
    // A late write of an earlier era may have replaced a plan of this one.
    const lastPlanAt = !isStored ? -Infinity : previousGrants.kind === 'unknown' ? previousGrants.lastPossibleGrantAt : previousGrants.asOf
    return Math.max(leadership.earlierLeasesEndAt(), lastPlanAt)
  }

  function createServiceRangeController (service: string, recorded: PlanRecord, isStored: boolean): RangeController {
    storedEras.set(service, recorded.era)
    const rangeController = createRangeController(recorded.ranges, {
      service,
      control: options.control,
      logger,
      now,
      mayGrant: () => active && leadership.isLeading(),
      isStoreUnavailable: () => leadership.isStoreUnavailable() && options.isMajorityReporting(),
      maximumGrantDurationMs: options.maximumGrantDurationMs,
      previousGrants: leadership.previousGrants(),
      unlistedGrantsMadeUntil: unlistedGrantsMadeUntil(recorded, isStored),
      reachesServersSince: options.reachesServersSince,
      nextToken,
      publish (changes) {
        if (!active) return
        initialUpdates.invalidateOwners()
        options.onOwnerChanges(service, changes)
        options.publish(encodeOwnersUpdate({ service, changes }, now()))
      },
      isResponding: (server) => loads.isResponding(server, now()),
      isRefusingConnections: (server) => loads.isRefusingConnections(server, now())
    })
    rangeController.setServers(serversOf(service), serverIdsByAddress())
    rangeControllers.set(service, rangeController)
    return rangeController
  }

  function ownersUpdates (): Update[] {
    return [...rangeControllers].map(([service, rangeController]) => encodeOwnersUpdate({ service, changes: rangeController.snapshot() }, now()))
  }

  /** Servers of a service; those of evacuated zones are leaving. */
  function serversOf (service: string): RoutedServer[] {
    return routingState.servers().filter((server) => server.service === service).map((server) => routingState.server(server.id) ?? server)
  }

  /** Server at each address, across all services. */
  function serverIdsByAddress (): ReadonlyMap<string, string> {
    return new Map(routingState.servers().map((server) => [server.address, server.id]))
  }

  function keyedServices (): string[] {
    return (routingState.configuration()?.services ?? []).filter((service) => service.keyed).map((service) => service.name)
  }

  function capacities (service: string, excluded: ReadonlySet<string>): Array<{ readonly id: string, readonly capacity: number }> {
    const views = loads.views(now())
    const available = routingState.availableServers(service).filter((server) => !excluded.has(server.id))
    const measured = available.map((server) => views.get(server.id)?.workMs ?? 0).filter((workMs) => workMs > 0)
    const mean = measured.length > 0 ? measured.reduce((sum, workMs) => sum + workMs, 0) / measured.length : routingState.assumedWorkMs(service)
    return available.map((server) => {
      const view = views.get(server.id)
      const workMs = view !== undefined && view.workMs > 0 ? view.workMs : mean
      const successShare = Math.max(MINIMUM_CAPACITY_SHARE, 1 - (view?.failureShare ?? 0))
      // A server that has returned cold must not get its former share at once.
      const limit = Math.min(loads.requestLimit(server.id, now()) ?? Infinity, options.coldRequestsPerSecond?.(server) ?? Infinity)
      return { id: server.id, capacity: Math.min(server.slots / workMs * successShare, limit * LIMIT_PLAN_SHARE / 1000) }
    })
  }

  function needsPlan (ranges: readonly PlannedRange[], available: ReadonlySet<string>): boolean {
    return ranges.some((range) => range.owner === null || !available.has(range.owner))
  }

  /** Computes the next plan of a service; returns `null` if the plan does not change. */
  function nextPlan (service: string): readonly PlannedRange[] | null {
    const candidates = capacities(service, rangeControllers.get(service)?.unresponsiveServers() ?? new Set())
    if (candidates.length === 0) return null
    const rangeController = rangeControllers.get(service) ?? createServiceRangeController(service, createPlan(candidates.length), false)
    const ranges = rangeController.ranges()
    const load = keyLoads.get(service)?.read(now()) ?? new Map<number, number>()
    let total = 0
    for (const count of load.values()) total += count
    const available = new Set(candidates.map((candidate) => candidate.id))
    if (total < MINIMUM_LOAD && !needsPlan(ranges, available)) return null
    const planned = planRanges(ranges, {
      candidates, keyLoads: load, isFixed: rangeController.isFixed, maximumMoves: total < MINIMUM_LOAD ? 0 : maximumMovesPerPlan(candidates.length)
    })
    const owners = new Map(ranges.map((range) => [range.from, range.owner]))
    return planned.some((range) => owners.get(range.from) !== range.owner) ? planned : null
  }

  /** Creates the first plan of a service. In a restored store the plan of an earlier era may be missing. */
  function createPlan (servers: number): PlanRecord {
    return { era: FIRST_ERA, ranges: partitionKeySpace(servers).map((range) => ({ ...range, previous: null })) }
  }

  /** Era whose grants the plan of a service covers when it is stored now. */
  function coveredEra (service: string): number {
    return rangeControllers.get(service)?.isComplete() === true ? leadership.era() : storedEras.get(service) ?? FIRST_ERA
  }

  /** Whether the stored plan of a service has to be written again, because the store has lost what was written since. */
  function isPlanRestored (service: string): boolean {
    return rangeControllers.has(service) && (storedEras.get(service) ?? FIRST_ERA) < coveredEra(service)
  }

  function mayPlan (): boolean {
    return active && leadership.isLeading() && !leadership.isStoreUnavailable()
  }

  async function plan (): Promise<void> {
    const plans = new Map<string, readonly PlannedRange[]>()
    for (const service of keyedServices()) {
      const planned = nextPlan(service) ?? (isPlanRestored(service) ? rangeControllers.get(service)?.ranges() ?? null : null)
      if (planned !== null) plans.set(service, planned)
    }
    if (plans.size === 0) return
    const records = new Map([...plans].map(([service, planned]) => [service, { era: coveredEra(service), ranges: rangeControllers.get(service)?.beginPlan(planned) ?? [] }]))
    const outcome = await leadership.write([...records].map(([service, record]) => ({ key: PLAN_PREFIX + service, value: encodePlanRecord(record) })))
    for (const [service, planned] of plans) {
      if (outcome === 'written') {
        rangeControllers.get(service)?.applyPlan(planned)
        storedEras.set(service, records.get(service)?.era ?? FIRST_ERA)
      } else rangeControllers.get(service)?.abandonPlan()
    }
    logger.info({ services: [...plans.keys()], ranges: [...plans.values()].map((planned) => planned.length), outcome }, 'plan-stored')
    for (const rangeController of rangeControllers.values()) rangeController.tick()
  }

  return {
    async takeOver () {
      rangeControllers.clear()
      storedEras.clear()
      initialUpdates.invalidateOwners()
      loads = createLoadAggregator(assumedWorkMsOf)
      const rows = await options.table.changes(PLAN_PREFIX, 0)
      // Plans of a later era than the lease may be older than the grants of this era.
      if (!rows.ok || rows.value.era !== leadership.era()) return false
      active = true
      for (const row of rows.value.rows) {
        const recorded = decodePlanRecord(row)
        const service = row.key.slice(PLAN_PREFIX.length)
        leadership.recordPosition(row.key, row)
        if (recorded === null) logger.error({ key: row.key, era: row.era, revision: row.revision }, 'plan-unreadable')
        else createServiceRangeController(service, recorded, true)
      }
      logger.info({ plans: rows.value.rows.length, ...leadership.heldPosition(), restored: [...storedEras].filter(([, era]) => era < leadership.era()).map(([service]) => service) }, 'plans-taken-over')
      return true
    },
    stop () { active = false },
    remainingGrantDurationsMs () {
      const durations = new Map<string, number>()
      for (const rangeController of rangeControllers.values()) for (const [id, remainingMs] of rangeController.remainingGrantsMs()) durations.set(id, remainingMs)
      return Object.fromEntries(durations)
    },
    tick () {
      if (!active || !leadership.isLeading()) return
      for (const rangeController of rangeControllers.values()) rangeController.tick()
    },
    async plan () {
      if (planning || !mayPlan()) return
      planning = true
      try {
        do {
          isPlanOutdated = false
          await plan()
        } while (isPlanOutdated && mayPlan())
      } finally {
        planning = false
      }
    },
    onServersChanged () {
      isPlanOutdated = true
      loads.setServers(routingState.servers())
      for (const [service, rangeController] of rangeControllers) rangeController.setServers(serversOf(service), serverIdsByAddress())
    },
    onReport (host, report) {
      loads.add(host, report.samples, now())
      for (const [service, counts] of report.keys) {
        const load = keyLoads.get(service) ?? createKeyLoad(now())
        keyLoads.set(service, load)
        for (const [key, requests] of counts) load.add(key, requests)
      }
    },
    onHostLeft (host) { loads.removeHost(host) },
    onHostIsolated (host) { loads.discardHost(host) },
    views: () => loads.views(now()),
    adjustShares () {
      loads.adjustShares((id) => {
        const server = routingState.server(id)
        return server === undefined ? undefined : { slots: server.slots, assumedWorkMs: routingState.assumedWorkMs(server.service) }
      }, now())
    },
    changedViews (complete) {
      const views = loads.views(now())
      const changed = new Map([...views].filter(([server, view]) => complete || isSignificantChange(publishedViews.get(server), view)))
      for (const [server, view] of changed) publishedViews.set(server, view)
      return encodeViews(changed)
    },
    initialUpdates: (host) => initialUpdates.forHost(host, { ownersUpdates, now: now() }),
    ownersUpdates
  }
}

/** Whether the view differs enough from the published one to change routing decisions. */
function isSignificantChange (before: ServerView | undefined, view: ServerView): boolean {
  return before === undefined || Math.abs(view.inFlight - before.inFlight) >= SIGNIFICANT_IN_FLIGHT_CHANGE || view.silent !== before.silent || view.admitShare !== before.admitShare ||
    Math.abs(view.workMs - before.workMs) > before.workMs * SIGNIFICANT_SHARE_CHANGE || Math.abs(view.failureShare - before.failureShare) > SIGNIFICANT_SHARE_CHANGE
}
