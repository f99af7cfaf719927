/** Tests of the measured delay of a process. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLoopDelayMonitor } from './loop_delay_monitor.ts'

const test = suite('createLoopDelayMonitor')

test('delayMs() returns the largest delay of the last second, when a timer fires late or has not fired yet', () => {
  let time = 0
  const monitor = createLoopDelayMonitor({ intervalMs: 100, now: () => time })
  assert.is(monitor.delayMs(), 0)
  for (const at of [0, 100, 650, 750]) {
    time = at
    monitor.recordTick()
  }
  assert.is(monitor.delayMs(), 450)
  time = 1550
  assert.is(monitor.delayMs(), 700)
  for (let tick = 0; tick < 9; tick++, time += 100) monitor.recordTick()
  assert.is(monitor.delayMs(), 0)
})

test.run()
