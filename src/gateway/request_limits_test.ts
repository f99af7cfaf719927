/** Tests of the limits that servers name: when a limit begins, changes and ends. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { createRequestLimits, parseRequestLimit, type LimitChange } from './request_limits.ts'

const test = suite('createRequestLimits')
const server = { id: 's1', bornAt: 1, service: 'orders', address: '127.0.0.1:1', zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }

function createSetup (): { limits: ReturnType<typeof createRequestLimits>, changes: LimitChange[], clock: { time: number } } {
  const clock = { time: 1000 }
  const changes: LimitChange[] = []
  return { limits: createRequestLimits({ now: () => clock.time, onChange: (change) => { changes.push(change) } }), changes, clock }
}

test('limitOf() returns the limit that the last response names, until a later response names none', () => {
  const { limits, changes, clock } = createSetup()
  assert.is(limits.limitOf(server), null)
  limits.record(server, { value: '9.3', sentAt: 900 })
  limits.record(server, { value: '4', sentAt: 950 })
  assert.is(limits.limitOf(server), 4)
  clock.time = 1200
  limits.record(server, { value: undefined, sentAt: 1100 })
  assert.is(limits.limitOf(server), null)
  assert.equal(changes.map((change) => change.perSecond), [9.3, 4, null])
})

test('limitOf() keeps the limit, when a response without one was requested before the limit was named', () => {
  const { limits } = createSetup()
  limits.record(server, { value: '9.3', sentAt: 900 })
  limits.record(server, { value: undefined, sentAt: 999 })
  assert.is(limits.limitOf(server), 9.3)
})

test('limitOf() forgets a limit that nothing confirms, later if it is low, and at once if the server has restarted', () => {
  const { limits, clock } = createSetup()
  limits.record(server, { value: '5', sentAt: 900 })
  assert.is(limits.limitOf({ ...server, bornAt: 2 }), null)
  limits.record(server, { value: '0.1', sentAt: 900 })
  clock.time += 29_000
  assert.is(limits.limitOf(server), 0.1)
  clock.time += 2000
  assert.is(limits.limitOf(server), null)
})

test('parseRequestLimit() returns null, when the value is no positive decimal number', () => {
  for (const value of ['', '0', '0.0', '-3', 'NaN', 'Infinity', '1e9', '0x10', '5, 7', ' 5', '5 ', '9'.repeat(400)]) assert.is(parseRequestLimit(value), null, value)
  assert.is(parseRequestLimit('7.25'), 7.25)
})

test('record() changes nothing, when a response states an invalid limit', () => {
  fc.assert(fc.property(fc.string(), (value) => {
    fc.pre(parseRequestLimit(value) === null)
    const { limits } = createSetup()
    limits.record(server, { value: '3', sentAt: 900 })
    limits.record(server, { value, sentAt: 1100 })
    assert.is(limits.limitOf(server), 3)
  }), propertyParameters(200))
})

test('observations() returns the age of each limit and of its end', () => {
  const { limits, clock } = createSetup()
  limits.record(server, { value: '3', sentAt: 900 })
  clock.time += 40
  assert.equal([...limits.observations()], [['s1', { perSecond: 3, ageMs: 40 }]])
  limits.record(server, { value: undefined, sentAt: 1030 })
  assert.equal([...limits.observations()], [['s1', { perSecond: null, ageMs: 0 }]])
  clock.time += 11_000
  assert.is(limits.observations().size, 0)
})

test.run()
