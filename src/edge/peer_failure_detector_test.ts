/** Tests of the failure detector for peers, on a fake clock. */
import { install } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createPeerFailureDetector } from './peer_failure_detector.ts'

const test = suite('createPeerFailureDetector')
const PEER = '10.0.0.2:7100'

async function trackRequestFor (durationMs: number, isAlive: (probe: number) => boolean): Promise<{ readonly unresponsiveAt: number | null, readonly isUnresponsive: boolean }> {
  const clock = install({ toFake: ['setTimeout', 'clearTimeout'] })
  try {
    let probes = 0
    let unresponsiveAt: number | null = null
    const failureDetector = createPeerFailureDetector({ probe: async () => isAlive(probes++), now: () => clock.now })
    failureDetector.trackRequest(PEER, () => { unresponsiveAt = clock.now })
    await clock.tickAsync(durationMs)
    return { unresponsiveAt, isUnresponsive: failureDetector.isUnresponsive(PEER) }
  } finally {
    clock.uninstall()
  }
}

test('trackRequest() reports the peer as unresponsive, when two consecutive probes fail', async () => {
  const { unresponsiveAt, isUnresponsive } = await trackRequestFor(2000, () => false)
  assert.is(unresponsiveAt, 600)
  assert.ok(isUnresponsive)
})

test('trackRequest() does not report the peer, when it responds after each failed probe', async () => {
  const { unresponsiveAt } = await trackRequestFor(5000, (probe) => probe % 2 === 1)
  assert.is(unresponsiveAt, null)
})

test('isUnresponsive() returns false, when the peer has responded to a later probe', async () => {
  const { isUnresponsive } = await trackRequestFor(5000, (probe) => probe > 0)
  assert.not(isUnresponsive)
})

test.run()
