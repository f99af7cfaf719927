/** Tests of the time that callers have been waiting, as estimated from the time that they state. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createCallerDeadlines } from './caller_deadlines.ts'

const test = suite('createCallerDeadlines')

test('elapsedMs() returns 0 for first attempts and the time that has passed for callers that return', () => {
  const deadlines = createCallerDeadlines()
  for (let request = 0; request < 20; request++) assert.is(deadlines.elapsedMs('lookups', 3000), 0)
  assert.is(deadlines.elapsedMs('lookups', 2200), 800)
  assert.is(deadlines.elapsedMs('orders', 2200), 0)
})

test('elapsedMs() returns 0 for a caller with a longer deadline than others, and does not take others for late because of it', () => {
  const deadlines = createCallerDeadlines()
  for (let request = 0; request < 20; request++) deadlines.elapsedMs('lookups', 3000)
  assert.is(deadlines.elapsedMs('lookups', 60_000), 0)
  assert.is(deadlines.elapsedMs('lookups', 3000), 0)
})

test('elapsedMs() learns a new deadline, and keeps a bounded number of counts, when callers state other times than before', () => {
  const deadlines = createCallerDeadlines()
  for (let request = 0; request < 300; request++) deadlines.elapsedMs('lookups', 3000)
  for (let request = 0; request < 600; request++) deadlines.elapsedMs('lookups', request % 3 === 0 ? 1000 + request : 2000)
  assert.is(deadlines.elapsedMs('lookups', 2000), 0)
  assert.is(deadlines.elapsedMs('lookups', 1500), 500)
})

test.run()
