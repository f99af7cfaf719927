/** Tests of planning and granting keys on the leading host. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createRoutingState, type RoutingState } from '../gateway/mod.ts'
import { createLeadership } from '../leadership/mod.ts'
import { createLogger } from '../logging/mod.ts'
import type { GrantCall } from '../ownership/mod.ts'
import { fail, succeed, type RowWrite, type TableRow, type TableService } from '../ports/mod.ts'
import { createCoordinator, type Coordinator } from './create_coordinator.ts'

const test = suite('createCoordinator')
const logger = createLogger({ name: 'test', write: () => {} })

function createTable (): TableService {
  const rows = new Map<string, TableRow>()
  let revision = 0
  return {
    read: async (key) => succeed(rows.get(key) ?? null),
    changes: async (prefix) => succeed({ revision, rows: [...rows.values()].filter((row) => row.key.startsWith(prefix)) }),
    async write (writes: readonly RowWrite[]) {
      if (writes.some((write) => (rows.get(write.key)?.revision ?? 0) !== write.expectedRevision)) return fail({ kind: 'conflict', current: [] })
      revision++
      for (const write of writes) rows.set(write.key, { key: write.key, revision, value: write.value })
      return succeed(revision)
    }
  }
}

interface Setup {
  readonly routingState: RoutingState
  readonly coordinator: Coordinator
  readonly grants: readonly GrantCall[]
  /** Runs the coordinator for a time, in milliseconds; `onStep` is called each 50 ms. */
  run (forMs: number, onStep?: () => Promise<void>): Promise<void>
}

/** Creates a leading coordinator of one keyed service with two servers, `i-1` and `i-2`. */
async function createSetup (): Promise<Setup> {
  const table = createTable()
  const routingState = createRoutingState()
  routingState.applyConfiguration({
    version: 1,
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    routes: [],
    services: [{ name: 'lookups', keyed: true, maximumConnections: 10, coldKeyMs: 0 }]
  })
  routingState.setServers(['i-1', 'i-2'].map((id, index) => ({ id, bornAt: 1, service: 'lookups', address: `10.0.0.${index}:80`, zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 })))
  let now = 0
  const leadership = createLeadership({ table, logger, holder: 'h1', address: 'h1:1', now: () => now, wallClock: () => now })
  leadership.observeLease(null)
  const grants: GrantCall[] = []
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
    publish: () => {},
    onOwnerChanges: routingState.setOwners
  })
  assert.ok(await leadership.claim())
  assert.ok(await coordinator.takeOver())
  coordinator.onServersChanged()
  await coordinator.plan()
  return {
    routingState,
    coordinator,
    grants,
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

test('plan() moves most keys of a server away, when it names a limit far below its share of the requests', async () => {
  const { routingState, coordinator, run } = await createSetup()
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
    coordinator.onReport({ name: 'h1', zone: 'a' }, { kind: 'report', samples: [['i-1', { ...sample, limit: [5, 0] }], ['i-2', sample]], keys: [['lookups', keys.map((key) => [key, 1] as const)]] })
    await coordinator.plan()
  })
  assert.ok(before > 200, `${before} keys before`)
  assert.ok(ownedBy('i-1') < keys.length * 0.2, `${ownedBy('i-1')} keys after`)
  assert.ok(ownedBy('i-2') > keys.length * 0.7, `${ownedBy('i-2')} keys at the other server`)
})

test.run()
