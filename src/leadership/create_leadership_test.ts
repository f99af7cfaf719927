/** Tests of the lease: at most one host leads at a time, even when the table service fails. */
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
  /** Result of the following writes. */
  writeResult: 'written' | 'refused' | 'response-lost'
  readonly rows: Map<string, TableRow>
}

function createTable (): FakeTable {
  const rows = new Map<string, TableRow>()
  let revision = 0
  const table: FakeTable = {
    writeResult: 'written',
    rows,
    read: async (key) => succeed(rows.get(key) ?? null),
    changes: async () => succeed({ revision, rows: [...rows.values()] }),
    async write (writes: readonly RowWrite[]) {
      if (table.writeResult === 'refused') return fail({ kind: 'unavailable', detail: 'away' })
      if (writes.some((write) => (rows.get(write.key)?.revision ?? 0) !== write.expectedRevision)) {
        return fail({ kind: 'conflict', current: writes.flatMap((write) => rows.get(write.key) ?? []) })
      }
      revision++
      for (const write of writes) rows.set(write.key, { key: write.key, revision, value: write.value })
      return table.writeResult === 'response-lost' ? fail({ kind: 'unavailable', detail: 'lost' }) : succeed(revision)
    }
  }
  return table
}

/** Clocks of a host. While the host is suspended, only the wall clock advances. */
interface Clocks { monotonic: number, wall: number }

function createHost (table: TableService, name: string, clocks: Clocks): Leadership {
  return createLeadership({ table, logger, holder: name, address: `${name}:1`, now: () => clocks.monotonic, wallClock: () => clocks.wall })
}

async function observe (host: Leadership, table: TableService): Promise<void> {
  const row = await table.read(LEASE_KEY)
  if (row.ok) host.observeLease(row.value)
}

/** Creates a table in which host `a` holds the lease. */
async function createHeldLease (): Promise<{ readonly table: FakeTable, readonly clocks: Clocks, readonly holder: Leadership }> {
  const table = createTable()
  const clocks = { monotonic: 0, wall: 0 }
  const holder = createHost(table, 'a', clocks)
  await observe(holder, table)
  await holder.claim()
  return { table, clocks, holder }
}

test('claim() makes only one of two hosts leader, when both claim at the same time', async () => {
  const table = createTable()
  const clocks = { monotonic: 0, wall: 0 }
  const hosts = [createHost(table, 'a', clocks), createHost(table, 'b', clocks)]
  for (const host of hosts) await observe(host, table)
  await Promise.all(hosts.map(async (host) => host.claim()))
  assert.is(hosts.filter((host) => host.isLeading()).length, 1)
})

test('isLeading() returns false once the lease has expired, when the store does not respond', async () => {
  const table = createTable()
  const clocks = { monotonic: 0, wall: 0 }
  const host = createHost(table, 'a', clocks)
  await observe(host, table)
  await host.claim()
  table.writeResult = 'refused'
  clocks.monotonic = clocks.wall = LeaseTiming.durationMs - 1
  assert.ok(host.isLeading())
  assert.ok(host.isStoreUnavailable())
  clocks.monotonic = clocks.wall = LeaseTiming.durationMs
  assert.not(host.isLeading())
  table.writeResult = 'written'
  await host.renew()
  assert.ok(host.isLeading())
})

test('mayClaim() gives a responding holder time to renew, when the store has recovered', async () => {
  const { table, clocks } = await createHeldLease()
  const other = createHost(table, 'b', clocks)
  await observe(other, table)
  other.recordRead(true)
  clocks.monotonic = 4000
  other.recordRead(false)
  clocks.monotonic = 8000
  other.recordRead(true)
  assert.not(other.mayClaim(true))
  assert.ok(other.mayClaim(false))
  clocks.monotonic += LeaseTiming.storeRecoveryMs
  other.recordRead(true)
  assert.ok(other.mayClaim(true))
})

test('mayClaim() ignores reads from before a gap, when the holder responds', async () => {
  const { table, clocks } = await createHeldLease()
  const other = createHost(table, 'b', clocks)
  await observe(other, table)
  other.recordRead(true)
  clocks.monotonic = 8000
  other.recordRead(true)
  assert.not(other.mayClaim(true))
})

test('previousGrants() counts from when the last renewal was observed, when the lease has expired', async () => {
  const { table, clocks } = await createHeldLease()
  const other = createHost(table, 'b', clocks)
  clocks.monotonic = 100
  await observe(other, table)
  clocks.monotonic = 9000
  assert.ok(await other.claim())
  assert.equal(other.previousGrants(), { kind: 'unknown', lastPossibleGrantAt: 100 + LeaseTiming.durationMs })
})

test('previousGrants() returns the durations that the last leader stored, when it released the lease', async () => {
  const { table, clocks, holder } = await createHeldLease()
  await holder.release({ 'i-1': 2100 })
  const other = createHost(table, 'b', clocks)
  await observe(other, table)
  clocks.monotonic = 700
  assert.ok(await other.claim())
  assert.equal(other.previousGrants(), { kind: 'known', asOf: 700, remainingMs: { 'i-1': 2100 } })
})

test('previousGrants() is unknown, when the last leader released the lease without durations or the row is unreadable', async () => {
  for (const corrupt of [false, true]) {
    const { table, clocks, holder } = await createHeldLease()
    await holder.release()
    if (corrupt) table.rows.set(LEASE_KEY, { key: LEASE_KEY, revision: 2, value: 'corrupt' })
    const other = createHost(table, 'b', clocks)
    await observe(other, table)
    assert.ok(await other.claim())
    assert.equal(other.previousGrants(), { kind: 'unknown', lastPossibleGrantAt: LeaseTiming.durationMs })
  }
})

test('isLeading() returns false, when the host resumes from a suspension that the monotonic clock did not count', async () => {
  const table = createTable()
  const clocks = { monotonic: 0, wall: 0 }
  const host = createHost(table, 'a', clocks)
  await observe(host, table)
  await host.claim()
  clocks.wall = 4000
  assert.not(host.isLeading())
})

test('mayClaim() returns true at once, when the holder has released the lease or has ended', async () => {
  const table = createTable()
  const clocks = { monotonic: 0, wall: 0 }
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

test('claim() succeeds, when the response to an earlier claim was lost', async () => {
  const table = createTable()
  const host = createHost(table, 'a', { monotonic: 0, wall: 0 })
  await observe(host, table)
  table.writeResult = 'response-lost'
  assert.not(await host.claim())
  table.writeResult = 'written'
  await observe(host, table)
  assert.ok(host.mayClaim())
  assert.ok(await host.claim())
})

test('write() changes nothing, when another host has claimed the lease', async () => {
  const table = createTable()
  const clocks = { monotonic: 0, wall: 0 }
  const [first, second] = [createHost(table, 'a', clocks), createHost(table, 'b', clocks)] as const
  await observe(first, table)
  await first.claim()
  await observe(second, table)
  clocks.monotonic = LeaseTiming.durationMs + LeaseTiming.claimMarginMs + 1
  await second.claim()
  assert.is(await first.write([{ key: 'plan/x', value: 1 }]), 'superseded')
  assert.not(table.rows.has('plan/x'))
  assert.not(first.isLeading())
})

test('isLeading() returns true for at most one host, when writes fail and hosts are suspended', async () => {
  const step = fc.record({ host: fc.nat({ max: 2 }), writeResult: fc.constantFrom('written' as const, 'refused' as const, 'response-lost' as const), elapsedMs: fc.integer({ min: 0, max: 2000 }), suspended: fc.boolean() })
  await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
    const table = createTable()
    const clocks = [0, 1, 2].map(() => ({ monotonic: 0, wall: 0 }))
    const hosts = clocks.map((clock, index) => createHost(table, `h${index}`, clock))
    for (const { host: index, writeResult, elapsedMs, suspended } of steps) {
      for (const [clockIndex, clock] of clocks.entries()) {
        clock.wall += elapsedMs
        if (!(suspended && clockIndex === index)) clock.monotonic += elapsedMs
      }
      const host = hosts[index]
      if (host === undefined) continue
      table.writeResult = writeResult
      await observe(host, table)
      if (host.mayClaim()) await host.claim()
      else await host.renew()
      assert.ok(hosts.filter((candidate) => candidate.isLeading()).length <= 1)
    }
  }), propertyParameters(300))
})

test.run()
