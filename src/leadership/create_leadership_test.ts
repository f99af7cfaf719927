/** Tests of the lease: one leader at a time, whatever the table service does. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { createLogger } from '../logging/mod.ts'
import { fail, succeed, type RowWrite, type TableRow, type TableService } from '../ports/mod.ts'
import { createLeadership, LEASE_KEY, LeaseTiming, type Leadership } from './create_leadership.ts'

const test = suite('createLeadership')
const logger = createLogger({ name: 'test', write: () => {} })

interface FakeTable extends TableService {
  /** How the next write ends. */
  fate: 'written' | 'refused' | 'answer-lost'
  readonly rows: Map<string, TableRow>
}

function createTable (): FakeTable {
  const rows = new Map<string, TableRow>()
  let revision = 0
  const table: FakeTable = {
    fate: 'written',
    rows,
    read: async (key) => succeed(rows.get(key) ?? null),
    changes: async () => succeed({ revision, rows: [...rows.values()] }),
    async write (writes: readonly RowWrite[]) {
      if (table.fate === 'refused') return fail({ kind: 'unavailable', detail: 'away' })
      if (writes.some((write) => (rows.get(write.key)?.revision ?? 0) !== write.expectedRevision)) {
        return fail({ kind: 'conflict', current: writes.flatMap((write) => rows.get(write.key) ?? []) })
      }
      revision++
      for (const write of writes) rows.set(write.key, { key: write.key, revision, value: write.value })
      return table.fate === 'answer-lost' ? fail({ kind: 'unavailable', detail: 'lost' }) : succeed(revision)
    }
  }
  return table
}

/** Clocks of a host that may be suspended: then only the time of day goes on. */
interface Clocks { steady: number, timeOfDay: number }

function createHost (table: TableService, name: string, clocks: Clocks): Leadership {
  return createLeadership({ table, logger, holder: name, address: `${name}:1`, now: () => clocks.steady, wallClock: () => clocks.timeOfDay })
}

async function observe (host: Leadership, table: TableService): Promise<void> {
  const row = await table.read(LEASE_KEY)
  if (row.ok) host.observeLease(row.value)
}

/** A table in which host `a` holds the lease. */
async function createHeldLease (): Promise<{ readonly table: FakeTable, readonly clocks: Clocks, readonly holder: Leadership }> {
  const table = createTable()
  const clocks = { steady: 0, timeOfDay: 0 }
  const holder = createHost(table, 'a', clocks)
  await observe(holder, table)
  await holder.claim()
  return { table, clocks, holder }
}

test('claim() makes one of two hosts leader, when both claim at once', async () => {
  const table = createTable()
  const clocks = { steady: 0, timeOfDay: 0 }
  const hosts = [createHost(table, 'a', clocks), createHost(table, 'b', clocks)]
  for (const host of hosts) await observe(host, table)
  await Promise.all(hosts.map(async (host) => host.claim()))
  assert.is(hosts.filter((host) => host.isLeading()).length, 1)
})

test('isLeading() ends with the lease, when the store does not answer', async () => {
  const table = createTable()
  const clocks = { steady: 0, timeOfDay: 0 }
  const host = createHost(table, 'a', clocks)
  await observe(host, table)
  await host.claim()
  table.fate = 'refused'
  clocks.steady = clocks.timeOfDay = LeaseTiming.durationMs - 1
  assert.ok(host.isLeading())
  assert.ok(host.isStoreUnavailable())
  clocks.steady = clocks.timeOfDay = LeaseTiming.durationMs
  assert.not(host.isLeading())
  table.fate = 'written'
  await host.renew()
  assert.ok(host.isLeading())
})

test('mayClaim() leaves the lease to its holder, when the store is back and the holder is heard', async () => {
  const { table, clocks } = await createHeldLease()
  const other = createHost(table, 'b', clocks)
  await observe(other, table)
  other.recordRead(true)
  clocks.steady = 4000
  other.recordRead(false)
  clocks.steady = 8000
  other.recordRead(true)
  assert.not(other.mayClaim(true))
  assert.ok(other.mayClaim(false))
  clocks.steady += LeaseTiming.storeRecoveryMs
  other.recordRead(true)
  assert.ok(other.mayClaim(true))
})

test('mayClaim() does not trust reads from before a pause, when the holder is heard', async () => {
  const { table, clocks } = await createHeldLease()
  const other = createHost(table, 'b', clocks)
  await observe(other, table)
  other.recordRead(true)
  clocks.steady = 8000
  other.recordRead(true)
  assert.not(other.mayClaim(true))
})

test('earlierHolds() counts from when the lease was last seen renewed, when it has run out', async () => {
  const { table, clocks } = await createHeldLease()
  const other = createHost(table, 'b', clocks)
  clocks.steady = 100
  await observe(other, table)
  clocks.steady = 9000
  assert.ok(await other.claim())
  assert.equal(other.previousGrants(), { kind: 'unknown', grantsUntil: 100 + LeaseTiming.durationMs })
})

test('earlierHolds() returns what the last leader told, when it gave the lease back', async () => {
  const { table, clocks, holder } = await createHeldLease()
  await holder.release({ 'i-1': 2100 })
  const other = createHost(table, 'b', clocks)
  await observe(other, table)
  clocks.steady = 700
  assert.ok(await other.claim())
  assert.equal(other.previousGrants(), { kind: 'told', from: 700, holdsMs: { 'i-1': 2100 } })
})

test('earlierHolds() is unknown, when the last leader gave the lease back without a word or its row is unreadable', async () => {
  for (const spoilt of [false, true]) {
    const { table, clocks, holder } = await createHeldLease()
    await holder.release()
    if (spoilt) table.rows.set(LEASE_KEY, { key: LEASE_KEY, revision: 2, value: 'spoilt' })
    const other = createHost(table, 'b', clocks)
    await observe(other, table)
    assert.ok(await other.claim())
    assert.equal(other.previousGrants(), { kind: 'unknown', grantsUntil: LeaseTiming.durationMs })
  }
})

test('isLeading() has ended, when the host wakes from a suspension that the monotonic clock did not count', async () => {
  const table = createTable()
  const clocks = { steady: 0, timeOfDay: 0 }
  const host = createHost(table, 'a', clocks)
  await observe(host, table)
  await host.claim()
  clocks.timeOfDay = 4000
  assert.not(host.isLeading())
})

test('mayClaim() holds at once, when the holder has given the lease back or has ended', async () => {
  const table = createTable()
  const clocks = { steady: 0, timeOfDay: 0 }
  const [first, second] = [createHost(table, 'a', clocks), createHost(table, 'b', clocks)] as const
  await observe(first, table)
  await first.claim()
  await observe(second, table)
  assert.not(second.mayClaim())
  second.recordEnded('a')
  assert.ok(second.mayClaim())
  await second.claim()
  await observe(first, table)
  assert.not(first.isLeading())
  await second.release({})
  await observe(first, table)
  assert.ok(first.mayClaim())
})

test('claim() succeeds, when the answer to an earlier claim was lost', async () => {
  const table = createTable()
  const host = createHost(table, 'a', { steady: 0, timeOfDay: 0 })
  await observe(host, table)
  table.fate = 'answer-lost'
  assert.not(await host.claim())
  table.fate = 'written'
  await observe(host, table)
  assert.ok(host.mayClaim())
  assert.ok(await host.claim())
})

test('write() changes nothing, when another host has claimed the lease', async () => {
  const table = createTable()
  const clocks = { steady: 0, timeOfDay: 0 }
  const [first, second] = [createHost(table, 'a', clocks), createHost(table, 'b', clocks)] as const
  await observe(first, table)
  await first.claim()
  await observe(second, table)
  clocks.steady = LeaseTiming.durationMs + LeaseTiming.claimMarginMs + 1
  await second.claim()
  assert.is(await first.write([{ key: 'plan/x', value: 1 }]), 'superseded')
  assert.not(table.rows.has('plan/x'))
  assert.not(first.isLeading())
})

test('isLeading() holds for one host at a time, whatever happens to writes, clocks and hosts', async () => {
  const step = fc.record({ host: fc.nat({ max: 2 }), fate: fc.constantFrom('written' as const, 'refused' as const, 'answer-lost' as const), steadyMs: fc.integer({ min: 0, max: 2000 }), frozen: fc.boolean() })
  await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
    const table = createTable()
    const clocks = [0, 1, 2].map(() => ({ steady: 0, timeOfDay: 0 }))
    const hosts = clocks.map((clock, index) => createHost(table, `h${index}`, clock))
    for (const { host: index, fate, steadyMs, frozen } of steps) {
      for (const [place, clock] of clocks.entries()) {
        clock.timeOfDay += steadyMs
        if (!(frozen && place === index)) clock.steady += steadyMs
      }
      const host = hosts[index]
      if (host === undefined) continue
      table.fate = fate
      await observe(host, table)
      if (host.mayClaim()) await host.claim()
      else await host.renew()
      assert.ok(hosts.filter((candidate) => candidate.isLeading()).length <= 1)
    }
  }), propertyParameters(300))
})

test.run()
