/** Tests of the guard: what a host finds out itself must reach the others when it matters, and cost nothing while no server has ended. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ProbeResult } from '../reachability/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import { NO_EVIDENCE, type Evidence } from './evidence.ts'
import type { FingerprintSource } from './request_fingerprint.ts'
import { createRequestGuard, type RequestGuard } from './request_guard.ts'

const test = suite('request guard')

const RUN_MS = 70

/** Fingerprints of a request, by name. */
function named (exact: string, content = `~${exact}`): FingerprintSource {
  return () => ({ exact, content })
}

function server (id: string): RoutedServer {
  return { id, bornAt: 1, service: 'orders', address: '127.0.0.1:1', zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }
}

interface Setup {
  readonly guard: RequestGuard
  readonly published: Evidence[]
  time: number
}

function setUp (): Setup {
  const setup: Setup = {
    guard: createRequestGuard({
      probe: async () => await Promise.resolve(ProbeResult.refused), verifyReachability: async () => await Promise.resolve(true), isLeaving: () => false, onEvidence (evidence) { setup.published.push(evidence) }, now: () => setup.time
    }),
    published: [],
    time: 1000
  }
  return setup
}

/** The end of a server that another host has found out now. */
function foreignEnd (setup: Setup, id: string, fingerprint: string): Evidence {
  return { ...NO_EVIDENCE, ends: [{ server: id, bornAt: 1, endedAt: setup.time, requests: [{ fingerprint, sentAt: setup.time - RUN_MS }] }] }
}

async function settle (): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, 40) })
}

test('refusalMs() and recordCompletion() compute no fingerprint, when no server has ended', () => {
  const { guard } = setUp()
  const fingerprint = (): never => { throw new Error('The fingerprint is not needed') }
  assert.is(guard.refusalMs(fingerprint), null)
  guard.recordCompletion(fingerprint)
})

test('recordLoss() publishes the end of a server once it is known, and refusalMs() refuses after the third', async () => {
  const setup = setUp()
  for (const id of ['s1', 's2', 's3']) {
    assert.is(setup.guard.refusalMs(named('fatal')), null)
    setup.time += 300
    setup.guard.recordLoss(server(id), { fingerprint: named('fatal'), sentAt: setup.time - RUN_MS })
    await settle()
    assert.is(setup.published.at(-1)?.ends[0]?.server, id)
  }
  assert.is(setup.guard.refusalMs(named('fatal')), 600_000)
  assert.is(setup.guard.refusalMs(named('sound')), null)
  assert.is(setup.guard.refusalMs(() => null), null)
})

// Guards against a header that differs each time and is not known to: the request would never be recognised.
test('recordLoss() and refusalMs() refuse a request after five ends, when one of its headers differs each time', async () => {
  const setup = setUp()
  for (let index = 0; index < 5; index++) {
    assert.is(setup.guard.refusalMs(named(`nonce-${index}`, '~fatal')), null)
    setup.time += 300
    setup.guard.recordLoss(server(`s${index}`), { fingerprint: named(`nonce-${index}`, '~fatal'), sentAt: setup.time - RUN_MS })
    await settle()
  }
  assert.is.not(setup.guard.refusalMs(named('nonce-5', '~fatal')), null)
})

test('recordCompletion() keeps a request from being refused for its content, when another caller has the same request served', async () => {
  const setup = setUp()
  for (let index = 0; index < 6; index++) {
    setup.time += 300
    setup.guard.recordLoss(server(`s${index}`), { fingerprint: named(`nonce-${index}`, '~shared'), sentAt: setup.time - RUN_MS })
    await settle()
    if (index === 3) setup.guard.recordCompletion(named('other', '~shared'))
  }
  assert.is(setup.guard.refusalMs(named('other', '~shared')), null)
})

test('isSuspect() returns true for a request that was lost with a server a short time ago, and later only after two ends', () => {
  const setup = setUp()
  assert.is(setup.guard.isSuspect(named('a')), false)
  setup.guard.merge(foreignEnd(setup, 's1', 'a'))
  assert.is(setup.guard.isSuspect(named('a')), true)
  setup.time += 120_000
  assert.is(setup.guard.isSuspect(named('a')), false)
  setup.guard.merge(foreignEnd(setup, 's2', 'a'))
  setup.time += 120_000
  assert.is(setup.guard.isSuspect(named('a')), true)
})

test('recordCompletion() publishes at once what all hosts need, when two servers have ended under the request', () => {
  const setup = setUp()
  for (const id of ['s1', 's2']) {
    setup.time += 300
    setup.guard.merge(foreignEnd(setup, id, 'sound'))
  }
  setup.time += 100
  setup.guard.recordCompletion(named('sound'))
  assert.equal(setup.published, [{ ...NO_EVIDENCE, completions: [{ fingerprint: 'sound', at: setup.time }] }])
})

test('merge() publishes an earlier completion, when the request is lost with a second server', () => {
  const setup = setUp()
  setup.guard.merge(foreignEnd(setup, 's1', 'sound'))
  setup.time += 100
  setup.guard.recordCompletion(named('sound'))
  assert.equal(setup.published, [])
  const completedAt = setup.time
  setup.time += 300
  setup.guard.merge(foreignEnd(setup, 's2', 'sound'))
  assert.equal(setup.published, [{ ...NO_EVIDENCE, completions: [{ fingerprint: 'sound', at: completedAt }] }])
})

test.run()
