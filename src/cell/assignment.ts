/**
 * The leader's assignment of slices to servers and of servers to dispatchers.
 *
 * Nothing is given to a new holder before the old one is known to have let go:
 * either its host reported the release, or every lease under which it could
 * act has ended. A server that does not check grants cannot refuse a sender
 * that was paused past its lease, so there only the report counts, or proof
 * that the old sender is gone.
 */
import { planSlices } from '../slices/mod.ts'
import { chooseDispatcher, findOverloadedDispatcher } from './_choose_dispatcher.ts'
import { formatSliceId, parseSliceId } from './_slice_id.ts'
import type { HostTable } from './host_table.ts'
import { createReleaseTracker } from './release_tracker.ts'
import type { CellServer, OwnersByService, ViewServer } from './types.ts'

/** What the assignment works from; taken from the platform's list, the configuration and measurements. */
export interface AssignmentInput {
  readonly servers: readonly CellServer[]
  /** Slices that are at home in this cell, by keyed service. */
  readonly homes: Readonly<Record<string, readonly number[]>>
  /** Measured load of each slice, by service. */
  readonly loads: Readonly<Record<string, ReadonlyMap<number, number>>>
  /** Hosts that the platform's list names. */
  readonly listedHosts: ReadonlySet<string>
  /** Hosts that the platform's list does not name any more. */
  readonly removedHosts: ReadonlySet<string>
}

/** Circumstances of one run of {@link Assignment.decide}. */
export interface DecideOptions {
  readonly now: number
  /** Version that the next view will bear. */
  readonly version: number
  readonly hosts: HostTable
  /** Owners in the durable row. */
  readonly durableOwners: OwnersByService
  /** Whether slices of lost servers may move before the durable write has succeeded. */
  readonly allowNonDurableMoves: boolean
  /** The host that leads. */
  readonly leader: string
  /** Hosts that may dispatch. */
  readonly members: readonly string[]
  /** Whether slices may move from servers that stay. */
  readonly rebalance: boolean
}

/** State of one server in the assignment. */
interface ServerState {
  spec: CellServer
  dispatcher: string | null
  token: number
  lost: boolean
}

/** The assignment of one leader in one epoch. */
export interface Assignment {
  /** Replaces the input; takes effect at the next {@link decide}. */
  setInput (input: AssignmentInput): void
  /** Changes the assignment as far as is safe now; returns whether the view changed. */
  decide (options: DecideOptions): boolean
  /** Servers as the view shows them. */
  servers (): readonly ViewServer[]
  /** Owners in force. */
  owners (): OwnersByService
  /** Owners that the durable row should name. */
  targets (): OwnersByService
}

/** Where an assignment starts from. */
export interface AssignmentOptions {
  readonly epoch: number
  /** Owners under the last leader, or in the durable row. */
  readonly owners: OwnersByService
  /** Owners in the last view; a slice that it gives no owner was between two owners. */
  readonly previousViewOwners: OwnersByService
  /** Servers of the last leader's view. Default: none. */
  readonly servers?: readonly ViewServer[]
  /** Hosts of earlier epochs that could still act for servers that do not check grants. */
  readonly unconfirmedHosts: readonly string[]
}

/** Leading weighs as much as dispatching for this many servers. */
const LEADING_WEIGHT = 3

/** Versions of one epoch that fit into a fencing token. */
const VERSIONS_PER_EPOCH = 2 ** 24

/**
 * Creates the assignment of a leader whose authority has just begun.
 *
 * @param options Epoch and inheritance.
 * @returns The assignment; it holds nothing in force before the first decision.
 */
export function createAssignment (options: AssignmentOptions): Assignment {
  const servers = new Map<string, ServerState>()
  const current = new Map<string, string>()
  const targets = new Map<string, string>()
  const inherited = new Map<string, string>()
  const releases = createReleaseTracker(options.unconfirmedHosts)
  /** Slices that this leader has granted. */
  const granted = new Set<string>()
  let input: AssignmentInput = { servers: [], homes: {}, loads: {}, listedHosts: new Set(), removedHosts: new Set() }
  let listedServers: ReadonlySet<string> = new Set()
  let homeUnits: ReadonlySet<string> = new Set()
  let changed = false
  let targetsByService: OwnersByService | null = null
  let plannedFor = ''
  let plannedHomes: AssignmentInput['homes'] = {}
  inherit()

  function inherit (): void {
    for (const [service, owners] of Object.entries(options.owners)) {
      for (const [slice, server] of Object.entries(owners)) targets.set(formatSliceId(service, Number(slice)), server)
    }
    for (const [unit, server] of targets) inherited.set(unit, server)
    for (const server of options.servers ?? []) {
      servers.set(server.id, { spec: server, dispatcher: null, token: 0, lost: false })
    }
  }

  function touch (state: ServerState, version: number): void {
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
      retireServer(id, state, context)
      return
    }
    if (releases.has(id)) return
    servers.delete(id)
    changed = true
  }

  function retireServer (id: string, state: ServerState, context: DecideOptions): void {
    releases.begin(id, { dispatcher: state.dispatcher, server: id, version: context.version, slice: null })
    state.dispatcher = null
    touch(state, context.version)
  }

  function noteLosses (context: DecideOptions): void {
    for (const state of servers.values()) {
      const report = reportedLoss(state, context)
      if (report === undefined) continue
      if (state.lost && !ownsAnything(state.spec.id)) continue
      state.lost = true
      for (const [unit, owner] of current) {
        if (owner !== state.spec.id) continue
        const { slice } = parseSliceId(unit)
        current.delete(unit)
        if (report.held.includes(slice) || !state.spec.checksGrants) {
          releases.begin(unit, { dispatcher: state.dispatcher, server: owner, version: context.version, slice })
        }
      }
      touch(state, context.version)
    }
  }

  function ownsAnything (server: string): boolean {
    for (const owner of current.values()) {
      if (owner === server) return true
    }
    return false
  }

  function reportedLoss (state: ServerState, context: DecideOptions): { readonly held: readonly number[] } | undefined {
    if (state.dispatcher === null) return undefined
    const dispatcher = context.hosts.get(state.dispatcher)
    return dispatcher?.lost.find((lost) => lost.server === state.spec.id && lost.token === state.token)
  }

  function noteReturns (context: DecideOptions): void {
    for (const state of servers.values()) {
      if (!state.lost || state.dispatcher === null) continue
      const dispatcher = context.hosts.get(state.dispatcher)
      const answered = dispatcher !== undefined && dispatcher.applied >= tokenVersion(state.token) &&
        !dispatcher.pending.includes(state.spec.id) &&
        dispatcher.lost.every((lost) => lost.server !== state.spec.id)
      if (answered) state.lost = false
    }
  }

  function assignDispatchers (context: DecideOptions): void {
    const able = context.hosts.all()
      .filter((known) => context.members.includes(known.host) && context.hosts.isAlive(known.host, context.now) && !known.leaving)
      .map((known) => known.host).sort()
    for (const [id, state] of servers) {
      if (state.dispatcher !== null && !able.includes(state.dispatcher)) retireServer(id, state, context)
    }
    const counts = new Map(able.map((host) => [host, host === context.leader ? LEADING_WEIGHT : 0]))
    for (const state of servers.values()) {
      if (state.dispatcher !== null) counts.set(state.dispatcher, (counts.get(state.dispatcher) ?? 0) + 1)
    }
    for (const [id, state] of servers) {
      if (state.dispatcher !== null || releases.has(id) || !isListed(id)) continue
      const host = chooseDispatcher(state.spec, { servers: servers.values(), counts })
      if (host === undefined) continue
      state.dispatcher = host
      counts.set(host, (counts.get(host) ?? 0) + 1)
      touch(state, context.version)
    }
    if (context.rebalance) evenOut(counts, context)
  }

  function index (next: AssignmentInput): void {
    listedServers = new Set(next.servers.map((server) => server.id))
    homeUnits = new Set(Object.entries(next.homes)
      .flatMap(([service, slices]) => slices.map((slice) => formatSliceId(service, slice))))
  }

  function isListed (id: string): boolean {
    return listedServers.has(id)
  }

  /** Moves one keyed server away from a host that has two or more above another. */
  function evenOut (counts: ReadonlyMap<string, number>, context: DecideOptions): void {
    const overloaded = findOverloadedDispatcher(counts)
    if (overloaded === undefined || releases.size() > 0) return
    for (const [id, state] of servers) {
      if (state.dispatcher !== overloaded || !state.spec.keyed || state.lost) continue
      retireServer(id, state, context)
      return
    }
  }

  /** The plan is made again when what it works from has changed. */
  function planOwners (context: DecideOptions): void {
    const planFor = [releases.unconfirmedHostCount(), ...[...servers.values()].map((state) =>
      `${state.spec.id}${state.lost ? '-' : ''}${state.spec.leaving ? '/' : ''}${isListed(state.spec.id) ? '' : '?'}`)].join()
    if (planFor === plannedFor && input.homes === plannedHomes && !context.rebalance) return
    plannedFor = planFor
    plannedHomes = input.homes
    for (const [service, slices] of Object.entries(input.homes)) {
      const able = [...servers.values()]
        .filter((state) => state.spec.service === service && !state.lost && !state.spec.leaving && isListed(state.spec.id))
        .map((state) => state.spec.id)
      const owned = new Map(slices.map((slice) => [slice, targets.get(formatSliceId(service, slice)) ?? null]))
      const plan = planSlices(owned, {
        servers: able,
        loads: input.loads[service],
        maximumMoves: context.rebalance ? undefined : 0
      })
      for (const [slice, server] of plan) {
        const unit = formatSliceId(service, slice)
        if (targets.get(unit) === server) continue
        if (isBoundByUnproven(targets.get(unit))) continue
        targets.set(unit, server)
        targetsByService = null
      }
    }
  }

  /** Whether an unknown sender may still reach the server, so that its slices must stay. */
  function isBoundByUnproven (server: string | undefined): boolean {
    if (server === undefined || releases.unconfirmedHostCount() === 0) return false
    const state = servers.get(server)
    return state !== undefined && !state.spec.checksGrants
  }

  function releaseMoved (context: DecideOptions): void {
    for (const [unit, owner] of current) {
      if (targets.get(unit) === owner && homeUnits.has(unit)) continue
      const state = servers.get(owner)
      current.delete(unit)
      changed = true
      if (state === undefined) continue
      const { slice } = parseSliceId(unit)
      const holder = state.dispatcher ?? releases.get(owner)?.dispatcher ?? null
      releases.begin(unit, { dispatcher: holder, server: owner, version: context.version, slice })
      touch(state, context.version)
    }
  }

  function grantTargets (context: DecideOptions): void {
    for (const [unit, target] of targets) {
      if (current.has(unit) || releases.has(unit)) continue
      const { service, slice } = parseSliceId(unit)
      const state = servers.get(target)
      if (state === undefined || !homeUnits.has(unit)) continue
      if (state.lost || state.dispatcher === null) continue
      const written = context.durableOwners[service]?.[String(slice)] === target || inherited.get(unit) === target
      if (!written && !context.allowNonDurableMoves) continue
      if (!isSettled(unit, target) && mayBeAtWork(service, target, context)) continue
      granted.add(unit)
      current.set(unit, target)
      touch(state, context.version)
    }
  }

  /** Whether the slice was not between two owners when the last leader's authority ended, or has been granted since. */
  function isSettled (unit: string, target: string): boolean {
    const { service, slice } = parseSliceId(unit)
    return granted.has(unit) || options.previousViewOwners[service]?.[String(slice)] === target
  }

  /** Whether requests of an earlier epoch may still be at a server that does not check grants. */
  function mayBeAtWork (service: string, target: string, context: DecideOptions): boolean {
    const others = [...servers.values()]
      .filter((state) => state.spec.service === service && !state.spec.checksGrants && state.spec.id !== target)
      .map((state) => state.spec.id)
    if (others.length === 0) return false
    return releases.mayHaveRequests(others, context.hosts)
  }

  return {
    setInput (next) {
      if (next !== input) index(next)
      input = next
    },
    decide (context) {
      changed = false
      syncServers(context)
      noteLosses(context)
      noteReturns(context)
      releases.removeCompleted({
        now: context.now,
        hosts: context.hosts,
        removedHosts: input.removedHosts,
        checksGrants: (server) => servers.get(server)?.spec.checksGrants ?? false
      })
      assignDispatchers(context)
      planOwners(context)
      releaseMoved(context)
      grantTargets(context)
      return changed
    },
    servers: () => [...servers.values()].map((state) => ({ ...state.spec, dispatcher: state.dispatcher, token: state.token })),
    owners: () => group(current),
    targets () {
      targetsByService ??= group(targets)
      return targetsByService
    }
  }
}

/** Tokens of views are even; the odd one after each is the release of what it granted. */
function tokenOf (epoch: number, version: number): number {
  return (epoch * VERSIONS_PER_EPOCH + version) * 2
}

function tokenVersion (token: number): number {
  return Math.floor(token / 2) % VERSIONS_PER_EPOCH
}

function group (units: ReadonlyMap<string, string>): OwnersByService {
  const grouped: Record<string, Record<string, string>> = {}
  for (const [unit, server] of units) {
    const { service, slice } = parseSliceId(unit)
    const owners = grouped[service] ?? {}
    owners[String(slice)] = server
    grouped[service] = owners
  }
  return grouped
}
