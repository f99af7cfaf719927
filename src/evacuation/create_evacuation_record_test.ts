/** Tests of which evacuations are in force, when lists are late and the store is restored. Load: none, lists of a few rows. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { createEvacuationRecord, type EvacuationChange, type EvacuationRecord, type EvacuationSource } from './create_evacuation_record.ts'
import type { EvacuationList } from './evacuation.ts'

const test = suite('createEvacuationRecord')

function list (revision: number, zones: Readonly<Record<string, number>>, era = 1): EvacuationList {
  return { readAt: { era, revision }, evacuations: Object.entries(zones).map(([zone, rowRevision]) => ({ zone, row: { era, revision: rowRevision } })) }
}

function zonesOf (record: EvacuationRecord): string[] {
  return (record.list()?.evacuations ?? []).map(({ zone }) => zone).sort()
}

function apply (record: EvacuationRecord, applied: EvacuationList, { source = 'store', now = 0 }: { source?: EvacuationSource, now?: number } = {}): Record<keyof EvacuationChange, string[]> | null {
  const change = record.apply(applied, { source, now })
  return change === null ? null : { started: change.started.map(({ zone }) => zone), ended: change.ended.map(({ zone }) => zone), renewed: change.renewed.map(({ zone }) => zone) }
}

test('apply() reports what starts and ends, when zones are evacuated in turn and at once, and a row is written again', () => {
  const record = createEvacuationRecord()
  assert.equal(apply(record, list(1, {})), { started: [], ended: [], renewed: [] })
  assert.equal(apply(record, list(5, { a: 5 })), { started: ['a'], ended: [], renewed: [] })
  assert.equal(apply(record, list(9, { a: 8, b: 9 })), { started: ['b'], ended: [], renewed: ['a'] })
  assert.equal(apply(record, list(12, { b: 9, c: 12 })), { started: ['c'], ended: ['a'], renewed: [] })
  assert.equal(apply(record, list(14, {})), { started: [], ended: ['b', 'c'], renewed: [] })
})

// Guards against a leader without the store, which sends again what it read last, and against a read that ends late.
test('apply() ends with the newest list, in whatever order lists of hosts that read one store arrive', () => {
  const lists = [list(1, {}), list(4, { a: 3 }), list(7, { a: 3, b: 7 }), list(9, { b: 7 }), list(11, {})]
  fc.assert(fc.property(fc.shuffledSubarray(lists, { minLength: 1 }), fc.constantFrom<EvacuationSource>('store', 'leader'), (arrivals, source) => {
    const record = createEvacuationRecord()
    for (const arrival of arrivals) apply(record, arrival, { source })
    const newest = arrivals.reduce((left, right) => left.readAt.revision > right.readAt.revision ? left : right)
    assert.equal(record.list(), newest)
  }), propertyParameters(200))
})

test('apply() keeps an evacuation for 5 s, when the store has been restored from a copy without its row', () => {
  const record = createEvacuationRecord()
  apply(record, list(50, { a: 40 }))
  assert.equal(apply(record, list(30, {}, 2), { now: 1000 }), { started: [], ended: [], renewed: [] })
  assert.equal(apply(record, list(60, {}, 1), { now: 2000 }), null)
  assert.equal(apply(record, list(38, {}, 2), { now: 5900 })?.ended, [])
  assert.equal(zonesOf(record), ['a'])
  assert.equal(apply(record, list(39, {}, 2), { now: 6000 })?.ended, ['a'])
})

test('apply() takes over the row that is written again, and the list of a leader that has ended it, when the store has been restored', () => {
  const record = createEvacuationRecord()
  apply(record, list(50, { a: 40, b: 41 }))
  apply(record, list(30, {}, 2), { now: 1000 })
  assert.equal(apply(record, list(33, { b: 32 }, 2), { now: 3000 }), { started: [], ended: [], renewed: ['b'] })
  assert.equal(apply(record, list(34, { b: 32 }, 2), { source: 'leader', now: 4000 })?.ended, ['a'])
})

test('apply() evacuates a zone again, when the store has been restored from a copy with a row that had been deleted', () => {
  const record = createEvacuationRecord()
  apply(record, list(50, { a: 40 }))
  apply(record, list(60, {}))
  assert.equal(apply(record, list(45, { a: 40 }, 2))?.started, ['a'])
})

test.run()
