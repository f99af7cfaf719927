/** Tests of choosing among servers and of slot limits. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import type { Admission } from './grant_manager.ts'
import { createServerPool } from './server_pool.ts'
import { createSlotLimit } from './slot_limit.ts'

const test = suite('createServerPool')
const SLOTS = 4

function admissionsOf (count: number): Admission[] {
  return Array.from({ length: count }, (_, index) => ({
    token: 2,
    server: { id: `s${index}`, service: 'orders', address: `10.0.0.${index}:80`, checksGrants: true, keyed: false, leaving: false, dispatcher: 'h', token: 2 }
  }))
}

test('choose() distributes requests evenly, when the servers are identical', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 8 }), fc.integer({ min: 1, max: 200 }), (count, requests) => {
    const pool = createServerPool()
    const counts = new Map<string, number>()
    for (let turn = 0; turn < requests; turn++) {
      const chosen = pool.choose(admissionsOf(count), SLOTS, 0)
      if (chosen === null) return assert.unreachable()
      counts.set(chosen.server.id, (counts.get(chosen.server.id) ?? 0) + 1)
    }
    assert.ok(Math.max(...counts.values()) - Math.min(...counts.values(), counts.size < count ? 0 : Infinity) <= 1)
  }), propertyParameters(50))
})

test('choose() excludes failing servers, but never more than half of all servers', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 8 }), fc.uniqueArray(fc.nat({ max: 7 })), (count, failing) => {
    const pool = createServerPool()
    const admissions = admissionsOf(count)
    for (const admission of admissions) pool.limitOf(admission.server.id, SLOTS)
    for (const index of failing) for (let times = 0; times < 3; times++) pool.onFailure(`s${index}`, 0)
    const chosen = new Set<string>()
    for (let turn = 0; turn < count * 3; turn++) chosen.add(pool.choose(admissions, SLOTS, 1)?.server.id ?? '')
    assert.ok(chosen.size * 2 >= count)
    const remaining = admissions.filter((admission) => !failing.includes(Number(admission.server.id.slice(1))))
    if (remaining.length * 2 >= count) assert.is(chosen.size, remaining.length)
  }), propertyParameters(100))
})

test('limit() starts low, grows when requests succeed, and shrinks when the server sheds load', () => {
  const limit = createSlotLimit({ slots: 6 })
  assert.is(limit.limit(), 3)
  for (let turn = 0; turn < 40; turn++) {
    limit.begin()
    limit.end({ kind: 'done', durationMs: 5 })
  }
  assert.is(limit.limit(), 6)
  for (let turn = 0; turn < 50; turn++) {
    limit.begin()
    limit.end({ kind: 'shed' })
  }
  assert.is(limit.limit(), 1)
})

test.run()
