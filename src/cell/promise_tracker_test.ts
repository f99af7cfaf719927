/** Properties of a member's promises to leaders. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { createPromiseTracker } from './promise_tracker.ts'
import { CellTiming } from './timing.ts'

const test = suite('createPromiseTracker')

const event = fc.record({
  waitMs: fc.nat({ max: 900 }),
  host: fc.constantFrom('a', 'b', 'c'),
  epoch: fc.integer({ min: 1, max: 6 }),
  isRequest: fc.boolean()
})

test('recordPromise() binds a member to one leader at a time, including across a restart', () => {
  fc.assert(fc.property(fc.array(event, { maxLength: 40 }), fc.nat({ max: 40 }), (events, restartAt) => {
    let tracker = createPromiseTracker(0)
    let now = 10_000
    let activePromise = { host: '', until: 0 }
    const leaderOf = new Map<number, string>()
    let highest = 0
    for (const [index, { waitMs, host, epoch, isRequest }] of events.entries()) {
      now += waitMs
      if (index === restartAt) tracker = createPromiseTracker(now)
      let isPromised = false
      if (isRequest) {
        isPromised = tracker.mayPromise(epoch, host, now)
        if (isPromised) tracker.recordPromise(epoch, host, now)
        if (isPromised && index < restartAt) {
          assert.ok(epoch >= highest, `epoch ${epoch} was granted after ${highest}`)
          assert.is(leaderOf.get(epoch) ?? host, host)
          leaderOf.set(epoch, host)
        }
      } else isPromised = tracker.recordPing(epoch, host, now) === 'promised'
      if (!isPromised) continue
      assert.ok(now >= activePromise.until || activePromise.host === host, `bound to ${activePromise.host} until ${activePromise.until}, promised ${host} at ${now}`)
      activePromise = { host, until: now + CellTiming.PROMISE_DURATION_MS }
      highest = Math.max(highest, epoch)
      if (!isRequest) leaderOf.set(epoch, leaderOf.get(epoch) ?? host)
    }
  }), propertyParameters(500))
})

test.run()
