/** Tests of the grants of ranges: no two servers hold a key at the same time, even when calls, servers and leaders fail. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { createEventQueue, type EventQueue } from '../../testing/event_queue.ts'
import { CallBehaviour, createFakeOwnedServers, type FakeOwnedServers } from '../../testing/fake_owned_servers.ts'
import type { PreviousGrants } from '../leadership/mod.ts'
import { createLogger } from '../logging/mod.ts'
import { partitionKeySpace, planRanges, type PlannedRange } from './plan_ranges.ts'
import { GrantTiming } from './grant_timing.ts'
import { createRangeController, type RangeController } from './range_controller.ts'
import type { RecordedRange } from './plan_record.ts'

const test = suite('createRangeController')
const IDS = ['s1', 's2', 's3', 's4']
const KEYS = [0, 9000, 20_000, 33_000, 47_000, 65_535]
const MAXIMUM_GRANT_DURATION_MS = 10_000
const logger = createLogger({ name: 'test', write: () => {} })

/** A simulated leader with its servers, and the plan that it stored for the next leader. */
interface Simulation {
  readonly queue: EventQueue
  readonly servers: FakeOwnedServers
  controller: RangeController
  stored: RecordedRange[]
  /** Plans that were stored, in order. */
  readonly history: RecordedRange[][]
  /** When the stored plan was restored from an older one; `null` once a complete plan has been stored. */
  restoredAt: number | null
  isLeading: boolean
  storeUnavailable: boolean
  claimCount: number
  /** Identifier of the server at each address. */
  readonly addresses: Map<string, string>
  /** Servers that refuse connections of hosts in several zones. */
  readonly refusing: Set<string>
  /** Owner of each key that was published last. */
  readonly publishedOwners: Map<number, string | null>
}

function startLeader (simulation: Simulation, previousGrants?: PreviousGrants): void {
  const claimCount = ++simulation.claimCount
  let tokens = 0
  simulation.controller = createRangeController(simulation.stored, {
    service: 'lookups',
    control: simulation.servers.control,
    logger,
    now: simulation.queue.now,
    mayGrant: () => simulation.isLeading && simulation.claimCount === claimCount,
    isStoreUnavailable: () => simulation.storeUnavailable,
    maximumGrantDurationMs: MAXIMUM_GRANT_DURATION_MS,
    unlistedGrantsMadeUntil: simulation.restoredAt,
    previousGrants: previousGrants ?? { kind: 'unknown', lastPossibleGrantAt: simulation.queue.now() },
    nextToken: () => claimCount * 1_000_000 + ++tokens,
    publish (changes) {
      for (const change of changes) {
        for (const key of KEYS) {
          if (key >= change.from && key <= change.to) simulation.publishedOwners.set(key, change.owner.kind === 'owned' ? change.owner.server : null)
        }
      }
    },
    isResponding: () => false,
    isRefusingConnections: (server) => simulation.refusing.has(server.id)
  })
}

function createSimulation (): Simulation {
  const queue = createEventQueue()
  const servers = createFakeOwnedServers(queue, IDS, KEYS)
  const stored = partitionKeySpace(1).map((range) => ({ ...range, previous: null }))
  const simulation = { queue, servers, stored, history: [stored], restoredAt: null, isLeading: true, storeUnavailable: false, claimCount: 0, addresses: new Map(), refusing: new Set(), publishedOwners: new Map() } as unknown as Simulation
  startLeader(simulation)
  return simulation
}

function plan (simulation: Simulation, fails: boolean): void {
  const unresponsive = simulation.controller.unresponsiveServers()
  const candidates = simulation.servers.list().filter((server) => !server.leaving && !unresponsive.has(server.id))
  if (candidates.length === 0) return
  const ranges: PlannedRange[] = planRanges(simulation.controller.ranges(), {
    candidates: candidates.map((server) => ({ id: server.id, capacity: 1 })), keyLoads: new Map(), isFixed: simulation.controller.isFixed
  })
  const record = simulation.controller.beginPlan(ranges)
  if (fails) {
    simulation.controller.abandonPlan()
    return
  }
  simulation.stored = record
  simulation.history.push(record)
  if (simulation.controller.isComplete()) simulation.restoredAt = null
  simulation.controller.applyPlan(ranges)
}

/** Restores an earlier plan and starts a leader that knows nothing else. */
function restorePlan (simulation: Simulation, plansLost: number): void {
  simulation.stored = simulation.history.at(-1 - plansLost) ?? simulation.stored
  simulation.restoredAt = simulation.queue.now()
  startLeader(simulation)
}

async function run (simulation: Simulation, lengthMs: number, failsToStore = false): Promise<void> {
  for (let at = 0; at < lengthMs; at += 25) {
    if (simulation.isLeading && at % 400 === 0) {
      simulation.controller.setServers(simulation.servers.list(), simulation.addresses)
      if (!simulation.storeUnavailable) plan(simulation, failsToStore)
    }
    if (simulation.isLeading) simulation.controller.tick()
    simulation.queue.advance(25)
    await new Promise((resolve) => { setImmediate(resolve) })
  }
}

function currentOwners (simulation: Simulation): string[] {
  return KEYS.map((key) => simulation.servers.holders(key).join('+'))
}

test('tick() grants every key to the published owner, when nothing fails', async () => {
  const simulation = createSimulation()
  await run(simulation, 1500)
  assert.equal(currentOwners(simulation), KEYS.map((key) => simulation.publishedOwners.get(key)))
  assert.equal(new Set(currentOwners(simulation)).size > 1, true)
  assert.equal(simulation.servers.violations, [])
})

test('applyPlan() moves the keys of a leaving server within 500 ms, when nothing fails', async () => {
  const simulation = createSimulation()
  await run(simulation, 1500)
  simulation.servers.setLeaving('s1')
  await run(simulation, 500)
  assert.not(currentOwners(simulation).includes('s1'))
  assert.not(currentOwners(simulation).includes(''))
})

test('applyPlan() moves the keys of a leaving server within a second, when a new leader has just taken over', async () => {
  const simulation = createSimulation()
  await run(simulation, 1500)
  startLeader(simulation)
  simulation.servers.setLeaving('s1')
  await run(simulation, 1000)
  assert.not(currentOwners(simulation).includes('s1'))
  assert.not(currentOwners(simulation).includes(''))
  assert.equal(simulation.servers.violations, [])
})

test('tick() grants the keys of an unresponsive server to others, when its grants have expired', async () => {
  const simulation = createSimulation()
  await run(simulation, 2000)
  simulation.servers.setCallBehaviour((id) => id === 's2' ? CallBehaviour.lost : CallBehaviour.carriedOut)
  // Covers the next renewal, two calls that time out, the plan, and the grant duration on a server whose clock is slow.
  await run(simulation, GrantTiming.renewIntervalMs + 2 * (280 + GrantTiming.retryDelayMs) + 400 + GrantTiming.grantDurationMs * 1.02 + 300)
  assert.not(currentOwners(simulation).includes('s2'))
  assert.not(currentOwners(simulation).includes(''))
  assert.equal(simulation.servers.violations, [])
})

test('tick() lets the grants of an unresponsive server expire, when its renewals go unanswered', async () => {
  const simulation = createSimulation()
  await run(simulation, 2000)
  simulation.servers.setCallBehaviour((id) => id === 's2' ? CallBehaviour.lost : CallBehaviour.carriedOut)
  // Covers the grant duration on a server whose clock is slow, counted from the last acknowledged renewals.
  await run(simulation, GrantTiming.grantDurationMs * 1.02 + 100)
  const waiting = simulation.controller.ranges().filter((range) => range.holders.includes('s2'))
  assert.ok(waiting.length <= 2, `${waiting.length} ranges`)
  // Renewals sent after the server stopped responding may still have arrived.
  await run(simulation, GrantTiming.renewIntervalMs + 280 + 300)
  assert.equal(simulation.controller.ranges().filter((range) => range.holders.includes('s2')), [])
  assert.not(currentOwners(simulation).includes(''))
  assert.equal(simulation.servers.violations, [])
})

test('unresponsiveServers() no longer contains a server, when it responds after all its grants have expired', async () => {
  const simulation = createSimulation()
  await run(simulation, 2000)
  simulation.servers.setCallBehaviour((id) => id === 's2' ? CallBehaviour.lost : CallBehaviour.carriedOut)
  await run(simulation, 9000)
  assert.ok(simulation.controller.unresponsiveServers().has('s2'))
  simulation.servers.setCallBehaviour(() => CallBehaviour.carriedOut)
  await run(simulation, 1000)
  assert.not(simulation.controller.unresponsiveServers().has('s2'))
  assert.equal(simulation.servers.violations, [])
})

test('tick() does not treat a server as unresponsive and grants its keys to others after expiry, when work on released keys continues', async () => {
  const simulation = createSimulation()
  await run(simulation, 2000)
  simulation.servers.setReleaseWorkMs(10_000)
  simulation.servers.setLeaving('s1')
  await run(simulation, 2000)
  assert.not(simulation.controller.unresponsiveServers().has('s1'))
  await run(simulation, GrantTiming.grantDurationMs * 1.02 - 2000 + 200)
  assert.not(currentOwners(simulation).includes(''))
  assert.equal(simulation.servers.violations, [])
})

test('tick() grants the keys of an unresponsive server to others after expiry, when the previous leader stored the remaining durations', async () => {
  const simulation = createSimulation()
  await run(simulation, 2000)
  simulation.servers.setCallBehaviour((id) => id === 's2' ? CallBehaviour.lost : CallBehaviour.carriedOut)
  await run(simulation, 1000)
  startLeader(simulation, { kind: 'known', asOf: simulation.queue.now(), remainingMs: Object.fromEntries(simulation.controller.remainingGrantsMs()) })
  // Covers the grant duration, a renewal that timed out, and a plan.
  await run(simulation, GrantTiming.grantDurationMs * 1.02 + 280 + 300 + 400 + 100)
  assert.not(currentOwners(simulation).includes('s2'))
  assert.not(currentOwners(simulation).includes(''))
  assert.equal(simulation.servers.violations, [])
})

test('tick() grants the keys of a restarted server within 900 ms, when its new start is listed', async () => {
  const simulation = createSimulation()
  await run(simulation, 2000)
  simulation.servers.restart('s3')
  await run(simulation, 900)
  assert.not(currentOwners(simulation).includes(''))
  assert.equal(simulation.servers.violations, [])
})

// Guards against two owners of a key: renewals reach the new run of a server before the list shows that it has restarted.
test('tick() takes the keys of a restarted server back before it grants them to others, when that server is leaving by the time its new start is listed', async () => {
  const simulation = createSimulation()
  await run(simulation, 2000)
  simulation.servers.restart('s1')
  for (let at = 0; at < 1200; at += 25) {
    simulation.controller.tick()
    simulation.queue.advance(25)
    await new Promise((resolve) => { setImmediate(resolve) })
  }
  simulation.servers.setLeaving('s1')
  await run(simulation, 1500)
  assert.equal(simulation.servers.violations, [])
  assert.not(currentOwners(simulation).includes(''))
  assert.not(currentOwners(simulation).some((owners) => owners.includes('s1')))
})

test('tick() grants the keys of an ended server to others within a second, when a new leader has just taken over', async () => {
  for (const proof of ['address', 'refused']) {
    const simulation = createSimulation()
    await run(simulation, 2000)
    simulation.servers.setCallBehaviour((id) => id === 's2' ? CallBehaviour.refused : CallBehaviour.carriedOut)
    startLeader(simulation)
    await run(simulation, 800)
    simulation.servers.remove('s2')
    if (proof === 'address') simulation.addresses.set('10.0.0.1:2', 's9')
    else simulation.refusing.add('s2')
    await run(simulation, 1000)
    assert.not(currentOwners(simulation).includes(''), proof)
    assert.equal(simulation.servers.violations, [])
  }
})

// Guards against two owners of a key: what hosts saw of an earlier run, or the entry of another writer, was taken for the end of a live server.
test('tick() releases the keys of a server that serves on without an entry, when hosts report refused connections or its address is listed again', async () => {
  for (const sign of ['address', 'refused']) {
    const simulation = createSimulation()
    await run(simulation, 2000)
    simulation.servers.unlist('s2')
    if (sign === 'address') simulation.addresses.set('10.0.0.1:2', 's9')
    else simulation.refusing.add('s2')
    await run(simulation, 1000)
    assert.equal(simulation.servers.violations, [], sign)
    assert.not(currentOwners(simulation).includes(''), sign)
    assert.not(currentOwners(simulation).some((owners) => owners.includes('s2')), sign)
  }
})

// Guards against two owners of a key, when the leader cannot ask: silence does not show an end.
test('tick() waits for the grants of a server without an entry to expire, when it answers no call and hosts report refused connections', async () => {
  const simulation = createSimulation()
  await run(simulation, 2000)
  simulation.servers.setCallBehaviour((id) => id === 's2' ? CallBehaviour.lost : CallBehaviour.carriedOut)
  simulation.servers.unlist('s2')
  simulation.refusing.add('s2')
  await run(simulation, GrantTiming.grantDurationMs * 1.02 + GrantTiming.renewIntervalMs + 1000)
  assert.equal(simulation.servers.violations, [])
  assert.not(currentOwners(simulation).includes(''))
})

test('tick() keeps all keys held during a store outage of 9 s, when the lease expires after 3 s', async () => {
  const simulation = createSimulation()
  await run(simulation, 2000)
  simulation.storeUnavailable = true
  await run(simulation, 1600)
  simulation.isLeading = false
  await run(simulation, 7400)
  assert.not(currentOwners(simulation).includes(''))
  simulation.isLeading = true
  simulation.storeUnavailable = false
  await run(simulation, 1000)
  assert.not(currentOwners(simulation).includes(''))
  assert.equal(simulation.servers.violations, [])
})

// Guards against two owners of a key: the next leader took a restored plan for complete, and granted keys that had moved since.
test('tick() grants nothing before every grant that the store has lost has expired, when a new leader takes over a restored plan', async () => {
  const simulation = createSimulation()
  await run(simulation, 1500)
  simulation.servers.setLeaving('s1')
  simulation.servers.setLeaving('s2')
  await run(simulation, 1000)
  restorePlan(simulation, simulation.history.length - 2)
  await run(simulation, MAXIMUM_GRANT_DURATION_MS)
  assert.equal(new Set(currentOwners(simulation)), new Set(['']))
  await run(simulation, 1500)
  assert.not(currentOwners(simulation).includes(''))
  assert.not(currentOwners(simulation).includes('s1'))
  assert.equal(simulation.servers.violations, [])
})

const behaviours = Object.values(CallBehaviour)
const server = fc.constantFrom(...IDS)
const step = fc.record({
  lengthMs: fc.integer({ min: 50, max: 3500 }),
  action: fc.oneof(
    fc.record({ kind: fc.constant('behaviour' as const), server, behaviour: fc.constantFrom(...behaviours) }),
    fc.record({ kind: fc.constant('recover' as const) }),
    fc.record({ kind: fc.constant('restart' as const), server }),
    fc.record({ kind: fc.constant('leave' as const), server }),
    fc.record({ kind: fc.constant('join' as const), server }),
    fc.record({ kind: fc.constant('new-leader' as const) }),
    fc.record({ kind: fc.constant('handed-over' as const) }),
    fc.record({ kind: fc.constant('restored' as const), plansLost: fc.nat({ max: 4 }) }),
    fc.record({ kind: fc.constant('store-unavailable' as const) }),
    fc.record({ kind: fc.constant('store-fails' as const) })
  )
})

test('tick() never lets two servers hold a key, when calls, servers, leaders and the store fail and the store is restored', async () => {
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 1, maxLength: 10 }), async (steps) => {
    const simulation = createSimulation()
    const behaviourByServer = new Map<string, CallBehaviour>()
    simulation.servers.setCallBehaviour((id) => behaviourByServer.get(id) ?? CallBehaviour.carriedOut)
    await run(simulation, 1000)
    for (const { action, lengthMs } of steps) {
      if (action.kind === 'behaviour') behaviourByServer.set(action.server, action.behaviour)
      else if (action.kind === 'recover') behaviourByServer.clear()
      else if (action.kind === 'restart') simulation.servers.restart(action.server)
      else if (action.kind === 'leave') simulation.servers.setLeaving(action.server)
      else if (action.kind === 'join') {
        simulation.servers.remove(action.server)
        simulation.servers.add(action.server)
      } else if (action.kind === 'new-leader') startLeader(simulation)
      else if (action.kind === 'restored') restorePlan(simulation, action.plansLost)
      else if (action.kind === 'handed-over') {
        startLeader(simulation, { kind: 'known', asOf: simulation.queue.now(), remainingMs: Object.fromEntries(simulation.controller.remainingGrantsMs()) })
      }
      simulation.storeUnavailable = action.kind === 'store-unavailable'
      await run(simulation, lengthMs, action.kind === 'store-fails')
    }
    assert.equal(simulation.servers.violations, [])
    behaviourByServer.clear()
    simulation.storeUnavailable = false
    for (const id of IDS) if (simulation.servers.list().find((entry) => entry.id === id)?.leaving !== false) { simulation.servers.remove(id); simulation.servers.add(id) }
    await run(simulation, 13_000)
    assert.not(currentOwners(simulation).includes(''))
    assert.equal(simulation.servers.violations, [])
  }), propertyParameters(25))
})

const evacuationStep = fc.record({
  lengthMs: fc.integer({ min: 50, max: 3500 }),
  action: fc.oneof(
    fc.record({ kind: fc.constantFrom('evacuate', 'return'), servers: fc.subarray(IDS, { minLength: 1 }) }),
    fc.record({ kind: fc.constant('behaviour'), servers: fc.subarray(IDS), behaviour: fc.constantFrom(...behaviours) }),
    fc.record({ kind: fc.constant('new-leader'), servers: fc.constant([]) })
  )
})

// Guards against a second owner: unlike a server that leaves by itself, one whose zone is evacuated returns in the same run.
test('tick() never lets two servers hold a key, when zones are evacuated and return while calls and leaders fail', async () => {
  await fc.assert(fc.asyncProperty(fc.array(evacuationStep, { minLength: 1, maxLength: 10 }), async (steps) => {
    const simulation = createSimulation()
    const behaviourByServer = new Map<string, CallBehaviour>()
    simulation.servers.setCallBehaviour((id) => behaviourByServer.get(id) ?? CallBehaviour.carriedOut)
    await run(simulation, 1000)
    for (const { action, lengthMs } of steps) {
      for (const id of action.servers) {
        if ('behaviour' in action) behaviourByServer.set(id, action.behaviour)
        else simulation.servers.setLeaving(id, action.kind === 'evacuate')
      }
      if (action.kind === 'new-leader') startLeader(simulation)
      await run(simulation, lengthMs)
    }
    behaviourByServer.clear()
    for (const id of IDS) simulation.servers.setLeaving(id, false)
    await run(simulation, 13_000)
    assert.not(currentOwners(simulation).includes(''))
    assert.equal(simulation.servers.violations, [])
  }), propertyParameters(25))
})

const departureStep = fc.record({
  lengthMs: fc.integer({ min: 50, max: 3500 }),
  action: fc.oneof(
    fc.record({ kind: fc.constantFrom('unlist' as const, 'crash' as const), server, sign: fc.constantFrom('address', 'refused') }),
    fc.record({ kind: fc.constant('behaviour' as const), server, behaviour: fc.constantFrom(...behaviours.filter((behaviour) => behaviour !== CallBehaviour.refused)) }),
    fc.record({ kind: fc.constant('restart' as const), server }),
    fc.record({ kind: fc.constant('new-leader' as const) })
  )
})

// Guards against a second owner: a server without an entry may serve on, whatever hosts saw of it before and whoever is listed at its address.
test('tick() never lets two servers hold a key, when servers leave the list with signs of an end while calls and leaders fail', async () => {
  await fc.assert(fc.asyncProperty(fc.array(departureStep, { minLength: 1, maxLength: 10 }), async (steps) => {
    const simulation = createSimulation()
    const behaviourByServer = new Map<string, CallBehaviour>()
    simulation.servers.setCallBehaviour((id) => behaviourByServer.get(id) ?? CallBehaviour.carriedOut)
    await run(simulation, 1000)
    for (const { action, lengthMs } of steps) {
      if (action.kind === 'behaviour') behaviourByServer.set(action.server, action.behaviour)
      else if (action.kind === 'restart') simulation.servers.restart(action.server)
      else if (action.kind === 'new-leader') startLeader(simulation)
      else {
        if (action.kind === 'crash') simulation.servers.remove(action.server)
        else simulation.servers.unlist(action.server)
        if (action.sign === 'refused') simulation.refusing.add(action.server)
        else simulation.addresses.set(`10.0.0.1:${action.server.slice(1)}`, 's9')
      }
      await run(simulation, lengthMs)
    }
    assert.equal(simulation.servers.violations, [])
  }), propertyParameters(25))
})

test('isFixed() keeps a hot key with the server that it was moved to, when the measured speeds of busy servers vary between plans', async () => {
  const simulation = createSimulation()
  await run(simulation, 1500)
  const hotKey = 20_000
  const owners = new Set<string>()
  let moves = 0
  let last = simulation.servers.holders(hotKey)[0]
  // A quarter more or less at each plan makes another server seem the fastest each time.
  for (let round = 0; round < 10; round++) {
    const ranges = planRanges(simulation.controller.ranges(), {
      candidates: IDS.map((id, index) => ({ id, capacity: (round + index) % IDS.length === 0 ? 2 : 1 })), keyLoads: new Map([[hotKey, 400], [100, 20], [40_000, 20]]), isFixed: simulation.controller.isFixed
    })
    simulation.stored = simulation.controller.beginPlan(ranges)
    simulation.controller.applyPlan(ranges)
    for (let tick = 0; tick < 20; tick++) {
      simulation.controller.tick()
      simulation.queue.advance(25)
      await new Promise((resolve) => { setImmediate(resolve) })
    }
    const [holder] = simulation.servers.holders(hotKey)
    if (holder === undefined) continue
    owners.add(holder)
    if (holder !== last) moves++
    last = holder
  }
  assert.ok(moves >= 1 && moves <= 3, `The key moved ${moves} times in 5 s, to ${[...owners].join(', ')}`)
  assert.equal(simulation.servers.violations, [])
})

test.run()
