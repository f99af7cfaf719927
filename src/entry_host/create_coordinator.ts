/**
 * The work of the leading host: it reads the store for all, plans and grants
 * keys, sums up loads and tells the other hosts.
 */
import type { OwnerChange, PlannedRange, RangeController, RecordedRange, ServerControl } from '../ownership/mod.ts'
import { createKeyLoad, createRangeController, partitionKeySpace, decodePlanRecord, encodePlanRecord, maximumMovesPerPlan, planRanges, type KeyLoad } from '../ownership/mod.ts'
import type { ServerView } from '../gateway/server_loads.ts'
import type { RoutingState } from '../gateway/routing_state.ts'
import type { Leadership } from '../leadership/mod.ts'
import type { Logger } from '../logging/mod.ts'
import type { TableService } from '../ports/mod.ts'
import type { ConnectedHost, Report, Update, WireServerView } from '../replication/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import { createLoadAggregator, type LoadAggregator, type ReportingHost } from './load_aggregator.ts'
import { encodeViews, encodeOwnersUpdate } from './encode_updates.ts'

/** Start of the keys of the rows that hold plans; the service's name follows. */
export const PLAN_PREFIX = 'plan/'

/** What the leader works with. */
export interface CoordinatorOptions {
  readonly routingState: RoutingState
  readonly leadership: Leadership
  readonly table: TableService
  readonly control: ServerControl
  readonly logger: Logger
  readonly now: () => number
  readonly maximumGrantDurationMs: number
  /** Whether most of the hosts that this one heard before the store fell silent are heard still: otherwise a partition, not the store, is at fault. */
  readonly isMajorityReporting: () => boolean
  readonly publish: (update: Update) => void
  /** Tells this host's own beliefs about owners. */
  readonly onOwnerChanges: (service: string, changes: readonly OwnerChange[]) => void
}

/** Work of the leading host. */
export interface Coordinator {
  /** Reads the plans of earlier leaders and takes them over; false where the store did not answer. */
  takeOver (): Promise<boolean>
  stop (): void
  /** How long each server may hold keys from now on, in milliseconds; asked when this host has stopped leading. */
  remainingGrantDurationsMs (): Record<string, number>
  /** Starts what is due: grants and releases. */
  tick (): void
  /** Plans services whose keys should move; one write to the store for all that changed. */
  plan (): Promise<void>
  /** Takes the servers of the knowledge. */
  onServersChanged (): void
  onReport (host: ReportingHost, report: Extract<Report, { readonly kind: 'report' }>): void
  onHostLeft (host: string): void
  views (): Map<string, ServerView>
  /** All that a host which has just connected has to know. */
  initialUpdates (host: ConnectedHost): Update[]
  /** Owners of all keys. */
  ownersUpdates (): Update[]
  /** Sets the shares of requests that hosts send to crowded servers; called once for each telling. */
  adjustShares (): void
  /** Views that have changed since the last call, or all. */
  changedViews (complete: boolean): WireServerView[]
}

/** Least requests, decayed, that loads must rest on before keys move for balance. */
const LEAST_LOAD = 20

/** Capacity of a server that fails all its requests, as a share of a sound one's. */
const LEAST_CAPACITY_SHARE = 0.1

/** Change of the requests in flight, and of other figures as a share, from which on hosts are told: less changes no decision. */
const NOTEWORTHY_IN_FLIGHT = 2
const NOTEWORTHY_SHARE = 0.1

/** Fencing tokens that one leader may use: each revision of the store is the start of a block. */
const TOKENS_PER_CLAIM = 2 ** 24

/**
 * Creates the work of a leader; it rests until it takes over.
 *
 * @param options Ports and beliefs.
 * @returns The work.
 */
export function createCoordinator (options: CoordinatorOptions): Coordinator {
  const { routingState: knowledge, leadership, logger, now } = options
  const stewards = new Map<string, RangeController>()
  const keyLoads = new Map<string, KeyLoad>()
  let loads: LoadAggregator = createLoadAggregator()
  /** What hosts were last told of each server. */
  const told = new Map<string, ServerView>()
  let active = false
  let tokens = 0
  let planning = false

  function nextToken (): number {
    tokens++
    return leadership.claimRevision() * TOKENS_PER_CLAIM + tokens
  }

  function createSteward (service: string, recorded: readonly RecordedRange[]): RangeController {
    const steward = createRangeController(recorded, {
      service,
      control: options.control,
      logger,
      now,
      mayGrant: () => active && leadership.isLeading(),
      isStoreUnavailable: () => leadership.isStoreUnavailable() && options.isMajorityReporting(),
      maximumGrantDurationMs: options.maximumGrantDurationMs,
      previousGrants: leadership.previousGrants(),
      nextToken,
      publish (changes) {
        if (!active) return
        options.onOwnerChanges(service, changes)
        options.publish(encodeOwnersUpdate({ service, changes }, now()))
      },
      isResponding: (server) => loads.isAnswering(server, now()),
      isRefusingConnections: (server) => loads.isRefusing(server.id, server.zone)
    })
    steward.setServers(serversOf(service), addresses())
    stewards.set(service, steward)
    return steward
  }

  function ownersUpdates (): Update[] {
    return [...stewards].map(([service, steward]) => encodeOwnersUpdate({ service, changes: steward.snapshot() }, now()))
  }

  function serversOf (service: string): RoutedServer[] {
    return knowledge.servers().filter((server) => server.service === service)
  }

  /** Who listens at each address, servers of every service included. */
  function addresses (): ReadonlyMap<string, string> {
    return new Map(knowledge.servers().map((server) => [server.address, server.id]))
  }

  function keyedServices (): string[] {
    return (knowledge.configuration()?.services ?? []).filter((service) => service.keyed).map((service) => service.name)
  }

  function capacities (service: string, except: ReadonlySet<string>): Array<{ readonly id: string, readonly capacity: number }> {
    const views = loads.views(now())
    const open = knowledge.availableServers(service).filter((server) => !except.has(server.id))
    const measured = open.map((server) => views.get(server.id)?.workMs ?? 0).filter((workMs) => workMs > 0)
    const mean = measured.length > 0 ? measured.reduce((sum, workMs) => sum + workMs, 0) / measured.length : knowledge.assumedWorkMs(service)
    return open.map((server) => {
      const view = views.get(server.id)
      const workMs = view !== undefined && view.workMs > 0 ? view.workMs : mean
      const sound = Math.max(LEAST_CAPACITY_SHARE, 1 - (view?.failureShare ?? 0))
      return { id: server.id, capacity: server.slots / workMs * sound }
    })
  }

  function needsPlan (ranges: readonly PlannedRange[], open: ReadonlySet<string>): boolean {
    return ranges.some((range) => range.owner === null || !open.has(range.owner))
  }

  /** The next plan of a service, or `null` where it stays as it is. */
  function nextPlan (service: string): readonly PlannedRange[] | null {
    const candidates = capacities(service, stewards.get(service)?.unresponsiveServers() ?? new Set())
    if (candidates.length === 0) return null
    const steward = stewards.get(service) ?? createSteward(service, partitionKeySpace(candidates.length).map((range) => ({ ...range, previous: null })))
    const ranges = steward.ranges()
    const load = keyLoads.get(service)?.read(now()) ?? new Map<number, number>()
    let total = 0
    for (const count of load.values()) total += count
    const open = new Set(candidates.map((candidate) => candidate.id))
    if (total < LEAST_LOAD && !needsPlan(ranges, open)) return null
    const planned = planRanges(ranges, {
      candidates, keyLoads: load, isFixed: steward.isFixed, maximumMoves: total < LEAST_LOAD ? 0 : maximumMovesPerPlan(candidates.length)
    })
    const owners = new Map(ranges.map((range) => [range.from, range.owner]))
    return planned.some((range) => owners.get(range.from) !== range.owner) ? planned : null
  }

  async function plan (): Promise<void> {
    const plans = new Map<string, readonly PlannedRange[]>()
    for (const service of keyedServices()) {
      const planned = nextPlan(service)
      if (planned !== null) plans.set(service, planned)
    }
    if (plans.size === 0) return
    const rows = [...plans].map(([service, planned]) => ({
      key: PLAN_PREFIX + service, value: encodePlanRecord(stewards.get(service)?.beginPlan(planned) ?? [])
    }))
    const outcome = await leadership.write(rows)
    for (const [service, planned] of plans) {
      if (outcome === 'written') stewards.get(service)?.applyPlan(planned)
      else stewards.get(service)?.abandonPlan()
    }
    logger.info({ services: [...plans.keys()], ranges: [...plans.values()].map((planned) => planned.length), outcome }, 'plan-stored')
    for (const steward of stewards.values()) steward.tick()
  }

  return {
    async takeOver () {
      stewards.clear()
      loads = createLoadAggregator()
      tokens = 0
      const rows = await options.table.changes(PLAN_PREFIX, 0)
      if (!rows.ok) return false
      active = true
      for (const row of rows.value.rows) {
        const recorded = decodePlanRecord(row.value)
        const service = row.key.slice(PLAN_PREFIX.length)
        leadership.recordRevision(row.key, row.revision)
        if (recorded === null) logger.error({ key: row.key, revision: row.revision }, 'plan-unreadable')
        else createSteward(service, recorded)
      }
      logger.info({ plans: rows.value.rows.length, revision: leadership.claimRevision() }, 'plans-taken-over')
      return true
    },
    stop () { active = false },
    remainingGrantDurationsMs () {
      const holds = new Map<string, number>()
      for (const steward of stewards.values()) for (const [id, leftMs] of steward.remainingGrantsMs()) holds.set(id, leftMs)
      return Object.fromEntries(holds)
    },
    tick () {
      if (!active || !leadership.isLeading()) return
      for (const steward of stewards.values()) steward.tick()
    },
    async plan () {
      if (!active || planning || !leadership.isLeading() || leadership.isStoreUnavailable()) return
      planning = true
      try {
        await plan()
      } finally {
        planning = false
      }
    },
    onServersChanged () {
      for (const [service, steward] of stewards) steward.setServers(serversOf(service), addresses())
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
    views: () => loads.views(now()),
    adjustShares () {
      loads.adjustShares((id) => {
        const server = knowledge.server(id)
        return server === undefined ? undefined : { slots: server.slots, assumedWorkMs: knowledge.assumedWorkMs(server.service) }
      }, now())
    },
    changedViews (complete) {
      const views = loads.views(now())
      const changed = new Map([...views].filter(([server, view]) => complete || isNoteworthy(told.get(server), view)))
      for (const [server, view] of changed) told.set(server, view)
      return encodeViews(changed)
    },
    initialUpdates (host) {
      const configuration = knowledge.configuration()
      const isNewer = configuration !== null && configuration.version > host.version
      return [
        ...(isNewer ? [{ kind: 'configuration', configuration } as const] : []),
        ...(host.servers === knowledge.serversDigest() ? [] : [{ kind: 'servers', servers: knowledge.servers() } as const]),
        ...ownersUpdates()
      ]
    },
    ownersUpdates
  }
}

/** Whether hosts would decide otherwise if they knew the view. */
function isNoteworthy (before: ServerView | undefined, view: ServerView): boolean {
  return before === undefined || Math.abs(view.inFlight - before.inFlight) >= NOTEWORTHY_IN_FLIGHT || view.silent !== before.silent || view.admitShare !== before.admitShare ||
    Math.abs(view.workMs - before.workMs) > before.workMs * NOTEWORTHY_SHARE || Math.abs(view.failureShare - before.failureShare) > NOTEWORTHY_SHARE
}
