/**
 * Simulates a cluster around the decision code of several hosts: a clock, a
 * network, the durable row and backend servers. The simulation makes no
 * decisions of its own; it delays, loses and duplicates the messages of the
 * decision code, and records what servers did. Simulated time is in
 * milliseconds; every host and server has its own clock.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { AssignmentInput, CellRow, CellServer, StoredRow, RowOutcome } from '../src/cell/mod.ts'
import type { GrantAction, GrantOutcome } from '../src/dispatch/mod.ts'
import { createEventQueue } from './event_queue.ts'
import type { Fault } from './fault.ts'
import { createOwnershipChecker, type Run, type Violation } from './ownership_checker.ts'
import { createHostCore, type HostAction, type HostCore } from '../src/host/host_core.ts'

/** Options of {@link createClusterSimulation}. */
export interface ClusterSimulationOptions {
  readonly seed: number
  readonly hosts: number
  readonly servers: number
  readonly slices: number
  /** Whether the server with a given index checks grants. */
  readonly checksGrants: (server: number) => boolean
  /** Whether an announced owner may change only after its server was drained. Default: false. */
  readonly keepsAnnounced?: boolean
  /** Interval between requests, in milliseconds. Default: 7. */
  readonly requestIntervalMs?: number
}

/** A simulated cluster. */
export interface ClusterSimulation {
  readonly violations: readonly Violation[]
  readonly runs: readonly Run[]
  now (): number
  advance (durationMs: number): void
  inject (fault: Fault): void
  /** Ends every fault except pauses and freezes, which expire, and starts the servers and hosts that are down. */
  clearFaults (): void
  /** Slices for which no host may send requests now. */
  unservedSlices (): number[]
  /** Requests that a server started after a time. */
  runsStartedAfter (server: string, time: number): Run[]
  hosts (): readonly string[]
  leaderCount (): number
  /** State of the row, the running hosts and the servers, to diagnose a failure. */
  dump (): unknown
}

interface FakeHost {
  readonly name: string
  readonly index: number
  core: HostCore
  isUp: boolean
  pausedUntil: number
  clockOffsetMs: number
  clockRate: number
  incarnation: number
  platformDownUntil: number
}

interface FakeServer {
  readonly id: string
  readonly index: number
  readonly checksGrants: boolean
  isUp: boolean
  frozenUntil: number
  boot: number
  clockOffsetMs: number
  clockRate: number
  highestToken: number
  ownedSince: Map<number, number>
  grantedUntil: number
  unreachableFrom: Set<number>
  unreachableUntil: number
  drainedAt: number
}

interface Cut {
  readonly side: ReadonlySet<number>
  readonly others: ReadonlySet<number>
  readonly servers: ReadonlySet<number>
  readonly until: number
}

const SERVICE = 'keys'
const TICK_MS = 25
const SERVER_ADDRESS = '127.0.0.1:1'

/**
 * Creates a cluster with every host and server running.
 *
 * @param options Sizes and seed.
 * @returns The cluster, at time 0.
 */
export function createClusterSimulation (options: ClusterSimulationOptions): ClusterSimulation {
  const random = xoroshiro128plus(options.seed)
  const queue = createEventQueue()
  const { schedule } = queue
  const cuts: Cut[] = []
  let row: StoredRow | null = null
  let revision = 0
  let writeResponsesToLose = 0
  let slowNetworkUntil = 0
  let incarnationCount = 0
  const checker = createOwnershipChecker({
    service: SERVICE,
    now: queue.now,
    checksGrants: (server) => servers.find((other) => other.id === server)?.checksGrants === true,
    isDrained: (server) => servers.some((other) => other.id === server && queue.now() > other.drainedAt),
    keepsAnnounced: options.keepsAnnounced === true
  })
  const homes = { [SERVICE]: Array.from({ length: options.slices }, (_, slice) => slice) }
  const servers: FakeServer[] = Array.from({ length: options.servers }, (_, index) => createServer(index))
  const hosts: FakeHost[] = Array.from({ length: options.hosts }, (_, index) => createHost(index))
  for (const host of hosts) schedule(randomInteger(0, TICK_MS), () => { tick(host, host.incarnation) })
  schedule(0, sendRequests)

  function randomInteger (from: number, to: number): number {
    return uniformInt(random, from, to)
  }

  /** Clock rates deviate by up to 1.5 %. */
  function randomClockRate (): number {
    return 1 + randomInteger(-15, 15) / 1000
  }

  function createServer (index: number): FakeServer {
    return {
      id: `server-${index}`,
      index,
      checksGrants: options.checksGrants(index),
      isUp: true,
      frozenUntil: 0,
      boot: 1,
      clockOffsetMs: randomInteger(0, 100_000),
      clockRate: randomClockRate(),
      highestToken: 0,
      ownedSince: new Map(),
      grantedUntil: 0,
      unreachableFrom: new Set(),
      unreachableUntil: 0,
      drainedAt: Infinity
    }
  }

  function createHost (index: number): FakeHost {
    const name = `10.0.0.${index + 1}:7100`
    const host = {
      name, index, isUp: true, pausedUntil: 0, clockOffsetMs: randomInteger(0, 100_000), clockRate: randomClockRate(), incarnation: 0, platformDownUntil: 0
    } as unknown as FakeHost
    startIncarnation(host)
    return host
  }

  function startIncarnation (host: FakeHost): void {
    host.isUp = true
    host.pausedUntil = 0
    host.incarnation = ++incarnationCount
    host.clockOffsetMs = randomInteger(0, 100_000)
    host.core = createHostCore({
      self: { host: host.name, incarnation: host.incarnation },
      startedAt: clock(host),
      seeds: Array.from({ length: options.hosts }, (_, index) => `10.0.0.${index + 1}:7100`).filter((name) => name !== host.name)
    })
  }

  function clock (owner: { readonly clockOffsetMs: number, readonly clockRate: number }): number {
    return Math.floor(owner.clockOffsetMs + queue.now() * owner.clockRate)
  }

  /** Runs `callback` immediately, or when the pause of the host ends; never in another incarnation. */
  function runWhenResumed (host: FakeHost, incarnation: number, callback: () => void): void {
    if (!host.isUp || host.incarnation !== incarnation) return
    if (queue.now() < host.pausedUntil) schedule(host.pausedUntil - queue.now(), () => { runWhenResumed(host, incarnation, callback) })
    else callback()
  }

  function tick (host: FakeHost, incarnation: number): void {
    runWhenResumed(host, incarnation, () => {
      host.core.setInput(assignmentInputOf(host), queue.now() >= host.platformDownUntil)
      performActions(host, host.core.tick(clock(host)))
      schedule(TICK_MS, () => { tick(host, incarnation) })
    })
  }

  function assignmentInputOf (host: FakeHost): AssignmentInput {
    const knowsDrains = queue.now() >= host.platformDownUntil
    return {
      servers: servers.map((server): CellServer => ({
        id: server.id,
        service: SERVICE,
        address: SERVER_ADDRESS,
        checksGrants: server.checksGrants,
        keyed: true,
        leaving: knowsDrains && queue.now() > server.drainedAt
      })),
      homes,
      loads: {},
      listedHosts: new Set(hosts.map((other) => other.name)),
      removedHosts: new Set()
    }
  }

  function randomDelayMs (): number {
    if (queue.now() < slowNetworkUntil) return randomInteger(1, 600)
    return randomInteger(0, 40) === 0 ? randomInteger(1, 120) : randomInteger(1, 4)
  }

  function isCut (left: number, right: number): boolean {
    return cuts.some((cut) => queue.now() < cut.until &&
      ((cut.side.has(left) && cut.others.has(right)) || (cut.side.has(right) && cut.others.has(left))))
  }

  /** Performs the actions of a host after a short delay, or after a pause that starts during the delay. */
  function performActions (host: FakeHost, actions: readonly HostAction[]): void {
    const incarnation = host.incarnation
    for (const action of actions) {
      schedule(randomInteger(0, 1), () => { runWhenResumed(host, incarnation, () => { performAction(host, action) }) })
    }
    const view = host.core.cell.view()
    if (view !== null) checker.recordView(view)
  }

  function performAction (host: FakeHost, action: HostAction): void {
    switch (action.kind) {
      case 'send': {
        const target = hosts.find((other) => other.name === action.to)
        if (target === undefined) return
        deliver(host, target, () => { performActions(target, target.core.onMessage(host.name, action.message, clock(target))) })
        if (randomInteger(0, 30) === 0) deliver(host, target, () => { performActions(target, target.core.onMessage(host.name, action.message, clock(target))) })
        return
      }
      case 'pull-view': pullView(host, action.from); return
      case 'pull-rows': return
      case 'read-row': callPlatform(host, () => ({ kind: 'read', storedRow: row })); return
      case 'write-row': callPlatform(host, () => writeRow(action.expectedRevision, action.row), true); return
      case 'grant': sendGrant(host, action.grant)
    }
  }

  function deliver (from: FakeHost, to: FakeHost, callback: () => void): void {
    if (from !== to && (isCut(from.index, to.index) || randomInteger(0, 60) === 0)) return
    schedule(from === to ? 0 : randomDelayMs(), () => {
      if (from !== to && isCut(from.index, to.index)) return
      runWhenResumed(to, to.incarnation, callback)
    })
  }

  function pullView (host: FakeHost, from: string): void {
    const source = hosts.find((other) => other.name === from)
    if (source === undefined) return
    deliver(host, source, () => {
      const view = source.core.cell.heldView()
      if (view === null) return
      deliver(source, host, () => { performActions(host, host.core.onView(view, clock(host))) })
    })
  }

  function writeRow (expectedRevision: number, next: CellRow): RowOutcome {
    if ((row?.revision ?? 0) !== expectedRevision) return { kind: 'conflict', storedRow: row }
    row = { row: next, revision: ++revision }
    checker.recordRow(revision, next)
    return { kind: 'written', storedRow: row }
  }

  function callPlatform (host: FakeHost, callback: () => RowOutcome, isWrite = false): void {
    const { incarnation } = host
    const respond = (outcome: RowOutcome): void => {
      runWhenResumed(host, incarnation, () => { performActions(host, host.core.onRow(outcome, clock(host))) })
    }
    schedule(randomDelayMs() + 3, () => {
      const isDown = queue.now() < host.platformDownUntil
      const outcome: RowOutcome = isDown ? { kind: 'unavailable' } : callback()
      const isLost = isWrite && writeResponsesToLose > 0 && outcome.kind === 'written'
      if (isLost) writeResponsesToLose--
      if (isDown || isLost) schedule(200, () => { respond({ kind: 'unavailable' }) })
      else schedule(randomDelayMs(), () => { respond(outcome) })
    })
  }

  function canReach (host: FakeHost, server: FakeServer): boolean {
    if (queue.now() < server.unreachableUntil && server.unreachableFrom.has(host.index)) return false
    return !cuts.some((cut) => queue.now() < cut.until && cut.others.has(host.index) && cut.servers.has(server.index))
  }

  /** Runs `callback` immediately, or when the freeze of the server ends; a frozen server receives its messages afterwards. */
  function runWhenUnfrozen (server: FakeServer, boot: number, callback: () => void): void {
    if (!server.isUp || server.boot !== boot) return
    if (queue.now() < server.frozenUntil) schedule(server.frozenUntil - queue.now(), () => { runWhenUnfrozen(server, boot, callback) })
    else callback()
  }

  function sendGrant (host: FakeHost, grant: GrantAction): void {
    const server = servers.find((other) => other.id === grant.server)
    if (server === undefined) return
    let isFinished = false
    const { incarnation } = host
    const finish = (outcome: GrantOutcome): void => {
      if (isFinished) return
      isFinished = true
      runWhenResumed(host, incarnation, () => { performActions(host, host.core.onGrantOutcome(grant, outcome, clock(host))) })
    }
    schedule(300, () => { finish({ kind: 'no-answer' }) })
    if (!canReach(host, server)) return
    schedule(randomDelayMs(), () => {
      if (!server.isUp) {
        schedule(1, () => { finish({ kind: 'connection-refused' }) })
        return
      }
      runWhenUnfrozen(server, server.boot, () => {
        const outcome = applyGrant(server, grant)
        if (canReach(host, server)) schedule(randomDelayMs(), () => { finish(outcome) })
      })
    })
  }

  function applyGrant (server: FakeServer, { request }: GrantAction): GrantOutcome {
    const now = clock(server)
    const response = { kind: 'answered', answer: { boot: String(server.boot), now } } as const
    if (!server.checksGrants) return response
    if (request.token < server.highestToken) return { kind: 'superseded' }
    if (request.slices === undefined && request.token !== server.highestToken) return response
    const until = request.boot === String(server.boot) ? request.basis + request.duration : 0
    const previouslyOwnedSince = now < server.grantedUntil ? server.ownedSince : new Map<number, number>()
    server.grantedUntil = request.token === server.highestToken ? Math.max(server.grantedUntil, until) : until
    server.highestToken = request.token
    const slices = request.slices ?? [...server.ownedSince.keys()]
    server.ownedSince = new Map(slices.map((slice) => [slice, previouslyOwnedSince.get(slice) ?? now]))
    recordHolders()
    return response
  }

  function ownsSlice (server: FakeServer, slice: number): boolean {
    return server.isUp && server.checksGrants && clock(server) < server.grantedUntil && server.ownedSince.has(slice)
  }

  function recordHolders (): void {
    for (let slice = 0; slice < options.slices; slice++) {
      checker.recordHolders(slice, servers.filter((server) => ownsSlice(server, slice)).map((server) => server.id))
    }
  }

  function sendRequests (): void {
    const host = hosts[randomInteger(0, hosts.length - 1)]
    const slice = randomInteger(0, options.slices - 1)
    if (host !== undefined && host.isUp && queue.now() >= host.pausedUntil) sendRequest(host, slice)
    schedule(options.requestIntervalMs ?? 7, sendRequests)
  }

  /** Admits a request, then writes it to the socket after a delay during which the host may be paused or killed. */
  function sendRequest (host: FakeHost, slice: number): void {
    const admission = host.core.grantManager.admitSlice(SERVICE, slice, clock(host))
    if (admission === null) return
    const server = servers.find((other) => other.id === admission.server.id)
    if (server === undefined) return
    const { incarnation } = host
    let hasEnded = false
    host.core.grantManager.begin(server.id, slice)
    const end = (): void => {
      if (hasEnded) return
      hasEnded = true
      runWhenResumed(host, incarnation, () => { host.core.grantManager.end(server.id, slice) })
    }
    schedule(1, () => {
      runWhenResumed(host, incarnation, () => {
        if (!canReach(host, server)) {
          schedule(1500, end)
          return
        }
        const { boot } = server
        schedule(randomDelayMs(), () => {
          if (!server.isUp || server.boot !== boot) end()
          else runWhenUnfrozen(server, boot, () => { runRequest(server, { slice, token: admission.token, end }) })
          endWhenServerExits(server, boot, end)
        })
      })
    })
  }

  /** Ends a request when its server exits, because the connection is reset. */
  function endWhenServerExits (server: FakeServer, boot: number, end: () => void): void {
    if (!server.isUp || server.boot !== boot) end()
    else if (queue.now() < server.frozenUntil) schedule(50, () => { endWhenServerExits(server, boot, end) })
  }

  function runRequest (server: FakeServer, request: { readonly slice: number, readonly token: number, readonly end: () => void }): void {
    if (server.checksGrants && (request.token !== server.highestToken || !ownsSlice(server, request.slice))) {
      schedule(1, request.end)
      return
    }
    const run: Run = { slice: request.slice, server: server.id, token: request.token, startedAt: queue.now(), endedAt: Infinity }
    checker.recordRun(run)
    const { boot } = server
    schedule(randomInteger(1, 30), () => {
      runWhenUnfrozen(server, boot, () => {
        run.endedAt = queue.now()
        schedule(1, request.end)
      })
    })
    onServerExit(server, boot, () => {
      if (run.endedAt === Infinity) run.endedAt = queue.now()
      request.end()
    })
  }

  const serverExitCallbacks: Array<{ readonly server: FakeServer, readonly boot: number, readonly callback: () => void }> = []

  function onServerExit (server: FakeServer, boot: number, callback: () => void): void {
    if (serverExitCallbacks.length > 5000) serverExitCallbacks.splice(0, 2500)
    serverExitCallbacks.push({ server, boot, callback })
  }

  function inject (fault: Fault): void {
    switch (fault.kind) {
      case 'kill': killHost(hosts[fault.host % hosts.length]); return
      case 'restart': restartHost(hosts[fault.host % hosts.length]); return
      case 'pause': {
        const host = hosts[fault.host % hosts.length]
        if (host !== undefined) host.pausedUntil = Math.max(host.pausedUntil, queue.now() + fault.lengthMs)
        return
      }
      case 'cut':
        applyCut(fault)
        return
      case 'platform-down':
        for (const index of fault.hosts) {
          const host = hosts[index % hosts.length]
          if (host !== undefined) host.platformDownUntil = queue.now() + fault.lengthMs
        }
        return
      case 'lose-answers': writeResponsesToLose += fault.count; return
      case 'power-cut':
        for (const host of hosts) {
          killHost(host)
          schedule(fault.lengthMs, () => { restartHost(host) })
        }
        return
      case 'slow-network': slowNetworkUntil = queue.now() + fault.lengthMs; return
      default: injectServerFault(fault)
    }
  }

  function applyCut (fault: Extract<Fault, { readonly kind: 'cut' }>): void {
    const side = new Set(fault.hosts.map((host) => host % hosts.length))
    const listedOthers = fault.others.map((host) => host % hosts.length)
    const others = (listedOthers.length > 0 ? listedOthers : [...hosts.keys()]).filter((host) => !side.has(host))
    cuts.push({
      side,
      others: new Set(others),
      servers: new Set(fault.servers.map((server) => server % servers.length)),
      until: queue.now() + fault.lengthMs
    })
  }

  function injectServerFault (fault: Extract<Fault, { readonly server: number }>): void {
    const server = servers[fault.server % servers.length]
    if (server === undefined) return
    switch (fault.kind) {
      case 'freeze-server': server.frozenUntil = Math.max(server.frozenUntil, queue.now() + fault.lengthMs); return
      case 'kill-server': killServer(server); return
      case 'restart-server': startServer(server); return
      case 'cut-server':
        server.unreachableFrom = new Set(fault.hosts.map((host) => host % hosts.length))
        server.unreachableUntil = queue.now() + fault.lengthMs
        return
      case 'drain':
        if (servers.filter((other) => other.drainedAt === Infinity).length > 2) server.drainedAt = Math.min(server.drainedAt, queue.now())
    }
  }

  function killHost (host: FakeHost | undefined): void {
    if (host !== undefined) host.isUp = false
  }

  function restartHost (host: FakeHost | undefined): void {
    if (host === undefined || host.isUp) return
    startIncarnation(host)
    const { incarnation } = host
    schedule(1, () => { tick(host, incarnation) })
  }

  function killServer (server: FakeServer): void {
    if (!server.isUp) return
    server.isUp = false
    server.ownedSince = new Map()
    server.grantedUntil = 0
    server.highestToken = 0
    for (const exitCallback of serverExitCallbacks) {
      if (exitCallback.server === server && exitCallback.boot === server.boot) exitCallback.callback()
    }
  }

  function startServer (server: FakeServer): void {
    if (server.isUp) return
    server.isUp = true
    server.boot++
    server.frozenUntil = 0
  }

  return {
    violations: checker.violations,
    runs: checker.runs,
    now: queue.now,
    advance: queue.advance,
    inject,
    clearFaults () {
      for (const host of hosts) {
        host.platformDownUntil = Math.min(host.platformDownUntil, queue.now())
        restartHost(host)
      }
      for (const server of servers) {
        startServer(server)
        server.unreachableUntil = Math.min(server.unreachableUntil, queue.now())
      }
      cuts.length = 0
      slowNetworkUntil = 0
      writeResponsesToLose = 0
    },
    unservedSlices: () => Array.from({ length: options.slices }, (_, slice) => slice)
      .filter((slice) => !hosts.some((host) => host.isUp && queue.now() >= host.pausedUntil &&
        host.core.grantManager.admitSlice(SERVICE, slice, clock(host)) !== null)),
    runsStartedAfter: (server, after) => checker.runs.filter((run) => run.server === server && run.startedAt > after),
    hosts: () => hosts.map((host) => host.name),
    leaderCount: () => hosts.filter((host) => host.isUp && host.core.cell.isLeading(clock(host))).length,
    dump: () => ({
      row,
      hosts: hosts.filter((host) => host.isUp).map((host) => ({
        now: clock(host),
        cell: host.core.cell.dump(clock(host)),
        view: host.core.cell.view(),
        report: host.core.grantManager.report(clock(host), false),
        grants: host.core.grantManager.dump(clock(host))
      })),
      servers
    })
  }
}
