/** Tests of relying on what the leader tells. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLeaderMonitor, type Heartbeat } from './leader_monitor.ts'

const test = suite('createLeaderWatch')
const beat: Heartbeat = { kind: 'beat', storeAgeMs: 100, lease: { revision: 1, value: null }, leading: true, complete: false, intervalMs: 120, hosts: 3, views: [] }

test('isFresh() ends, when the leader falls silent or its look at the store gets old', () => {
  let now = 0
  const watch = createLeaderMonitor(() => now)
  assert.not(watch.isFresh())
  watch.recordHeartbeat(beat, 'h1:1')
  assert.ok(watch.isFresh())
  now = 1100
  assert.not(watch.isFresh())
  watch.recordHeartbeat({ ...beat, storeAgeMs: 1100 }, 'h1:1')
  assert.not(watch.isFresh())
})

test('isHeardAt() holds for a leader that cannot reach the store, and only at its address', () => {
  let now = 0
  const watch = createLeaderMonitor(() => now)
  watch.recordHeartbeat({ ...beat, leading: false }, 'h1:1')
  assert.not(watch.isFresh())
  assert.ok(watch.isRespondingAt('h1:1'))
  assert.not(watch.isRespondingAt('h2:1'))
  assert.not(watch.isRespondingAt(undefined))
  now = 1100
  assert.not(watch.isRespondingAt('h1:1'))
})

test.run()
