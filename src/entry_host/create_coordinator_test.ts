/** Tests of the leading host's work with plans. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createRoutingState } from '../gateway/mod.ts'
import { createLeadership } from '../leadership/mod.ts'
import { createLogger } from '../logging/mod.ts'
import type { GrantCall } from '../ownership/mod.ts'
import { fail, succeed, type RowWrite, type TableRow, type TableService } from '../ports/mod.ts'
import { createCoordinator } from './create_coordinator.ts'

const test = suite('createLeader')
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

test('plan() has every key granted, when the list of servers does not change after the host became leader', async () => {
  const table = createTable()
  const knowledge = createRoutingState()
  knowledge.applyConfiguration({
    version: 1,
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    routes: [],
    services: [{ name: 'lookups', keyed: true, maximumConnections: 10, coldKeyMs: 0 }]
  })
  knowledge.setServers(['i-1', 'i-2'].map((id, index) => ({ id, bornAt: 1, service: 'lookups', address: `10.0.0.${index}:80`, zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 })))
  let now = 0
  const leadership = createLeadership({ table, logger, holder: 'h1', address: 'h1:1', now: () => now, wallClock: () => now })
  leadership.observeLease(null)
  const grants: GrantCall[] = []
  const leader = createCoordinator({
    routingState: knowledge,
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
    onOwnerChanges: knowledge.setOwners
  })
  assert.ok(await leadership.claim())
  assert.ok(await leader.takeOver())
  leader.onServersChanged()
  await leader.plan()
  for (; now < 800; now += 50) {
    leader.tick()
    await new Promise((resolve) => { setImmediate(resolve) })
  }
  const covered = grants.reduce((keys, grant) => keys + grant.to - grant.from + 1, 0)
  assert.is(covered, 65_536)
  assert.is(knowledge.ownerOf('lookups', 4711).kind, 'owned')
})

test.run()
