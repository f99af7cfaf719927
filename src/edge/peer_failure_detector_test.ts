/** Tests of the health of peers, on a paused clock. */
import { install } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createPeerFailureDetector } from './peer_failure_detector.ts'

const test = suite('createPeerHealth')
const PEER = '10.0.0.2:7100'

async function watchFor (lengthMs: number, answers: (probe: number) => boolean): Promise<{ readonly frozenAt: number | null, readonly isFrozen: boolean }> {
  const clock = install({ toFake: ['setTimeout', 'clearTimeout'] })
  try {
    let probes = 0
    let frozenAt: number | null = null
    const health = createPeerFailureDetector({ probe: async () => answers(probes++), now: () => clock.now })
    health.trackRequest(PEER, () => { frozenAt = clock.now })
    await clock.tickAsync(lengthMs)
    return { frozenAt, isFrozen: health.isUnresponsive(PEER) }
  } finally {
    clock.uninstall()
  }
}

test('watch() gives up a request, when its peer is silent twice', async () => {
  const { frozenAt, isFrozen } = await watchFor(2000, () => false)
  assert.is(frozenAt, 600)
  assert.ok(isFrozen)
})

test('watch() keeps a request, when its peer is busy once and answers then', async () => {
  const { frozenAt } = await watchFor(5000, (probe) => probe % 2 === 1)
  assert.is(frozenAt, null)
})

test('isFrozen() is false again, when a peer answers', async () => {
  const { isFrozen } = await watchFor(5000, (probe) => probe > 0)
  assert.not(isFrozen)
})

test.run()
