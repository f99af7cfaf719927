/**
 * Tests of the permits for servers with a limit, under the loads that break a
 * limit kept by each host on its own: many hosts with a few requests each, a
 * change of relay, hosts that disagree on it, and hosts that wake up together.
 */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { countWithin } from '../../testing/count_within.ts'
import { createRequestPermits, type RequestPermits } from './request_permits.ts'

const test = suite('createRequestPermits')
const server = { id: 's1', bornAt: 1, service: 'orders', address: '127.0.0.1:1', zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }

/** Span in which a server counts its requests, in milliseconds. */
const WINDOW_MS = 4000

/** Time between two steps of the simulation, in milliseconds. */
const STEP_MS = 10

/** Requests that a server tolerates in {@link WINDOW_MS}: one and a half times its limit, and five. */
function tolerated (limit: number): number {
  return limit * WINDOW_MS / 1000 * 1.5 + 5
}

/** What one host does in a step. */
interface HostStep { readonly requests: number, readonly isRelay: boolean }

/** Runs hosts against one server; returns the times of the requests that were sent. */
function simulate ({ limit, hosts, lengthMs, stepOf }: { readonly limit: number, readonly hosts: number, readonly lengthMs: number, readonly stepOf: (host: number, time: number) => HostStep }): number[] {
  let time = 0
  let seed = 7
  const random = (): number => { seed = (seed * 48271) % 2147483647; return seed / 2147483647 }
  const permits: RequestPermits[] = Array.from({ length: hosts }, () => createRequestPermits({ limits: { limitOf: () => limit }, hostCount: () => hosts, now: () => time, random }))
  const sent: number[] = []
  for (; time < lengthMs; time += STEP_MS) {
    for (const [host, permitsOfHost] of permits.entries()) {
      const { requests, isRelay } = stepOf(host, time)
      for (let request = 0; request < requests; request++) if (permitsOfHost.take(server, isRelay) === null) sent.push(time)
    }
  }
  return sent
}

test('take() keeps a server within its limit and uses it, when one relay gets all requests', () => {
  for (const limit of [0.4, 2, 9.3, 60]) {
    const sent = simulate({ limit, hosts: 1, lengthMs: 20_000, stepOf: () => ({ requests: 3, isRelay: true }) })
    assert.ok(countWithin(sent, WINDOW_MS) <= limit * WINDOW_MS / 1000 + Math.max(1, limit), `${countWithin(sent, WINDOW_MS)} at ${limit} a second`)
    assert.ok(sent.length >= limit * 20 - 1, `${sent.length} at ${limit} a second`)
  }
})

test('take() keeps a server within what it tolerates, when the relay was idle and many requests come at once', () => {
  const sent = simulate({ limit: 9.3, hosts: 1, lengthMs: 16_000, stepOf: (_host, time) => ({ requests: time === 0 || time > 8000 ? 20 : 0, isRelay: true }) })
  assert.ok(countWithin(sent, WINDOW_MS) <= tolerated(9.3))
})

test('take() keeps a server within what it tolerates, when its relay changes every second', () => {
  const sent = simulate({ limit: 9.3, hosts: 20, lengthMs: 20_000, stepOf: (host, time) => ({ requests: 2, isRelay: host === Math.floor(time / 1000) % 20 }) })
  assert.ok(countWithin(sent, WINDOW_MS) <= tolerated(9.3), `${countWithin(sent, WINDOW_MS)}`)
})

test('take() keeps a server within what it tolerates, when all hosts but the relay send directly as well', () => {
  for (const hosts of [20, 195]) {
    const sent = simulate({ limit: 9.3, hosts, lengthMs: 20_000, stepOf: (host) => ({ requests: 1, isRelay: host === 0 }) })
    assert.ok(countWithin(sent, WINDOW_MS) <= tolerated(9.3), `${countWithin(sent, WINDOW_MS)} from ${hosts} hosts`)
  }
})

test('take() keeps a server within what it tolerates, when hosts that were idle send directly at the same moment', () => {
  for (const hosts of [20, 195]) {
    const sent = simulate({ limit: 9.3, hosts, lengthMs: 102_000, stepOf: (_host, time) => ({ requests: time < 500 || time > 100_000 ? 1 : 0, isRelay: false }) })
    assert.ok(countWithin(sent, WINDOW_MS) <= tolerated(9.3), `${countWithin(sent, WINDOW_MS)} from ${hosts} hosts`)
  }
})

test('take() keeps a server within what it tolerates, when one relay takes over and any hosts send directly in any pattern', () => {
  const pattern = fc.record({
    limit: fc.double({ min: 0.2, max: 100, noNaN: true }),
    hosts: fc.integer({ min: 2, max: 40 }),
    changesAt: fc.array(fc.integer({ min: 0, max: 12_000 }), { maxLength: 3 }),
    requests: fc.array(fc.nat(4), { minLength: 1, maxLength: 12 })
  })
  fc.assert(fc.property(pattern, ({ limit, hosts, changesAt, requests }) => {
    const sent = simulate({ limit, hosts, lengthMs: 12_000, stepOf: (host, time) => ({ requests: requests[(host + Math.floor(time / 500)) % requests.length] ?? 0, isRelay: host === changesAt.filter((at) => at <= time).length % hosts }) })
    assert.ok(countWithin(sent, WINDOW_MS) <= tolerated(limit), `${countWithin(sent, WINDOW_MS)} at ${limit} a second`)
  }), propertyParameters(100))
})

test('take() returns the time until the next permit, and null without a limit', () => {
  let limit: number | null = 10
  const permits = createRequestPermits({ limits: { limitOf: () => limit }, hostCount: () => 1, now: () => 0, random: () => 0 })
  assert.is(permits.take(server, true), 100)
  limit = null
  assert.is(permits.take(server, true), null)
})

test('isExhausted() returns true until the relay that refused a request has a permit again', () => {
  let time = 0
  const permits = createRequestPermits({ limits: { limitOf: () => 10 }, hostCount: () => 1, now: () => time, random: () => 0 })
  permits.recordRefusal('s1', 100)
  assert.ok(permits.isExhausted('s1'))
  assert.not(permits.isExhausted('s2'))
  time = 100
  assert.not(permits.isExhausted('s1'))
})

test.run()
