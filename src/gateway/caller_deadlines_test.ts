/** Tests of the time that callers have been waiting, as estimated from the time that they state. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createCallerDeadlines } from './caller_deadlines.ts'

const test = suite('createCallerDeadlines')

/** Time that the first attempt of a caller states: callers of one route differ by 15 %. */
function firstMs (caller: number): number {
  return 3000 - caller * 37 % 450
}

test('elapsedMs() returns 0 for first attempts, and about the time that has passed for callers that return', () => {
  const deadlines = createCallerDeadlines()
  for (let caller = 0; caller < 100; caller++) deadlines.elapsedMs('lookups', firstMs(caller))
  for (let caller = 100; caller < 150; caller++) assert.is(deadlines.elapsedMs('lookups', firstMs(caller)), 0)
  for (const passedMs of [1000, 1500]) {
    for (let caller = 0; caller < 10; caller++) {
      const elapsedMs = deadlines.elapsedMs('lookups', firstMs(caller) - passedMs)
      assert.ok(Math.abs(elapsedMs - passedMs) < 300, `${elapsedMs} ms instead of ${passedMs} ms`)
    }
  }
  assert.is(deadlines.elapsedMs('orders', 2200), 0)
})

test('elapsedMs() still recognises first attempts, when two of three requests come from callers that return', () => {
  const deadlines = createCallerDeadlines()
  let wrong = 0
  for (let caller = 0; caller < 600; caller++) {
    if (deadlines.elapsedMs('lookups', firstMs(caller)) > 0) wrong++
    for (const passedMs of [1000, 1600]) if (deadlines.elapsedMs('lookups', firstMs(caller) - passedMs) === 0 && caller > 20) wrong++
  }
  assert.is(wrong, 0)
})

test('elapsedMs() does not take others for late, when one caller in fifty has a deadline of a minute', () => {
  const deadlines = createCallerDeadlines()
  for (let caller = 0; caller < 500; caller++) {
    const elapsedMs = deadlines.elapsedMs('lookups', caller % 50 === 49 ? 60_000 : firstMs(caller))
    assert.is(elapsedMs, 0)
  }
})

test('elapsedMs() learns a shorter deadline within some hundred requests, and keeps a bounded number of counts', () => {
  const deadlines = createCallerDeadlines()
  for (let caller = 0; caller < 300; caller++) deadlines.elapsedMs('lookups', firstMs(caller))
  for (let caller = 0; caller < 900; caller++) deadlines.elapsedMs('lookups', firstMs(caller) / 2)
  for (let caller = 0; caller < 20; caller++) assert.is(deadlines.elapsedMs('lookups', firstMs(caller) / 2), 0)
})

test.run()
