/** Tests of how long the leader's heartbeats count as recent. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLeaderMonitor, type Heartbeat } from './leader_monitor.ts'

const test = suite('createLeaderMonitor')
const heartbeat: Heartbeat = { kind: 'beat', storeAgeMs: 100, lease: { era: 1, revision: 1, value: null }, leading: true, complete: false, intervalMs: 120, hosts: 3, views: [] }

test('isFresh() returns false, when heartbeats stop or the last read of the store by the leader is too old', () => {
  let now = 0
  const monitor = createLeaderMonitor(() => now)
  assert.not(monitor.isFresh())
  monitor.recordHeartbeat(heartbeat, 'h1:1')
  assert.ok(monitor.isFresh())
  now = 1100
  assert.not(monitor.isFresh())
  monitor.recordHeartbeat({ ...heartbeat, storeAgeMs: 1100 }, 'h1:1')
  assert.not(monitor.isFresh())
})

test('isRespondingAt() returns true only for the address of the leader, when the leader cannot reach the store', () => {
  let now = 0
  const monitor = createLeaderMonitor(() => now)
  monitor.recordHeartbeat({ ...heartbeat, leading: false }, 'h1:1')
  assert.not(monitor.isFresh())
  assert.ok(monitor.isRespondingAt('h1:1'))
  assert.not(monitor.isRespondingAt('h2:1'))
  assert.not(monitor.isRespondingAt(undefined))
  now = 1100
  assert.not(monitor.isRespondingAt('h1:1'))
})

test.run()
