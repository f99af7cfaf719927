/** Tests of what a host learns of servers from its requests and from the leader. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { RoutedServer } from '../routing/mod.ts'
import { createServerLoads } from './server_loads.ts'

const test = suite('createServerLoads')
const server: RoutedServer = { id: 's0', bornAt: 1, service: 'orders', address: '10.0.0.1:80', zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }

test('inFlight() does not count this host twice, when the leader tells the sum', () => {
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

test('expectedMs() rests on the assumed work, when nobody has sent to a slow service', () => {
  const loads = createServerLoads(() => 0, () => 450)
  for (let request = 0; request < 7; request++) loads.trackRequest(server)
  assert.is(loads.expectedMs(server), 900)
})

test('workMs() rises, when requests are given up before the server answers', () => {
  const loads = createServerLoads(() => 0)
  for (let request = 0; request < 20; request++) loads.trackRequest(server)({ kind: 'served', durationMs: 100 })
  for (let request = 0; request < 20; request++) loads.trackRequest(server)({ kind: 'abandoned', durationMs: 1000 })
  assert.ok(loads.workMs(server) > 500)
})

test('workMs() stays, when callers leave early', () => {
  const loads = createServerLoads(() => 0)
  for (let request = 0; request < 20; request++) loads.trackRequest(server)({ kind: 'served', durationMs: 100 })
  for (let request = 0; request < 20; request++) loads.trackRequest(server)({ kind: 'abandoned', durationMs: 50 })
  assert.is(loads.workMs(server), 100)
})

test('isSilent() holds for a while, when two connections in a row were refused', () => {
  let now = 0
  const loads = createServerLoads(() => now)
  loads.trackRequest(server)({ kind: 'lost', refused: true })
  assert.not(loads.isUnresponsive(server))
  loads.trackRequest(server)({ kind: 'lost', refused: true })
  assert.ok(loads.isUnresponsive(server))
  now = 1500
  assert.not(loads.isUnresponsive(server))
})

test('isSilent() does not hold, when idle connections were reset', () => {
  const loads = createServerLoads(() => 0)
  for (let request = 0; request < 5; request++) loads.trackRequest(server)({ kind: 'failed' })
  assert.not(loads.isUnresponsive(server))
})

test('isFull() holds only for a refusal of a crowded server, when part of the requests is refused with room left', () => {
  const loads = createServerLoads(() => 0)
  loads.trackRequest(server)({ kind: 'shed' })
  assert.not(loads.isFull('s0'))
  loads.applyViews(new Map([['s0', { inFlight: 9, workMs: 100, failureShare: 0, silent: false, admitShare: 1 }]]))
  loads.trackRequest(server)({ kind: 'shed' })
  assert.ok(loads.isFull('s0'))
})

test('workMs() does not fall far below what requests take, when the queue is believed to be longer than it is', () => {
  const loads = createServerLoads(() => 0)
  loads.applyViews(new Map([['s0', { inFlight: 40, workMs: 0, failureShare: 0, silent: false, admitShare: 1 }]]))
  for (let request = 0; request < 30; request++) loads.trackRequest(server)({ kind: 'served', durationMs: 400 })
  assert.ok(loads.workMs(server) >= 200)
})

test('isFull() holds, when a crowded server resets connections', () => {
  const loads = createServerLoads(() => 0)
  loads.applyViews(new Map([['s0', { inFlight: 9, workMs: 100, failureShare: 0, silent: false, admitShare: 1 }]]))
  loads.trackRequest(server)({ kind: 'failed' })
  assert.ok(loads.isFull('s0'))
})

test.run()
