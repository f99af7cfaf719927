/**
 * The leader's assignment of slices to servers and of servers to dispatchers.
 *
 * A new holder receives a slice or server only after the old one has released
 * it: either its host has reported the release, or every lease under which it
 * could act has ended. A server that does not check grants cannot reject a sender
 * that was paused past its lease. For such a server, only the report is
 * sufficient, or evidence that the old sender no longer exists.
 */
import { planSlices } from '../slices/mod.ts'
import { chooseDispatcher, findOverloadedDispatcher } from './_choose_dispatcher.ts'
import { formatSliceId, parseSliceId } from './_slice_id.ts'
import type { HostTable } from './host_table.ts'
import { createReleaseTracker } from './release_tracker.ts'
import type { CellServer, OwnersByService, ViewServer } from './types.ts'

/** Input of the assignment, from the platform's list, the configuration and measurements. */
export interface AssignmentInput {
  readonly servers: readonly CellServer[]
  /** Slices whose home is this cell, by keyed service. */
  readonly homes: Readonly<Record<string, readonly number[]>>
  /** Measured load of each slice, by service. */
  readonly loads: Readonly<Record<string, ReadonlyMap<number, number>>>
  /** Hosts that the platform lists. */
  readonly listedHosts: ReadonlySet<string>
  /** Hosts that the platform no longer lists. */
  readonly removedHosts: ReadonlySet<string>
}

/** Options of {@link Assignment.decide}. */
export interface DecideOptions {
  readonly now: number
  /** Version of the next view. */
  readonly version: number
  readonly hosts: HostTable
  /** Owners in the durable row. */
  readonly durableOwners: OwnersByService
  /** Whether slices, such as those of lost servers, may be granted before the new owners are durable. */
  readonly allowNonDurableMoves: boolean
  /** The leading host. */
  readonly leader: string
  /** Hosts that may dispatch. */
  readonly members: readonly string[]
  /** Whether slices may move away from available servers. */
  readonly rebalance: boolean
}

/** Assignment state of one server. */
interface ServerState {
  spec: CellServer
  dispatcher: string | null
  token: number
  lost: boolean
}

/** The assignment of one leader in one epoch. */
export interface Assignment {
  /** Replaces the input, with effect from the next {@link decide}. */
  setInput (input: AssignmentInput): void
  /** Makes the changes that are safe now; returns whether the view must change. */
  decide (options: DecideOptions): boolean
  /** Servers for the view. */
  servers (): readonly ViewServer[]
  /** Current owners. */
  owners (): OwnersByService
  /** Target owners, to be stored in the durable row. */
  targets (): OwnersByService
}

/** Options of {@link createAssignment}. */
export interface AssignmentOptions {
  readonly epoch: number
  /** Owners from the previous leader or the durable row. */
  readonly owners: OwnersByService
  /** Owners in the last view; a slice without an owner there was being moved. */
  readonly previousViewOwners: OwnersByService
  /** Servers in the previous leader's view. Default: none. */
  readonly servers?: readonly ViewServer[]
  /** Hosts of earlier epochs that may still have requests at servers that do not check grants. */
  readonly unconfirmedHosts: readonly string[]
}

/** Load of leading a cell, expressed as a number of servers to dispatch for. */
const LEADER_SERVER_WEIGHT = 3

/** Maximum number of view versions per epoch in a fencing token. */
const VERSIONS_PER_EPOCH = 2 ** 24

/**
 * Creates the assignment of a newly elected leader.
 *
 * @param options Epoch and the inherited owners, servers and hosts.
 * @returns The assignment; it has no owners before the first decision.
 */
export function createAssignment (options: AssignmentOptions): Assignment {
  const servers = new Map<string, ServerState>()
  const currentOwners = new Map<string, string>()
  const targetOwners = new Map<string, string>()
  const inheritedOwners = new Map<string, string>()
  const releases = createReleaseTracker(options.unconfirmedHosts)
  /** IDs of the slices that this leader has granted. */
  const granted = new Set<string>()
  let input: AssignmentInput = { servers: [], homes: {}, loads: {}, listedHosts: new Set(), removedHosts: new Set() }
  let listedServers: ReadonlySet<string> = new Set()
  let homeSliceIds: ReadonlySet<string> = new Set()
  let changed = false
  let targetsByService: OwnersByService | null = null
  let lastPlanInput = ''
  let lastPlannedHomes: AssignmentInput['homes'] = {}
  inheritState()

  function inheritState (): void {
    for (const [service, owners] of Object.entries(options.owners)) {
      for (const [slice, server] of Object.entries(owners)) targetOwners.set(formatSliceId(service, Number(slice)), server)
    }
    for (const [sliceId, server] of targetOwners) inheritedOwners.set(sliceId, server)
    for (const server of options.servers ?? []) {
      servers.set(server.id, { spec: server, dispatcher: null, token: 0, lost: false })
    }
  }

  function updateToken (state: ServerState, version: number): void {
    state.token = tokenOf(options.epoch, version)
    changed = true
  }

  function syncServers (context: DecideOptions): void {
    const listed = new Map(input.servers.map((server) => [server.id, server]))
    for (const spec of listed.values()) {
      const state = servers.get(spec.id)
      if (state === undefined) {
        servers.set(spec.id, { spec, dispatcher: null, token: 0, lost: false })
        changed = true
      } else if (JSON.stringify(state.spec) !== JSON.stringify(spec)) {
        state.spec = spec
        changed = true
      }
    }
    for (const [id, state] of servers) {
      if (!listed.has(id) && input.servers.length > 0) removeServer(id, state, context)
    }
  }

  function removeServer (id: string, state: ServerState, context: DecideOptions): void {
    if (state.dispatcher !== null) {
      releaseServer(id, state, context)
      return
    }
    if (releases.has(id)) return
    servers.delete(id)
    changed = true
  }

  function releaseServer (id: string, state: ServerState, context: DecideOptions): void {
    releases.begin(id, { dispatcher: state.dispatcher, server: id, version: context.version, slice: null })
    state.dispatcher = null
    updateToken(state, context.version)
  }

  function recordLosses (context: DecideOptions): void {
    for (const state of servers.values()) {
      const report = reportedLoss(state, context)
      if (report === undefined) continue
      if (state.lost && !ownsSlices(state.spec.id)) continue
      state.lost = true
      for (const [sliceId, owner] of currentOwners) {
        if (owner !== state.spec.id) continue
        const { slice } = parseSliceId(sliceId)
        currentOwners.delete(sliceId)
        if (report.held.includes(slice) || !state.spec.checksGrants) {
          releases.begin(sliceId, { dispatcher: state.dispatcher, server: owner, version: context.version, slice })
        }
      }
      updateToken(state, context.version)
    }
  }

  function ownsSlices (server: string): boolean {
    for (const owner of currentOwners.values()) {
      if (owner === server) return true
    }
    return false
  }

  function reportedLoss (state: ServerState, context: DecideOptions): { readonly held: readonly number[] } | undefined {
    if (state.dispatcher === null) return undefined
    const dispatcher = context.hosts.get(state.dispatcher)
    return dispatcher?.lost.find((lost) => lost.server === state.spec.id && lost.token === state.token)
  }

  function recordRecoveries (context: DecideOptions): void {
    for (const state of servers.values()) {
      if (!state.lost || state.dispatcher === null) continue
      const dispatcher = context.hosts.get(state.dispatcher)
      const hasRecovered = dispatcher !== undefined && dispatcher.applied >= tokenVersion(state.token) &&
        !dispatcher.pending.includes(state.spec.id) &&
        dispatcher.lost.every((lost) => lost.server !== state.spec.id)
      if (hasRecovered) state.lost = false
    }
  }

  function assignDispatchers (context: DecideOptions): void {
    const eligible = context.hosts.all()
      .filter((record) => context.members.includes(record.host) && context.hosts.isAlive(record.host, context.now) && !record.leaving)
      .map((record) => record.host).sort()
    for (const [id, state] of servers) {
      if (state.dispatcher !== null && !eligible.includes(state.dispatcher)) releaseServer(id, state, context)
    }
    const counts = new Map(eligible.map((host) => [host, host === context.leader ? LEADER_SERVER_WEIGHT : 0]))
    for (const state of servers.values()) {
      if (state.dispatcher !== null) counts.set(state.dispatcher, (counts.get(state.dispatcher) ?? 0) + 1)
    }
    for (const [id, state] of servers) {
      if (state.dispatcher !== null || releases.has(id) || !isListed(id)) continue
      const host = chooseDispatcher(state.spec, { servers: servers.values(), counts })
      if (host === undefined) continue
      state.dispatcher = host
      counts.set(host, (counts.get(host) ?? 0) + 1)
      updateToken(state, context.version)
    }
    if (context.rebalance) rebalanceDispatchers(counts, context)
  }

  function indexInput (next: AssignmentInput): void {
    listedServers = new Set(next.servers.map((server) => server.id))
    homeSliceIds = new Set(Object.entries(next.homes)
      .flatMap(([service, slices]) => slices.map((slice) => formatSliceId(service, slice))))
  }

  function isListed (id: string): boolean {
    return listedServers.has(id)
  }

  /** Moves one keyed server away from a host that has at least two more than another. */
  function rebalanceDispatchers (counts: ReadonlyMap<string, number>, context: DecideOptions): void {
    const overloaded = findOverloadedDispatcher(counts)
    if (overloaded === undefined || releases.size() > 0) return
    for (const [id, state] of servers) {
      if (state.dispatcher !== overloaded || !state.spec.keyed || state.lost) continue
      releaseServer(id, state, context)
      return
    }
  }

  /** Recomputes the target owners if the input of the plan has changed. */
  function planOwners (context: DecideOptions): void {
    const planInput = [releases.unconfirmedHostCount(), ...[...servers.values()].map((state) =>
      `${state.spec.id}${state.lost ? '-' : ''}${state.spec.leaving ? '/' : ''}${isListed(state.spec.id) ? '' : '?'}`)].join()
    if (planInput === lastPlanInput && input.homes === lastPlannedHomes && !context.rebalance) return
    lastPlanInput = planInput
    lastPlannedHomes = input.homes
    for (const [service, slices] of Object.entries(input.homes)) {
      const eligible = [...servers.values()]
        .filter((state) => state.spec.service === service && !state.lost && !state.spec.leaving && isListed(state.spec.id))
        .map((state) => state.spec.id)
      const owned = new Map(slices.map((slice) => [slice, targetOwners.get(formatSliceId(service, slice)) ?? null]))
      const plan = planSlices(owned, {
        servers: eligible,
        loads: input.loads[service],
        maximumMoves: context.rebalance ? undefined : 0
      })
      for (const [slice, server] of plan) {
        const sliceId = formatSliceId(service, slice)
        if (targetOwners.get(sliceId) === server) continue
        if (isBoundByUnconfirmedHost(targetOwners.get(sliceId))) continue
        targetOwners.set(sliceId, server)
        targetsByService = null
      }
    }
  }

  /** Whether an unconfirmed host may still send to the server, so that its slices must not move. */
  function isBoundByUnconfirmedHost (server: string | undefined): boolean {
    if (server === undefined || releases.unconfirmedHostCount() === 0) return false
    const state = servers.get(server)
    return state !== undefined && !state.spec.checksGrants
  }

  function releaseMovedSlices (context: DecideOptions): void {
    for (const [sliceId, owner] of currentOwners) {
      if (targetOwners.get(sliceId) === owner && homeSliceIds.has(sliceId)) continue
      const state = servers.get(owner)
      currentOwners.delete(sliceId)
      changed = true
      if (state === undefined) continue
      const { slice } = parseSliceId(sliceId)
      const holder = state.dispatcher ?? releases.get(owner)?.dispatcher ?? null
      releases.begin(sliceId, { dispatcher: holder, server: owner, version: context.version, slice })
      updateToken(state, context.version)
    }
  }

  function grantTargetSlices (context: DecideOptions): void {
    for (const [sliceId, target] of targetOwners) {
      if (currentOwners.has(sliceId) || releases.has(sliceId)) continue
      const { service, slice } = parseSliceId(sliceId)
      const state = servers.get(target)
      if (state === undefined || !homeSliceIds.has(sliceId)) continue
      if (state.lost || state.dispatcher === null) continue
      const isDurable = context.durableOwners[service]?.[String(slice)] === target || inheritedOwners.get(sliceId) === target
      if (!isDurable && !context.allowNonDurableMoves) continue
      if (!hasConfirmedOwner(sliceId, target) && mayHaveRequestsElsewhere(service, target, context)) continue
      granted.add(sliceId)
      currentOwners.set(sliceId, target)
      updateToken(state, context.version)
    }
  }

  /** Whether the slice already had this owner under the previous leader, or has been granted since. */
  function hasConfirmedOwner (sliceId: string, target: string): boolean {
    const { service, slice } = parseSliceId(sliceId)
    return granted.has(sliceId) || options.previousViewOwners[service]?.[String(slice)] === target
  }

  /** Whether requests of an earlier epoch may remain at another server that does not check grants. */
  function mayHaveRequestsElsewhere (service: string, target: string, context: DecideOptions): boolean {
    const others = [...servers.values()]
      .filter((state) => state.spec.service === service && !state.spec.checksGrants && state.spec.id !== target)
      .map((state) => state.spec.id)
    if (others.length === 0) return false
    return releases.mayHaveRequests(others, context.hosts)
  }

  return {
    setInput (next) {
      if (next !== input) indexInput(next)
      input = next
    },
    decide (context) {
      changed = false
      syncServers(context)
      recordLosses(context)
      recordRecoveries(context)
      releases.removeCompleted({
        now: context.now,
        hosts: context.hosts,
        removedHosts: input.removedHosts,
        checksGrants: (server) => servers.get(server)?.spec.checksGrants ?? false
      })
      assignDispatchers(context)
      planOwners(context)
      releaseMovedSlices(context)
      grantTargetSlices(context)
      return changed
    },
    servers: () => [...servers.values()].map((state) => ({ ...state.spec, dispatcher: state.dispatcher, token: state.token })),
    owners: () => groupByService(currentOwners),
    targets () {
      targetsByService ??= groupByService(targetOwners)
      return targetsByService
    }
  }
}

/** View tokens are even; the next odd number is the token that releases the grants of that view. */
function tokenOf (epoch: number, version: number): number {
  return (epoch * VERSIONS_PER_EPOCH + version) * 2
}

function tokenVersion (token: number): number {
  return Math.floor(token / 2) % VERSIONS_PER_EPOCH
}

function groupByService (serverBySlice: ReadonlyMap<string, string>): OwnersByService {
  const grouped: Record<string, Record<string, string>> = {}
  for (const [sliceId, server] of serverBySlice) {
    const { service, slice } = parseSliceId(sliceId)
    const owners = grouped[service] ?? {}
    owners[String(slice)] = server
    grouped[service] = owners
  }
  return grouped
}
