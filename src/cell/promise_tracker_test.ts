/** Properties of a member's promises. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { createPromiseTracker } from './promise_tracker.ts'
import { CellTiming } from './timing.ts'

const test = suite('createPromiseLedger')

const event = fc.record({
  waitMs: fc.nat({ max: 900 }),
  host: fc.constantFrom('a', 'b', 'c'),
  epoch: fc.integer({ min: 1, max: 6 }),
  isAsk: fc.boolean()
})

test('promise() binds a member to one leader at a time, across a restart too', () => {
  fc.assert(fc.property(fc.array(event, { maxLength: 40 }), fc.nat({ max: 40 }), (events, restartAt) => {
    let ledger = createPromiseTracker(0)
    let now = 10_000
    let bound = { host: '', until: 0 }
    const leaderOf = new Map<number, string>()
    let highest = 0
    for (const [index, { waitMs, host, epoch, isAsk }] of events.entries()) {
      now += waitMs
      if (index === restartAt) ledger = createPromiseTracker(now)
      let isPromised = false
      if (isAsk) {
        isPromised = ledger.mayPromise(epoch, host, now)
        if (isPromised) ledger.recordPromise(epoch, host, now)
        if (isPromised && index < restartAt) {
          assert.ok(epoch >= highest, `epoch ${epoch} was granted after ${highest}`)
          assert.is(leaderOf.get(epoch) ?? host, host)
          leaderOf.set(epoch, host)
        }
      } else isPromised = ledger.recordPing(epoch, host, now) === 'promised'
      if (!isPromised) continue
      assert.ok(now >= bound.until || bound.host === host, `bound to ${bound.host} until ${bound.until}, promised ${host} at ${now}`)
      bound = { host, until: now + CellTiming.PROMISE_DURATION_MS }
      highest = Math.max(highest, epoch)
      if (!isAsk) leaderOf.set(epoch, leaderOf.get(epoch) ?? host)
    }
  }), propertyParameters(500))
})

test.run()
