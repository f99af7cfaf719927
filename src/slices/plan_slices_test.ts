/** Property tests of planning slice owners. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { planSlices } from './plan_slices.ts'

const test = suite('planSlices')
const servers = fc.uniqueArray(fc.integer({ min: 1, max: 30 }).map((number) => `server-${number}`), { minLength: 1, maxLength: 12 })
const parameters = { numRuns: Number(process.env.PROPERTY_RUNS ?? 100), seed: Number(process.env.PROPERTY_SEED ?? 1) }

test('planSlices() assigns every slice to a present server, when previous owners are arbitrary', () => {
  fc.assert(fc.property(servers, fc.array(fc.option(fc.integer({ min: 1, max: 30 }).map((number) => `server-${number}`))), (presentServers, owners) => {
    const plan = planSlices(new Map(owners.map((owner, slice) => [slice, owner])), { servers: presentServers })
    assert.is(plan.size, owners.length)
    for (const owner of plan.values()) assert.ok(presentServers.includes(owner))
  }), parameters)
})

test('planSlices() moves at most the maximum number of slices from remaining servers, when a server is lost', () => {
  fc.assert(fc.property(servers, fc.integer({ min: 0, max: 6 }), (presentServers, maximumMoves) => {
    const before = planSlices(new Map(Array.from({ length: 64 }, (_, slice) => [slice, null])), { servers: presentServers })
    const remaining = presentServers.slice(1)
    if (remaining.length === 0) return
    const after = planSlices(before, { servers: remaining, maximumMoves })
    const moved = [...before].filter(([slice, owner]) => remaining.includes(owner) && after.get(slice) !== owner)
    assert.ok(moved.length <= maximumMoves)
  }), parameters)
})

test('planSlices() returns the same plan, when the servers are in another order', () => {
  fc.assert(fc.property(servers, (presentServers) => {
    const slices = new Map(Array.from({ length: 32 }, (_, slice) => [slice, null]))
    const forward = planSlices(slices, { servers: presentServers })
    const reversed = planSlices(slices, { servers: [...presentServers].reverse() })
    assert.equal([...forward], [...reversed])
  }), parameters)
})

test.run()
