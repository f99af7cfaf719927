/** Tests of the order of waiting requests: without it, urgent requests wait behind long ones, or one kind of request is never served. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createWaitingList, type WaitingRequest } from './waiting_list.ts'

const test = suite('createWaitingList')

interface NamedRequest extends WaitingRequest { readonly name: string }

function createRequest (name: string, terms: Partial<WaitingRequest> = {}): NamedRequest {
  return { name, priority: 1, key: null, goalMs: 1000, goalAt: 1000, deadlineAt: 5000, ...terms }
}

const ORDER = { now: 0, workMs: 100, isKeyBusy: () => false } as const

/** Names of the requests in the order in which they are sent at the time 0. */
function sentOrder (requests: readonly NamedRequest[], isKeyBusy: (key: number) => boolean = () => false): string[] {
  const list = createWaitingList<NamedRequest>()
  for (const request of requests) list.add(request, 0)
  const order: string[] = []
  for (let next = list.peekNext({ ...ORDER, isKeyBusy }); next !== null; next = list.peekNext({ ...ORDER, isKeyBusy })) {
    order.push(next.name)
    list.markSent(next, 0)
  }
  return order
}

test('peekNext() returns more urgent requests first, and of one priority those whose goal is next', () => {
  assert.equal(sentOrder([createRequest('pull', { priority: 2, goalAt: 500 }), createRequest('second', { goalAt: 900 }), createRequest('first', { goalAt: 800 }), createRequest('urgent', { priority: 0, goalAt: 4000 })]), ['urgent', 'first', 'second', 'pull'])
})

test('peekNext() returns a request that can no longer reach its goal after those that can, whatever its priority', () => {
  assert.equal(sentOrder([createRequest('late', { priority: 0, goalAt: 50 }), createRequest('timely', { priority: 2 })]), ['timely', 'late'])
})

// Guards against urgent requests behind long ones: the mean of the server, 500 ms, exceeds their goal.
test('peekNext() returns an urgent short request first, when its server mostly runs long ones', () => {
  const list = createWaitingList<NamedRequest>()
  for (const request of [createRequest('pull', { priority: 2, goalMs: 2500, goalAt: 2500 }), createRequest('urgent', { priority: 0, goalMs: 400, goalAt: 400 })]) list.add(request, 0)
  assert.is(list.peekNext({ ...ORDER, workMs: 500 })?.name, 'urgent')
})

test('peekNext() returns requests of other keys first, while one key holds most slots', () => {
  assert.equal(sentOrder([createRequest('hot', { key: 7, goalAt: 200 }), createRequest('other', { key: 8, goalAt: 900 })], (key) => key === 7), ['other', 'hot'])
})

test('peekNext() serves each priority at least a quarter as often as all, when urgent requests alone fill the servers', () => {
  const list = createWaitingList<NamedRequest>()
  const asked = { urgent: 0, less: 0 }
  const served = { urgent: 0, less: 0 }
  // Load: three urgent requests and one less urgent one arrive in the time in which one can be sent.
  for (let step = 0; step < 2000; step++) {
    const now = step * 10
    for (let count = 0; count < 4; count++) {
      const priority = count === 3 ? 2 : 0
      asked[priority === 0 ? 'urgent' : 'less']++
      list.add(createRequest('', { priority, goalAt: now + 500, deadlineAt: now + 1000 }), now)
    }
    list.takeExpired({ now, workMs: 100 })
    const next = list.peekNext({ ...ORDER, now })
    if (next === null) continue
    list.markSent(next, now)
    served[next.priority === 0 ? 'urgent' : 'less']++
  }
  const allShare = (served.urgent + served.less) / (asked.urgent + asked.less)
  assert.ok(served.less / asked.less >= allShare / 4, `${served.less} of ${asked.less} less urgent requests, ${served.urgent} of ${asked.urgent} urgent ones`)
  assert.ok(served.urgent / asked.urgent >= served.less / asked.less)
})

test('countAhead() counts the requests that are sent before another one', () => {
  const list = createWaitingList<NamedRequest>()
  for (const request of [createRequest('urgent', { priority: 0 }), createRequest('same', { goalAt: 900 }), createRequest('after', { goalAt: 1100 }), createRequest('pull', { priority: 2 })]) list.add(request, 0)
  assert.is(list.countAhead(createRequest('new'), ORDER), 2)
})

test('takeExpired() removes the requests that would run in vain', () => {
  const list = createWaitingList<NamedRequest>()
  list.add(createRequest('in time', { deadlineAt: 60 }), 0)
  list.add(createRequest('in vain', { deadlineAt: 40 }), 0)
  assert.equal(list.takeExpired(ORDER).map(({ name }) => name), ['in vain'])
  assert.is(list.size(), 1)
})

test('arrivalsPerMs() counts the requests that are more urgent', () => {
  const list = createWaitingList<NamedRequest>()
  for (let count = 0; count < 20; count++) list.add(createRequest('', { priority: count % 2 }), 0)
  list.recordRefused(0, 0)
  assert.is(list.arrivalsPerMs(1, 0) * 2, list.arrivalsPerMs(Infinity, 0))
  assert.is(list.arrivalsPerMs(0, 0), 0)
})

test.run()
