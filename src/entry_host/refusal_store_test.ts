/** Tests of stored refusals: a request that ends servers must stay refused when all hosts are lost, or the store is restored. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createFakeTable, type FakeTable } from '../../testing/fake_table.ts'
import { createFatalRequestRegistry, NO_EVIDENCE, type FatalRequestRegistry } from '../fatal_requests/mod.ts'
import { createLeadership, LEASE_KEY, type Leadership } from '../leadership/mod.ts'
import { createLogger } from '../logging/mod.ts'
import { createRefusalStore, REFUSALS_KEY, type RefusalStore } from './refusal_store.ts'

const test = suite('refusal store')

interface TestHost {
  readonly leadership: Leadership
  readonly registry: FatalRequestRegistry
  readonly store: RefusalStore
}

/** Wall-clock time; the monotonic clock of each host starts at another value. */
let wallClock = 1_750_000_000_000

function createHost (table: FakeTable, holder: string, startedAt: number): TestHost {
  const now = (): number => wallClock - 1_750_000_000_000 + startedAt
  const logger = createLogger({ name: 'test', write: () => {} })
  const leadership = createLeadership({ table, logger, holder, address: `${holder}:1`, now, wallClock: () => wallClock })
  const registry = createFatalRequestRegistry({ now })
  return { leadership, registry, store: createRefusalStore({ table, leadership, evidence: registry.evidence, onLoaded (evidence) { registry.merge(evidence) }, logger, now, wallClock: () => wallClock }) }
}

async function startLeader (table: FakeTable, holder: string, startedAt: number): Promise<TestHost> {
  const host = createHost(table, holder, startedAt)
  const rows = await table.changes(LEASE_KEY, 0)
  if (rows.ok) host.leadership.observeLease(rows.value.rows[0] ?? { era: rows.value.era, revision: 0, value: null })
  assert.ok(await host.leadership.claim())
  return host
}

function refuse (host: TestHost, fingerprint: string): void {
  const endedAt = wallClock - 1_750_000_000_000
  host.registry.merge({ ...NO_EVIDENCE, refusals: [{ fingerprint, refusedAt: endedAt, until: endedAt + 600_000, times: 1 }] })
}

async function tickRepeatedly ({ store }: TestHost): Promise<void> {
  for (let count = 0; count < 3; count++) await store.tick()
}

test('tick() writes refusals once and hands them to the next leader, when all hosts are lost', async () => {
  const table = createFakeTable()
  const first = await startLeader(table, 'h1', 0)
  await tickRepeatedly(first)
  assert.is(table.history(REFUSALS_KEY).length, 0)
  refuse(first, 'fatal')
  await tickRepeatedly(first)
  assert.is(table.history(REFUSALS_KEY).length, 1)
  wallClock += 60_000
  const second = await startLeader(table, 'h2', 5_000_000)
  await tickRepeatedly(second)
  const refusal = second.registry.refusalOf('fatal')
  assert.is(refusal?.until, 5_000_000 + 600_000)
  refuse(second, 'another')
  await tickRepeatedly(second)
  assert.is(table.history(REFUSALS_KEY).length, 2)
})

test('tick() writes refusals again, when the store does not respond at first', async () => {
  const table = createFakeTable()
  const host = await startLeader(table, 'h1', 0)
  await tickRepeatedly(host)
  refuse(host, 'fatal')
  table.setCallBehaviours(['down'])
  await tickRepeatedly(host)
  assert.is(table.history(REFUSALS_KEY).length, 1)
})

test('invalidate() makes the leader write refusals again, when the store has been restored without them', async () => {
  const table = createFakeTable()
  const host = await startLeader(table, 'h1', 0)
  await tickRepeatedly(host)
  refuse(host, 'fatal')
  await tickRepeatedly(host)
  host.store.invalidate()
  await tickRepeatedly(host)
  assert.is(table.history(REFUSALS_KEY).length, 2)
})

test('tick() loads nothing and goes on, when the row is not readable', async () => {
  for (const value of ['text', null, { refusals: 7 }, { refusals: [[1], ['a'], ['b', 'c', 1, 1]] }]) {
    const table = createFakeTable()
    const first = await startLeader(table, 'h1', 0)
    await tickRepeatedly(first)
    refuse(first, 'fatal')
    await tickRepeatedly(first)
    table.corrupt(REFUSALS_KEY, value)
    wallClock += 60_000
    const second = await startLeader(table, 'h2', 0)
    await tickRepeatedly(second)
    assert.is(second.registry.isWatching(), false)
    refuse(second, 'next')
    await tickRepeatedly(second)
    assert.is(table.history(REFUSALS_KEY).length, 2)
  }
})

test.run()
