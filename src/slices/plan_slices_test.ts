/** Tests of the plan of slices. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { planSlices } from './plan_slices.ts'

const test = suite('planSlices')
const servers = fc.uniqueArray(fc.integer({ min: 1, max: 30 }).map((number) => `server-${number}`), { minLength: 1, maxLength: 12 })
const runs = { numRuns: Number(process.env.PROPERTY_RUNS ?? 100), seed: Number(process.env.PROPERTY_SEED ?? 1) }

test('planSlices() gives every slice to a present server, whatever owned it before', () => {
  fc.assert(fc.property(servers, fc.array(fc.option(fc.integer({ min: 1, max: 30 }).map((number) => `server-${number}`))), (present, owners) => {
    const plan = planSlices(new Map(owners.map((owner, slice) => [slice, owner])), { servers: present })
    assert.is(plan.size, owners.length)
    for (const owner of plan.values()) assert.ok(present.includes(owner))
  }), runs)
})

test('planSlices() moves no slice of a server that stays beyond the maximum, when a server is lost', () => {
  fc.assert(fc.property(servers, fc.integer({ min: 0, max: 6 }), (present, maximumMoves) => {
    const before = planSlices(new Map(Array.from({ length: 64 }, (_, slice) => [slice, null])), { servers: present })
    const left = present.slice(1)
    if (left.length === 0) return
    const after = planSlices(before, { servers: left, maximumMoves })
    const moved = [...before].filter(([slice, owner]) => left.includes(owner) && after.get(slice) !== owner)
    assert.ok(moved.length <= maximumMoves)
  }), runs)
})

test('planSlices() is the same whatever the order of the servers', () => {
  fc.assert(fc.property(servers, (present) => {
    const slices = new Map(Array.from({ length: 32 }, (_, slice) => [slice, null]))
    const there = planSlices(slices, { servers: present })
    const back = planSlices(slices, { servers: [...present].reverse() })
    assert.equal([...there], [...back])
  }), runs)
})

test.run()
