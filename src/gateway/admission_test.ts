/** Tests of admission control: requests that cannot be served in time are refused immediately, and no others. */
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

test('admit() admits, when the server is slower than the goal but not overloaded', () => {
  assert.is(admit({ isFull: false, expectedMs: 400, workMs: 400, latencyGoalMs: 300, remainingMs: 1000 }).kind, 'admit')
})

test('admit() refuses, when the response would come after the timeout of the caller', () => {
  assert.is(admit({ isFull: false, expectedMs: 1200, workMs: 1200, latencyGoalMs: 300, remainingMs: 1000 }).kind, 'refuse')
})

test('admit() refuses, when the server has recently refused a request because it was full', () => {
  assert.is(admit({ isFull: true, expectedMs: 100, workMs: 100, latencyGoalMs: 300, remainingMs: 1000 }).kind, 'refuse')
})

test('clampRetryAfterMs() stays within a third of the remaining time, when that is long enough', () => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 20_000 }), fc.integer({ min: 300, max: 15_000 }), (suggested, remaining) => {
    const result = clampRetryAfterMs(suggested, remaining)
    assert.ok(result >= 100 && result <= remaining / 3)
  }), propertyParameters(200))
})

test.run()
