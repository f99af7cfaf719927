/**
 * Fakes at the ports of several hosts' decision code: a clock, a network, the
 * durable row and backend servers. It decides nothing; it delays, loses,
 * repeats and cuts what the decision code sends, and records what servers did.
 * World time is in milliseconds; every host and server has a clock of its own.
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
  /** Whether each server checks grants; a function of its number. */
  readonly checksGrants: (server: number) => boolean
  /** Whether the owner that was announced may change only for a drained server. Default: false. */
  readonly keepsAnnounced?: boolean
  /** Interval between two requests, in milliseconds. Default: 7. */
  readonly requestIntervalMs?: number
}

/** The fakes. */
export interface ClusterSimulation {
  readonly violations: readonly Violation[]
  readonly runs: readonly Run[]
  now (): number
  advance (lengthMs: number): void
  inject (fault: Fault): void
  /** Ends every fault but pauses and freezes, which run out; servers and hosts that are down are started. */
  clearFaults (): void
  /** Slices to which no host may send now. */
  unservedSlices (): number[]
  /** Requests that started at a server after a time. */
  runsStartedAfter (server: string, time: number): Run[]
  hosts (): readonly string[]
  leaderCount (): number
  /** State of each host that is up, to explain a failure. */
  dump (): unknown
}

interface FakeHost {
  readonly name: string
  readonly index: number
  core: HostCore
  isUp: boolean
  pausedUntil: number
  offset: number
  rate: number
  life: number
  platformDownUntil: number
}

interface FakeServer {
  readonly id: string
  readonly index: number
  readonly checksGrants: boolean
  isUp: boolean
  frozenUntil: number
  boot: number
  offset: number
  rate: number
  highest: number
  ownedSince: Map<number, number>
  until: number
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
 * Creates the fakes, with every host and server up.
 *
 * @param options Sizes and seed.
 * @returns The world, at time 0.
 */
export function createClusterSimulation (options: ClusterSimulationOptions): ClusterSimulation {
  const random = xoroshiro128plus(options.seed)
  const queue = createEventQueue()
  const { schedule } = queue
  const cuts: Cut[] = []
  let row: StoredRow | null = null
  let revision = 0
  let lostAnswers = 0
  let slowUntil = 0
  let lifeCount = 0
  const record = createOwnershipChecker({
    service: SERVICE,
    now: queue.now,
    checksGrants: (server) => servers.find((other) => other.id === server)?.checksGrants === true,
    isDrained: (server) => servers.some((other) => other.id === server && queue.now() > other.drainedAt),
    keepsAnnounced: options.keepsAnnounced === true
  })
  const homes = { [SERVICE]: Array.from({ length: options.slices }, (_, slice) => slice) }
  const servers: FakeServer[] = Array.from({ length: options.servers }, (_, index) => createServer(index))
  const hosts: FakeHost[] = Array.from({ length: options.hosts }, (_, index) => createHost(index))
  for (const host of hosts) schedule(pick(0, TICK_MS), () => { tick(host, host.life) })
  schedule(0, sendRequests)

  function pick (from: number, to: number): number {
    return uniformInt(random, from, to)
  }

  /** Clocks go wrong by up to 1.5 parts in a hundred. */
  function rateOf (): number {
    return 1 + pick(-15, 15) / 1000
  }

  function createServer (index: number): FakeServer {
    return {
      id: `server-${index}`,
      index,
      checksGrants: options.checksGrants(index),
      isUp: true,
      frozenUntil: 0,
      boot: 1,
      offset: pick(0, 100_000),
      rate: rateOf(),
      highest: 0,
      ownedSince: new Map(),
      until: 0,
      unreachableFrom: new Set(),
      unreachableUntil: 0,
      drainedAt: Infinity
    }
  }

  function createHost (index: number): FakeHost {
    const name = `10.0.0.${index + 1}:7100`
    const host = {
      name, index, isUp: true, pausedUntil: 0, offset: pick(0, 100_000), rate: rateOf(), life: 0, platformDownUntil: 0
    } as unknown as FakeHost
    beginLife(host)
    return host
  }

  function beginLife (host: FakeHost): void {
    host.isUp = true
    host.pausedUntil = 0
    host.life = ++lifeCount
    host.offset = pick(0, 100_000)
    host.core = createHostCore({
      self: { host: host.name, incarnation: host.life },
      startedAt: clock(host),
      seeds: Array.from({ length: options.hosts }, (_, index) => `10.0.0.${index + 1}:7100`).filter((name) => name !== host.name)
    })
  }

  function clock (owner: { readonly offset: number, readonly rate: number }): number {
    return Math.floor(owner.offset + queue.now() * owner.rate)
  }

  /** Runs `act` when the host can: at once, or when its pause ends; never in another life. */
  function whenAwake (host: FakeHost, life: number, act: () => void): void {
    if (!host.isUp || host.life !== life) return
    if (queue.now() < host.pausedUntil) schedule(host.pausedUntil - queue.now(), () => { whenAwake(host, life, act) })
    else act()
  }

  function tick (host: FakeHost, life: number): void {
    whenAwake(host, life, () => {
      host.core.setInput(inputOf(host), queue.now() >= host.platformDownUntil)
      perform(host, host.core.tick(clock(host)))
      schedule(TICK_MS, () => { tick(host, life) })
    })
  }

  function inputOf (host: FakeHost): AssignmentInput {
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

  function delayOf (): number {
    if (queue.now() < slowUntil) return pick(1, 600)
    return pick(0, 40) === 0 ? pick(1, 120) : pick(1, 4)
  }

  function isCut (left: number, right: number): boolean {
    return cuts.some((cut) => queue.now() < cut.until &&
      ((cut.side.has(left) && cut.others.has(right)) || (cut.side.has(right) && cut.others.has(left))))
  }

  /** Everything that a host decides leaves it a little later, or after a pause that falls in between. */
  function perform (host: FakeHost, actions: readonly HostAction[]): void {
    const life = host.life
    for (const action of actions) {
      schedule(pick(0, 1), () => { whenAwake(host, life, () => { performOne(host, action) }) })
    }
    const view = host.core.cell.view()
    if (view !== null) record.recordView(view)
  }

  function performOne (host: FakeHost, action: HostAction): void {
    switch (action.kind) {
      case 'send': {
        const target = hosts.find((other) => other.name === action.to)
        if (target === undefined) return
        deliver(host, target, () => { perform(target, target.core.onMessage(host.name, action.message, clock(target))) })
        if (pick(0, 30) === 0) deliver(host, target, () => { perform(target, target.core.onMessage(host.name, action.message, clock(target))) })
        return
      }
      case 'pull-view': pullView(host, action.from); return
      case 'pull-rows': return
      case 'read-row': callPlatform(host, () => ({ kind: 'read', storedRow: row })); return
      case 'write-row': callPlatform(host, () => writeRow(action.expectedRevision, action.row), true); return
      case 'grant': sendGrant(host, action.grant)
    }
  }

  function deliver (from: FakeHost, to: FakeHost, act: () => void): void {
    if (from !== to && (isCut(from.index, to.index) || pick(0, 60) === 0)) return
    schedule(from === to ? 0 : delayOf(), () => {
      if (from !== to && isCut(from.index, to.index)) return
      whenAwake(to, to.life, act)
    })
  }

  function pullView (host: FakeHost, from: string): void {
    const source = hosts.find((other) => other.name === from)
    if (source === undefined) return
    deliver(host, source, () => {
      const view = source.core.cell.heldView()
      if (view === null) return
      deliver(source, host, () => { perform(host, host.core.onView(view, clock(host))) })
    })
  }

  function writeRow (expectedRevision: number, next: CellRow): RowOutcome {
    if ((row?.revision ?? 0) !== expectedRevision) return { kind: 'conflict', storedRow: row }
    row = { row: next, revision: ++revision }
    record.recordRow(revision, next)
    return { kind: 'written', storedRow: row }
  }

  function callPlatform (host: FakeHost, act: () => RowOutcome, isWrite = false): void {
    const { life } = host
    const answer = (outcome: RowOutcome): void => {
      whenAwake(host, life, () => { perform(host, host.core.onRow(outcome, clock(host))) })
    }
    schedule(delayOf() + 3, () => {
      const isDown = queue.now() < host.platformDownUntil
      const outcome: RowOutcome = isDown ? { kind: 'unavailable' } : act()
      const isLost = isWrite && lostAnswers > 0 && outcome.kind === 'written'
      if (isLost) lostAnswers--
      if (isDown || isLost) schedule(200, () => { answer({ kind: 'unavailable' }) })
      else schedule(delayOf(), () => { answer(outcome) })
    })
  }

  function canReach (host: FakeHost, server: FakeServer): boolean {
    if (queue.now() < server.unreachableUntil && server.unreachableFrom.has(host.index)) return false
    return !cuts.some((cut) => queue.now() < cut.until && cut.others.has(host.index) && cut.servers.has(server.index))
  }

  /** Runs `act` when the server can; a frozen server finds its messages when it returns. */
  function whenThawed (server: FakeServer, boot: number, act: () => void): void {
    if (!server.isUp || server.boot !== boot) return
    if (queue.now() < server.frozenUntil) schedule(server.frozenUntil - queue.now(), () => { whenThawed(server, boot, act) })
    else act()
  }

  function sendGrant (host: FakeHost, grant: GrantAction): void {
    const server = servers.find((other) => other.id === grant.server)
    if (server === undefined) return
    let isOver = false
    const { life } = host
    const finish = (outcome: GrantOutcome): void => {
      if (isOver) return
      isOver = true
      whenAwake(host, life, () => { perform(host, host.core.onGrantOutcome(grant, outcome, clock(host))) })
    }
    schedule(300, () => { finish({ kind: 'no-answer' }) })
    if (!canReach(host, server)) return
    schedule(delayOf(), () => {
      if (!server.isUp) {
        schedule(1, () => { finish({ kind: 'connection-refused' }) })
        return
      }
      whenThawed(server, server.boot, () => {
        const outcome = takeGrant(server, grant)
        if (canReach(host, server)) schedule(delayOf(), () => { finish(outcome) })
      })
    })
  }

  function takeGrant (server: FakeServer, { request }: GrantAction): GrantOutcome {
    const now = clock(server)
    const answer = { kind: 'answered', answer: { boot: String(server.boot), now } } as const
    if (!server.checksGrants) return answer
    if (request.token < server.highest) return { kind: 'superseded' }
    if (request.slices === undefined && request.token !== server.highest) return answer
    const until = request.boot === String(server.boot) ? request.basis + request.duration : 0
    const kept = now < server.until ? server.ownedSince : new Map<number, number>()
    server.until = request.token === server.highest ? Math.max(server.until, until) : until
    server.highest = request.token
    const slices = request.slices ?? [...server.ownedSince.keys()]
    server.ownedSince = new Map(slices.map((slice) => [slice, kept.get(slice) ?? now]))
    noteBeliefs()
    return answer
  }

  function believes (server: FakeServer, slice: number): boolean {
    return server.isUp && server.checksGrants && clock(server) < server.until && server.ownedSince.has(slice)
  }

  function noteBeliefs (): void {
    for (let slice = 0; slice < options.slices; slice++) {
      record.recordHolders(slice, servers.filter((server) => believes(server, slice)).map((server) => server.id))
    }
  }

  function sendRequests (): void {
    const host = hosts[pick(0, hosts.length - 1)]
    const slice = pick(0, options.slices - 1)
    if (host !== undefined && host.isUp && queue.now() >= host.pausedUntil) sendRequest(host, slice)
    schedule(options.requestIntervalMs ?? 7, sendRequests)
  }

  /** Admission, and the write to the socket after a moment in which the host may be paused or killed. */
  function sendRequest (host: FakeHost, slice: number): void {
    const admission = host.core.grantManager.admitSlice(SERVICE, slice, clock(host))
    if (admission === null) return
    const server = servers.find((other) => other.id === admission.server.id)
    if (server === undefined) return
    const { life } = host
    let isOver = false
    host.core.grantManager.begin(server.id, slice)
    const end = (): void => {
      if (isOver) return
      isOver = true
      whenAwake(host, life, () => { host.core.grantManager.end(server.id, slice) })
    }
    schedule(1, () => {
      whenAwake(host, life, () => {
        if (!canReach(host, server)) {
          schedule(1500, end)
          return
        }
        const { boot } = server
        schedule(delayOf(), () => {
          if (!server.isUp || server.boot !== boot) end()
          else whenThawed(server, boot, () => { runRequest(server, { slice, token: admission.token, end }) })
          watchForCrash(server, boot, end)
        })
      })
    })
  }

  /** A connection to a server that dies is reset. */
  function watchForCrash (server: FakeServer, boot: number, end: () => void): void {
    if (!server.isUp || server.boot !== boot) end()
    else if (queue.now() < server.frozenUntil) schedule(50, () => { watchForCrash(server, boot, end) })
  }

  function runRequest (server: FakeServer, request: { readonly slice: number, readonly token: number, readonly end: () => void }): void {
    if (server.checksGrants && (request.token !== server.highest || !believes(server, request.slice))) {
      schedule(1, request.end)
      return
    }
    const run: Run = { slice: request.slice, server: server.id, token: request.token, startedAt: queue.now(), endedAt: Infinity }
    record.recordRun(run)
    const { boot } = server
    schedule(pick(1, 30), () => {
      whenThawed(server, boot, () => {
        run.endedAt = queue.now()
        schedule(1, request.end)
      })
    })
    whenServerDies(server, boot, () => {
      if (run.endedAt === Infinity) run.endedAt = queue.now()
      request.end()
    })
  }

  const deathWatches: Array<{ readonly server: FakeServer, readonly boot: number, readonly act: () => void }> = []

  function whenServerDies (server: FakeServer, boot: number, act: () => void): void {
    if (deathWatches.length > 5000) deathWatches.splice(0, 2500)
    deathWatches.push({ server, boot, act })
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
        cutOff(fault)
        return
      case 'platform-down':
        for (const index of fault.hosts) {
          const host = hosts[index % hosts.length]
          if (host !== undefined) host.platformDownUntil = queue.now() + fault.lengthMs
        }
        return
      case 'lose-answers': lostAnswers += fault.count; return
      case 'power-cut':
        for (const host of hosts) {
          killHost(host)
          schedule(fault.lengthMs, () => { restartHost(host) })
        }
        return
      case 'slow-network': slowUntil = queue.now() + fault.lengthMs; return
      default: injectAtServer(fault)
    }
  }

  function cutOff (fault: Extract<Fault, { readonly kind: 'cut' }>): void {
    const side = new Set(fault.hosts.map((host) => host % hosts.length))
    const named = fault.others.map((host) => host % hosts.length)
    const others = (named.length > 0 ? named : [...hosts.keys()]).filter((host) => !side.has(host))
    cuts.push({
      side,
      others: new Set(others),
      servers: new Set(fault.servers.map((server) => server % servers.length)),
      until: queue.now() + fault.lengthMs
    })
  }

  function injectAtServer (fault: Extract<Fault, { readonly server: number }>): void {
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
    beginLife(host)
    const { life } = host
    schedule(1, () => { tick(host, life) })
  }

  function killServer (server: FakeServer): void {
    if (!server.isUp) return
    server.isUp = false
    server.ownedSince = new Map()
    server.until = 0
    server.highest = 0
    for (const watch of deathWatches) {
      if (watch.server === server && watch.boot === server.boot) watch.act()
    }
  }

  function startServer (server: FakeServer): void {
    if (server.isUp) return
    server.isUp = true
    server.boot++
    server.frozenUntil = 0
  }

  return {
    violations: record.violations,
    runs: record.runs,
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
      slowUntil = 0
      lostAnswers = 0
    },
    unservedSlices: () => Array.from({ length: options.slices }, (_, slice) => slice)
      .filter((slice) => !hosts.some((host) => host.isUp && queue.now() >= host.pausedUntil &&
        host.core.grantManager.admitSlice(SERVICE, slice, clock(host)) !== null)),
    runsStartedAfter: (server, after) => record.runs.filter((run) => run.server === server && run.startedAt > after),
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
