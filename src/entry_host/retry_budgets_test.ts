/** Tests of the retries of all hosts when servers refuse far more requests than may be retried. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createRetryBudgets } from './retry_budgets.ts'

const test = suite('createRetryBudgets')

/** Returns the retries of all hosts in each window if every request needs a retry. */
function retriesByWindow (requestsOfHost: readonly number[], windows: number): number[] {
  const hosts = requestsOfHost.map(() => {
    const budgets = createRetryBudgets({ ratio: 0.2, slack: 141 })
    budgets.setHostCount(requestsOfHost.length)
    return budgets.forService('lookups')
  })
  return Array.from({ length: windows }, () => {
    let retries = 0
    for (const [index, requests] of requestsOfHost.entries()) {
      for (let request = 0; request < requests; request++) {
        hosts[index]?.deposit()
        if (hosts[index]?.tryWithdraw() === true) retries++
      }
    }
    return retries
  })
}

test('tryWithdraw() keeps all hosts together within ratio and slack, when load is even', () => {
  for (const retries of retriesByWindow(Array.from({ length: 25 }, () => 200), 3)) assert.ok(retries <= 25 * 200 * 0.2 + 141, `${retries}`)
})

test('tryWithdraw() keeps all hosts together within ratio and slack, when one host has all the load', () => {
  for (const retries of retriesByWindow([4000, ...Array.from({ length: 24 }, () => 0)], 3)) assert.ok(retries <= 4000 * 0.2 + 141, `${retries}`)
})

test('tryWithdraw() uses most of the allowed retries, when servers keep refusing requests', () => {
  for (const retries of retriesByWindow(Array.from({ length: 25 }, () => 200), 3)) assert.ok(retries >= 25 * 200 * 0.2 * 0.85, `${retries}`)
})

test('tryWithdraw() allows a single retry, when there are more hosts than retries in the slack', () => {
  const budgets = createRetryBudgets({ ratio: 0.2, slack: 336 })
  budgets.setHostCount(1600)
  assert.ok(budgets.forService('lookups').tryWithdraw())
})

test.run()
