/** Tests of the grants of ranges: one owner at a time, whatever happens to calls, servers and leaders. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { createEventQueue, type EventQueue } from '../../testing/event_queue.ts'
import { CallFate, createFakeOwnedServers, type FakeOwnedServers } from '../../testing/fake_owned_servers.ts'
import type { PreviousGrants } from '../leadership/mod.ts'
import { createLogger } from '../logging/mod.ts'
import { partitionKeySpace, planRanges, type PlannedRange } from './plan_ranges.ts'
import { createRangeController, GrantTiming, type RangeController } from './range_controller.ts'
import type { RecordedRange } from './plan_record.ts'

const test = suite('createRangeSteward')
const IDS = ['s1', 's2', 's3', 's4']
const KEYS = [0, 9000, 20_000, 33_000, 47_000, 65_535]
const LONGEST_HOLD_MS = 10_000
const logger = createLogger({ name: 'test', write: () => {} })

/** A leader and the plan that it stored; the next leader starts from it. */
interface World {
  readonly queue: EventQueue
  readonly servers: FakeOwnedServers
  steward: RangeController
  stored: RecordedRange[]
  leads: boolean
  troubled: boolean
  claim: number
  /** Who listens at each address. */
  readonly addresses: Map<string, string>
  /** Servers that refuse connections of hosts in several zones. */
  readonly refusing: Set<string>
  /** Servers that each key was last announced to belong to. */
  readonly announced: Map<number, string | null>
}

function startLeader (world: World, earlier?: PreviousGrants): void {
  const claim = ++world.claim
  let tokens = 0
  world.steward = createRangeController(world.stored, {
    service: 'lookups',
    control: world.servers.control,
    logger,
    now: world.queue.now,
    mayGrant: () => world.leads && world.claim === claim,
    isStoreUnavailable: () => world.troubled,
    maximumGrantDurationMs: LONGEST_HOLD_MS,
    previousGrants: earlier ?? { kind: 'unknown', lastPossibleGrantAt: world.queue.now() },
    nextToken: () => claim * 1_000_000 + ++tokens,
    publish (changes) {
      for (const change of changes) {
        for (const key of KEYS) {
          if (key >= change.from && key <= change.to) world.announced.set(key, change.owner.kind === 'owned' ? change.owner.server : null)
        }
      }
    },
    isResponding: () => false,
    isRefusingConnections: (server) => world.refusing.has(server.id)
  })
}

function createWorld (): World {
  const queue = createEventQueue()
  const servers = createFakeOwnedServers(queue, IDS, KEYS)
  const stored = partitionKeySpace(1).map((range) => ({ ...range, previous: null }))
  const world = { queue, servers, stored, leads: true, troubled: false, claim: 0, addresses: new Map(), refusing: new Set(), announced: new Map() } as unknown as World
  startLeader(world)
  return world
}

function plan (world: World, fails: boolean): void {
  const silent = world.steward.unresponsiveServers()
  const open = world.servers.list().filter((server) => !server.leaving && !silent.has(server.id))
  if (open.length === 0) return
  const ranges: PlannedRange[] = planRanges(world.steward.ranges(), {
    candidates: open.map((server) => ({ id: server.id, capacity: 1 })), keyLoads: new Map(), isFixed: world.steward.isFixed
  })
  const record = world.steward.beginPlan(ranges)
  if (fails) {
    world.steward.abandonPlan()
    return
  }
  world.stored = record
  world.steward.applyPlan(ranges)
}

async function run (world: World, lengthMs: number, failsToStore = false): Promise<void> {
  for (let at = 0; at < lengthMs; at += 25) {
    if (world.leads && at % 400 === 0) {
      world.steward.setServers(world.servers.list(), world.addresses)
      if (!world.troubled) plan(world, failsToStore)
    }
    if (world.leads) world.steward.tick()
    world.queue.advance(25)
    await new Promise((resolve) => { setImmediate(resolve) })
  }
}

function ownersNow (world: World): string[] {
  return KEYS.map((key) => world.servers.holders(key).join('+'))
}

test('tick() has every key held by the announced server, when nothing fails', async () => {
  const world = createWorld()
  await run(world, 1500)
  assert.equal(ownersNow(world), KEYS.map((key) => world.announced.get(key)))
  assert.equal(new Set(ownersNow(world)).size > 1, true)
  assert.equal(world.servers.violations, [])
})

test('adopt() moves the keys of a leaving server within 500 ms, with what it leaves for the next', async () => {
  const world = createWorld()
  await run(world, 1500)
  world.servers.setLeaving('s1')
  await run(world, 500)
  assert.not(ownersNow(world).includes('s1'))
  assert.not(ownersNow(world).includes(''))
})

test('adopt() moves the keys of a leaving server at once, when a new leader has just taken over', async () => {
  const world = createWorld()
  await run(world, 1500)
  startLeader(world)
  world.servers.setLeaving('s1')
  await run(world, 1000)
  assert.not(ownersNow(world).includes('s1'))
  assert.not(ownersNow(world).includes(''))
  assert.equal(world.servers.violations, [])
})

test('tick() serves the keys of a silent server again, when its hold has run out', async () => {
  const world = createWorld()
  await run(world, 2000)
  world.servers.setFate((id) => id === 's2' ? CallFate.lost : CallFate.carriedOut)
  // A renewal that falls due, two calls that go unanswered, the plan, and the hold of a server whose clock is slow.
  await run(world, GrantTiming.renewIntervalMs + 2 * (280 + GrantTiming.retryDelayMs) + 400 + GrantTiming.grantDurationMs * 1.02 + 300)
  assert.not(ownersNow(world).includes('s2'))
  assert.not(ownersNow(world).includes(''))
  assert.equal(world.servers.violations, [])
})

test('tick() lets the holds of a silent server run out, when its renewals go unanswered', async () => {
  const world = createWorld()
  await run(world, 2000)
  world.servers.setFate((id) => id === 's2' ? CallFate.lost : CallFate.carriedOut)
  // The last renewals that were answered, and the hold of a server whose clock is slow.
  await run(world, GrantTiming.grantDurationMs * 1.02 + 100)
  const waiting = world.steward.ranges().filter((range) => range.holders.includes('s2'))
  assert.ok(waiting.length <= 2, `${waiting.length} ranges`)
  // The renewals that fell due after the server fell silent, and may still have arrived.
  await run(world, GrantTiming.renewIntervalMs + 280 + 300)
  assert.equal(world.steward.ranges().filter((range) => range.holders.includes('s2')), [])
  assert.not(ownersNow(world).includes(''))
  assert.equal(world.servers.violations, [])
})

test('silentServers() leaves a server out again, when it answers after all its holds have run out', async () => {
  const world = createWorld()
  await run(world, 2000)
  world.servers.setFate((id) => id === 's2' ? CallFate.lost : CallFate.carriedOut)
  await run(world, 9000)
  assert.ok(world.steward.unresponsiveServers().has('s2'))
  world.servers.setFate(() => CallFate.carriedOut)
  await run(world, 1000)
  assert.not(world.steward.unresponsiveServers().has('s2'))
  assert.equal(world.servers.violations, [])
})

test('tick() does not take a server for silent, and serves its keys after the hold, when work on released keys goes on', async () => {
  const world = createWorld()
  await run(world, 2000)
  world.servers.setWorkMs(10_000)
  world.servers.setLeaving('s1')
  await run(world, 2000)
  assert.not(world.steward.unresponsiveServers().has('s1'))
  await run(world, GrantTiming.grantDurationMs * 1.02 - 2000 + 200)
  assert.not(ownersNow(world).includes(''))
  assert.equal(world.servers.violations, [])
})

test('tick() serves the keys of a silent server after its hold, when the leader before told how long that lasts', async () => {
  const world = createWorld()
  await run(world, 2000)
  world.servers.setFate((id) => id === 's2' ? CallFate.lost : CallFate.carriedOut)
  await run(world, 1000)
  startLeader(world, { kind: 'told', asOf: world.queue.now(), remainingMs: Object.fromEntries(world.steward.remainingGrantsMs()) })
  // The rest of the hold, a renewal that went unanswered, and a plan.
  await run(world, GrantTiming.grantDurationMs * 1.02 + 280 + 300 + 400 + 100)
  assert.not(ownersNow(world).includes('s2'))
  assert.not(ownersNow(world).includes(''))
  assert.equal(world.servers.violations, [])
})

test('tick() serves the keys of a restarted server at once, when its new start is listed', async () => {
  const world = createWorld()
  await run(world, 2000)
  world.servers.restart('s3')
  await run(world, 900)
  assert.not(ownersNow(world).includes(''))
  assert.equal(world.servers.violations, [])
})

test('tick() serves the keys of an ended server within a second, when a new leader has just taken over', async () => {
  for (const proof of ['address', 'refused']) {
    const world = createWorld()
    await run(world, 2000)
    world.servers.setFate((id) => id === 's2' ? CallFate.refused : CallFate.carriedOut)
    startLeader(world)
    await run(world, 800)
    world.servers.remove('s2')
    if (proof === 'address') world.addresses.set('10.0.0.1:2', 's9')
    else world.refusing.add('s2')
    await run(world, 1000)
    assert.not(ownersNow(world).includes(''), proof)
    assert.equal(world.servers.violations, [])
  }
})

test('tick() keeps keys held over an outage of the store of 9 s, when the lease ends after 3 s', async () => {
  const world = createWorld()
  await run(world, 2000)
  world.troubled = true
  await run(world, 1600)
  world.leads = false
  await run(world, 7400)
  assert.not(ownersNow(world).includes(''))
  world.leads = true
  world.troubled = false
  await run(world, 1000)
  assert.not(ownersNow(world).includes(''))
  assert.equal(world.servers.violations, [])
})

const fates = Object.values(CallFate)
const server = fc.constantFrom(...IDS)
const step = fc.record({
  lengthMs: fc.integer({ min: 50, max: 3500 }),
  action: fc.oneof(
    fc.record({ kind: fc.constant('fate' as const), server, fate: fc.constantFrom(...fates) }),
    fc.record({ kind: fc.constant('heal' as const) }),
    fc.record({ kind: fc.constant('restart' as const), server }),
    fc.record({ kind: fc.constant('leave' as const), server }),
    fc.record({ kind: fc.constant('join' as const), server }),
    fc.record({ kind: fc.constant('new-leader' as const) }),
    fc.record({ kind: fc.constant('handed-over' as const) }),
    fc.record({ kind: fc.constant('store-away' as const) }),
    fc.record({ kind: fc.constant('store-fails' as const) })
  )
})

test('tick() never has two servers hold a key, whatever happens to calls, servers, leaders and the store', async () => {
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 1, maxLength: 10 }), async (steps) => {
    const world = createWorld()
    const fateOf = new Map<string, CallFate>()
    world.servers.setFate((id) => fateOf.get(id) ?? CallFate.carriedOut)
    await run(world, 1000)
    for (const { action, lengthMs } of steps) {
      if (action.kind === 'fate') fateOf.set(action.server, action.fate)
      else if (action.kind === 'heal') fateOf.clear()
      else if (action.kind === 'restart') world.servers.restart(action.server)
      else if (action.kind === 'leave') world.servers.setLeaving(action.server)
      else if (action.kind === 'join') {
        world.servers.remove(action.server)
        world.servers.add(action.server)
      } else if (action.kind === 'new-leader') startLeader(world)
      else if (action.kind === 'handed-over') {
        startLeader(world, { kind: 'told', asOf: world.queue.now(), remainingMs: Object.fromEntries(world.steward.remainingGrantsMs()) })
      }
      world.troubled = action.kind === 'store-away'
      await run(world, lengthMs, action.kind === 'store-fails')
    }
    assert.equal(world.servers.violations, [])
    fateOf.clear()
    world.troubled = false
    for (const id of IDS) if (world.servers.list().find((entry) => entry.id === id)?.leaving !== false) { world.servers.remove(id); world.servers.add(id) }
    await run(world, 13_000)
    assert.not(ownersNow(world).includes(''))
    assert.equal(world.servers.violations, [])
  }), propertyParameters(25))
})

test.run()
