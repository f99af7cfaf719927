/** Tests of planning and granting keys on the leading host. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createFakeTable, type FakeTable } from '../../testing/fake_table.ts'
import { createRoutingState, type RoutingState, type ServerSample } from '../gateway/mod.ts'
import { createLeadership, LEASE_KEY, LeaseTiming, type Leadership } from '../leadership/mod.ts'
import { createLogger } from '../logging/mod.ts'
import { decodePlanRecord, type GrantCall } from '../ownership/mod.ts'
import { createCoordinator, PLAN_PREFIX, type Coordinator } from './create_coordinator.ts'

const test = suite('createCoordinator')
const logger = createLogger({ name: 'test', write: () => {} })

interface Setup {
  readonly leadership: Leadership
  readonly advance: (elapsedMs: number) => void
  readonly routingState: RoutingState
  readonly coordinator: Coordinator
  readonly grants: readonly GrantCall[]
  /** Requests per second of cold servers; empty at first. */
  readonly coldRates: Map<string, number>
  /** Runs the coordinator for a time, in milliseconds; `onStep` is called each 50 ms. */
  run (forMs: number, onStep?: () => Promise<void>): Promise<void>
}

/** Creates a leading coordinator of one keyed service with two servers, `i-1` and `i-2`. */
async function createSetup (table = createFakeTable(), holder = 'h1'): Promise<Setup> {
  const setup = createHost(table, holder)
  const lease = await table.changes(LEASE_KEY, 0)
  if (lease.ok) setup.leadership.observeLease(lease.value.rows[0] ?? { ...lease.value, revision: 0, value: null })
  if (!setup.leadership.mayClaim()) setup.advance(LeaseTiming.durationMs + LeaseTiming.claimMarginMs + 100)
  assert.ok(await setup.leadership.claim())
  assert.ok(await setup.coordinator.takeOver())
  setup.coordinator.onServersChanged()
  await setup.coordinator.plan()
  return setup
}

function createHost (table: FakeTable, holder: string): Setup {
  const routingState = createRoutingState()
  routingState.applyConfiguration({
    version: 1,
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    routes: [],
    services: [{ name: 'lookups', keyed: true, maximumConnections: 10, coldKeyMs: 0 }]
  })
  routingState.setServers(['i-1', 'i-2'].map((id, index) => ({ id, bornAt: 1, service: 'lookups', address: `10.0.0.${index}:80`, zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 })))
  let now = 0
  const leadership = createLeadership({ table, logger, holder, address: `${holder}:1`, now: () => now, wallClock: () => now })
  const grants: GrantCall[] = []
  const coldRates = new Map<string, number>()
  const coordinator = createCoordinator({
    routingState,
    leadership,
    table,
    control: {
      grant: async (_server, call) => {
        grants.push(call)
        return { kind: 'done', handover: null }
      },
      release: async () => ({ kind: 'done', handover: null }),
      probe: async () => ({ kind: 'done', handover: null })
    },
    logger,
    now: () => now,
    maximumGrantDurationMs: 10_000,
    isMajorityReporting: () => true,
    coldRequestsPerSecond: ({ id }) => coldRates.get(id) ?? null,
    publish: () => {},
    onOwnerChanges: routingState.setOwners
  })
  return {
    leadership,
    advance (elapsedMs) { now += elapsedMs },
    routingState,
    coordinator,
    grants,
    coldRates,
    async run (forMs, onStep) {
      for (const endsAt = now + forMs; now < endsAt; now += 50) {
        if (now % 800 === 0) await leadership.renew()
        await onStep?.()
        coordinator.tick()
        await new Promise((resolve) => { setImmediate(resolve) })
      }
    }
  }
}

test('plan() gets every key granted, when the list of servers does not change after the host became leader', async () => {
  const { routingState, grants, run } = await createSetup()
  await run(800)
  const covered = grants.reduce((keys, grant) => keys + grant.to - grant.from + 1, 0)
  assert.is(covered, 65_536)
  assert.is(routingState.ownerOf('lookups', 4711).kind, 'owned')
})

/** Checks that most keys of `i-1` move away while its samples have the additional fields. */
async function checkKeysMove ({ routingState, coordinator, run }: Setup, fields: Partial<ServerSample>): Promise<void> {
  await run(800)
  const keys = Array.from({ length: 500 }, (_, index) => index * 131)
  function ownedBy (server: string): number {
    return keys.filter((key) => {
      const owner = routingState.ownerOf('lookups', key)
      return owner.kind === 'owned' && owner.server === server
    }).length
  }
  const before = ownedBy('i-1')
  const sample = { inFlight: 1, oldestMs: 50, served: 5, workMs: 500, failed: 0, shed: 0, lost: 0, refused: 0, wanted: 5 }
  // Without a limit each server runs 40 requests a second.
  await run(4000, async () => {
    coordinator.onReport({ name: 'h1', zone: 'a' }, { kind: 'report', samples: [['i-1', { ...sample, ...fields }], ['i-2', sample]], keys: [['lookups', keys.map((key) => [key, 1] as const)]] })
    await coordinator.plan()
  })
  assert.ok(before > 200, `${before} keys before`)
  assert.ok(ownedBy('i-1') < keys.length * 0.2, `${ownedBy('i-1')} keys after`)
  assert.ok(ownedBy('i-2') > keys.length * 0.7, `${ownedBy('i-2')} keys at the other server`)
}

test('plan() moves most keys of a server away, when it names a limit far below its share of the requests', async () => {
  await checkKeysMove(await createSetup(), { limit: [5, 0] })
})

// Guards against a server of a zone that returns and gets its former load at once.
test('plan() counts the capacity of a cold server as its request rate, when that is far below its share of the requests', async () => {
  const setup = await createSetup()
  setup.coldRates.set('i-1', 5)
  await checkKeysMove(setup, {})
})

// Guards against keys that are granted by a plan that the store has lost: the next leader would not know of the grants.
test('plan() stores the plans again, when the store has lost them and the leader leads on', async () => {
  const table = createFakeTable()
  const { leadership, coordinator, run } = await createSetup(table)
  await run(800)
  assert.ok(table.history(PLAN_PREFIX + 'lookups').length > 0)
  table.restore(1)
  await run(1700)
  assert.ok(leadership.isLeading())
  await coordinator.plan()
  const row = table.history(PLAN_PREFIX + 'lookups').at(-1)
  assert.is(row === undefined ? null : decodePlanRecord(row)?.era, 2)
})

// Guards against two owners of a key, with the same or a lower fencing token.
test('tick() grants with higher tokens and only after every lost grant has expired, when another host takes over after a restore', async () => {
  const table = createFakeTable()
  const first = await createSetup(table)
  await first.run(1600)
  table.restore(1)
  const second = await createSetup(table, 'h2')
  // The lease has been claimed 2.8 s after the restore; lost grants may last until 12.9 s after it.
  await second.run(10_000)
  assert.equal(second.grants, [])
  await second.run(2000, second.coordinator.plan)
  const highest = Math.max(...first.grants.map((grant) => grant.token))
  assert.ok(second.grants.length > 0)
  for (const grant of second.grants) assert.ok(grant.token > highest, `${grant.token} is not above ${highest}`)
})

test.run()
