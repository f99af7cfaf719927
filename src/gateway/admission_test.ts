/** Tests of admission: what cannot be answered in time is refused at once, and nothing else. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { admit, clampRetryAfterMs } from './admission.ts'

const test = suite('admit')

test('admit() admits, when the server is idle', () => {
  assert.equal(admit({ isFull: false, expectedMs: 100, workMs: 100, latencyGoalMs: 300, remainingMs: 1000 }), { kind: 'admit' })
})

test('admit() refuses, when a burst has filled the server beyond the latency goal', () => {
  assert.is(admit({ isFull: false, expectedMs: 320, workMs: 100, latencyGoalMs: 300, remainingMs: 1000 }).kind, 'refuse')
})

test('admit() admits to a server that is slower than the goal, while it is not crowded', () => {
  assert.is(admit({ isFull: false, expectedMs: 400, workMs: 400, latencyGoalMs: 300, remainingMs: 1000 }).kind, 'admit')
})

test('admit() refuses at once, when the answer would come after the caller has left', () => {
  assert.is(admit({ isFull: false, expectedMs: 1200, workMs: 1200, latencyGoalMs: 300, remainingMs: 1000 }).kind, 'refuse')
})

test('admit() refuses, when the server has just refused for want of room', () => {
  assert.is(admit({ isFull: true, expectedMs: 100, workMs: 100, latencyGoalMs: 300, remainingMs: 1000 }).kind, 'refuse')
})

test('retryAfterMs() stays within a third of the time left, when that is long enough', () => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 20_000 }), fc.integer({ min: 300, max: 15_000 }), (wanted, left) => {
    const result = clampRetryAfterMs(wanted, left)
    assert.ok(result >= 100 && result <= left / 3)
  }), propertyParameters(200))
})

test.run()
