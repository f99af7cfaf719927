/** Tests of the server loads that a host derives from its own requests and from the leader's totals. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { RoutedServer } from '../routing/mod.ts'
import { createServerLoads } from './server_loads.ts'

const test = suite('createServerLoads')
const server: RoutedServer = { id: 's0', bornAt: 1, service: 'orders', address: '10.0.0.1:80', zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }

test('inFlight() does not count the requests of this host twice, when the leader publishes the total', () => {
  const loads = createServerLoads(() => 0)
  loads.trackRequest(server)
  loads.takeSamples()
  loads.applyViews(new Map([['s0', { inFlight: 3, workMs: 100, failureShare: 0, silent: false, admitShare: 1 }]]))
  loads.trackRequest(server)
  assert.is(loads.inFlight('s0'), 4)
})

test('expectedMs() grows with the queue, when all slots are taken', () => {
  const loads = createServerLoads(() => 0)
  loads.applyViews(new Map([['s0', { inFlight: 11, workMs: 100, failureShare: 0, silent: false, admitShare: 1 }]]))
  assert.is(loads.expectedMs(server), 300)
})

test('expectedMs() uses the assumed duration, when a slow service has no measurements', () => {
  const loads = createServerLoads(() => 0, () => 450)
  for (let request = 0; request < 7; request++) loads.trackRequest(server)
  assert.is(loads.expectedMs(server), 900)
})

test('workMs() rises, when requests are aborted before the server responds', () => {
  const loads = createServerLoads(() => 0)
  for (let request = 0; request < 20; request++) loads.trackRequest(server)({ kind: 'served', durationMs: 100 })
  for (let request = 0; request < 20; request++) loads.trackRequest(server)({ kind: 'abandoned', durationMs: 1000 })
  assert.ok(loads.workMs(server) > 500)
})

test('workMs() does not change, when callers leave early', () => {
  const loads = createServerLoads(() => 0, () => 100)
  for (let request = 0; request < 20; request++) loads.trackRequest(server)({ kind: 'served', durationMs: 100 })
  for (let request = 0; request < 20; request++) loads.trackRequest(server)({ kind: 'abandoned', durationMs: 50 })
  assert.is(loads.workMs(server), 100)
})

test('isUnresponsive() is true for a limited time, when two consecutive connections were refused', () => {
  let now = 0
  const loads = createServerLoads(() => now)
  loads.trackRequest(server)({ kind: 'lost', refused: true })
  assert.not(loads.isUnresponsive(server))
  loads.trackRequest(server)({ kind: 'lost', refused: true })
  assert.ok(loads.isUnresponsive(server))
  now = 1500
  assert.not(loads.isUnresponsive(server))
})

test('isUnresponsive() is false, when idle connections were reset', () => {
  const loads = createServerLoads(() => 0)
  for (let request = 0; request < 5; request++) loads.trackRequest(server)({ kind: 'failed' })
  assert.not(loads.isUnresponsive(server))
})

test('isFull() is true for an overloaded server only, when servers refuse requests', () => {
  const loads = createServerLoads(() => 0)
  loads.trackRequest(server)({ kind: 'shed' })
  assert.not(loads.isFull('s0'))
  loads.applyViews(new Map([['s0', { inFlight: 9, workMs: 100, failureShare: 0, silent: false, admitShare: 1 }]]))
  loads.trackRequest(server)({ kind: 'shed' })
  assert.ok(loads.isFull('s0'))
})

test('workMs() does not fall far below the measured durations, when the queue length is overestimated', () => {
  const loads = createServerLoads(() => 0, () => 400)
  loads.applyViews(new Map([['s0', { inFlight: 40, workMs: 0, failureShare: 0, silent: false, admitShare: 1 }]]))
  for (let request = 0; request < 30; request++) loads.trackRequest(server)({ kind: 'served', durationMs: 400 })
  assert.ok(loads.workMs(server) >= 200)
})

test('isFull() is true, when an overloaded server resets connections', () => {
  const loads = createServerLoads(() => 0)
  loads.applyViews(new Map([['s0', { inFlight: 9, workMs: 100, failureShare: 0, silent: false, admitShare: 1 }]]))
  loads.trackRequest(server)({ kind: 'failed' })
  assert.ok(loads.isFull('s0'))
})

test('workMs() stays near the assumed duration, when the first request to a server takes a fraction of it', () => {
  const loads = createServerLoads(() => 0, () => 600)
  loads.trackRequest(server)({ kind: 'served', durationMs: 3 })
  assert.ok(loads.workMs(server) > 400)
  for (let request = 0; request < 40; request++) loads.trackRequest(server)({ kind: 'served', durationMs: 300 })
  assert.ok(Math.abs(loads.workMs(server) - 300) < 30)
})

// A host without paths to servers must not make the leader take healthy servers for unresponsive.
test('takeSamples() reports lost requests only when a server has responded since, which shows that this host reaches servers', () => {
  const loads = createServerLoads(() => 0)
  const other = { ...server, id: 's1' }
  for (let request = 0; request < 3; request++) loads.trackRequest(server)({ kind: 'lost', refused: true })
  loads.trackRequest(other)({ kind: 'failed', isReset: true })
  assert.is(loads.takeSamples().get('s0')?.lost ?? 0, 0)
  loads.trackRequest(other)({ kind: 'served', durationMs: 100 })
  const sample = loads.takeSamples().get('s0')
  assert.is(sample?.lost, 3)
  assert.is(sample?.refused, 3)
})

test('discardOwnRequests() ends what this host\'s requests showed about servers, when it has lost its paths to them', () => {
  let now = 0
  const loads = createServerLoads(() => now)
  const hanging = [server, { ...server, id: 's1' }].map((target) => loads.trackRequest(target))
  for (let request = 0; request < 2; request++) loads.trackRequest(server)({ kind: 'lost', refused: false })
  now = 600
  assert.is(loads.isUnresponsive(server), true)
  loads.discardOwnRequests()
  assert.is(loads.isUnresponsive(server), false)
  assert.is(loads.inFlight('s0'), 0)
  assert.is(loads.takeSamples().size, 0)
  for (const end of hanging) end({ kind: 'abandoned', durationMs: 1000 })
  assert.is(loads.inFlight('s0'), 0)
  loads.trackRequest(server)({ kind: 'served', durationMs: 100 })
  assert.is(loads.takeSamples().get('s0')?.lost, 0)
})

test('isUnresponsive() returns false for the servers of a zone, when the relay that did not respond reaches no server', () => {
  let now = 0
  const loads = createServerLoads(() => now, () => 100)
  for (const id of ['s0', 's1', 's2']) loads.trackRelayedRequest({ ...server, id }, 'relay-1')
  now = 500
  assert.is(loads.isUnresponsive(server), true)
  loads.discardRelay('relay-1')
  assert.is(loads.isUnresponsive(server), false)
})

// Guards against servers that are limited as cold because a caller has left, or this host is cut off.
test('trackRequest() takes a server for restarted, when it refuses a connection, or lets one time out while this host reaches servers', () => {
  for (const [isTrusted, outcome, expected] of [[true, { refused: true }, 1], [false, { refused: true }, 1], [true, { refused: false }, 1], [false, { refused: false }, 0], [true, { refused: false, wasAborted: true }, 0]] as const) {
    const restarted: string[] = []
    const loads = createServerLoads(() => 0, undefined, { reachability: { trackRequest: () => () => {}, isTrusted: () => isTrusted }, warmUp: { isWarmingUp: () => false, recordRefusedConnection ({ id }) { restarted.push(id) } } })
    loads.trackRequest(server)({ kind: 'lost', ...outcome })
    loads.trackRequest(server)({ kind: 'failed', isReset: true })
    assert.is(restarted.length, expected)
  }
})

test.run()
