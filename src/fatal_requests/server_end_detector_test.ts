/** Tests of the detector of ended servers: a reset connection alone must not count as the end of a server, and an end must be seen with all requests that were lost with it. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ProbeResult } from '../reachability/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import type { ServerEnd } from './server_end.ts'
import { createServerEndDetector, type ServerEndDetector } from './server_end_detector.ts'

const test = suite('server end detector')

const SERVER: RoutedServer = { id: 's1', bornAt: 1, service: 'orders', address: '127.0.0.1:1', zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }

interface Setup {
  readonly detector: ServerEndDetector
  readonly ends: ServerEnd[]
  probes: number
  probeResult: ProbeResult
  reachesServers: boolean
  isLeaving: boolean
  advance (milliseconds: number): void
}

function setUp (): Setup {
  let time = 0
  const setup: Setup = {
    detector: createServerEndDetector({
      probe: async () => { setup.probes++; return await Promise.resolve(setup.probeResult) },
      verifyReachability: async () => await Promise.resolve(setup.reachesServers),
      isLeaving: () => setup.isLeaving,
      onEnd (end) { setup.ends.push(end) },
      now: () => time
    }),
    ends: [],
    probes: 0,
    probeResult: ProbeResult.refused,
    reachesServers: true,
    isLeaving: false,
    advance (milliseconds) { time += milliseconds }
  }
  return setup
}

async function settle (): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, 40) })
}

test('recordLoss() reports one end with all lost requests after one probe, when the address refuses connections', async () => {
  const setup = setUp()
  setup.detector.recordLoss(SERVER, { fingerprint: 'a', sentAt: -70 })
  setup.detector.recordLoss(SERVER, { fingerprint: 'b', sentAt: -10 })
  await settle()
  assert.is(setup.probes, 1)
  assert.equal(setup.ends, [{ server: 's1', bornAt: 1, endedAt: 0, requests: [{ fingerprint: 'a', sentAt: -70 }, { fingerprint: 'b', sentAt: -10 }] }])
  setup.detector.recordLoss(SERVER, { fingerprint: 'c', sentAt: -5 })
  assert.equal(setup.ends.at(-1)?.requests.map(({ fingerprint }) => fingerprint), ['a', 'b', 'c'])
})

for (const result of [ProbeResult.connected, ProbeResult.timedOut]) {
  test(`recordLoss() reports no end, when a probe of the address ends as ${result} and the run stays listed`, async () => {
    const setup = setUp()
    setup.probeResult = result
    setup.detector.recordLoss(SERVER, { fingerprint: 'a', sentAt: 0 })
    await settle()
    setup.detector.onListed([SERVER])
    assert.equal(setup.ends, [])
  })
}

test('recordLoss() reports no end, when this host reaches no server at all', async () => {
  const setup = setUp()
  setup.reachesServers = false
  setup.detector.recordLoss(SERVER, { fingerprint: 'a', sentAt: 0 })
  await settle()
  assert.equal(setup.ends, [])
})

test('recordLoss() reports no end, when the server is leaving and its end is expected', async () => {
  const setup = setUp()
  setup.isLeaving = true
  setup.detector.recordLoss(SERVER, { fingerprint: 'a', sentAt: 0 })
  await settle()
  setup.detector.onListed([])
  assert.equal([setup.ends, setup.probes], [[], 0])
})

test('recordLoss() checks a server anew, when it was taken for ended and a later request is lost with it', async () => {
  const setup = setUp()
  setup.detector.recordLoss(SERVER, { fingerprint: 'a', sentAt: -70 })
  await settle()
  setup.advance(3000)
  setup.detector.recordLoss(SERVER, { fingerprint: 'b', sentAt: 2930 })
  await settle()
  assert.is(setup.probes, 2)
  assert.equal(setup.ends.at(-1), { server: 's1', bornAt: 1, endedAt: 3000, requests: [{ fingerprint: 'b', sentAt: 2930 }] })
})

test('onListed() reports the end of a run that another one has replaced at its address, and none when its loss is long ago', async () => {
  const setup = setUp()
  setup.probeResult = ProbeResult.connected
  setup.detector.recordLoss(SERVER, { fingerprint: 'a', sentAt: 0 })
  await settle()
  setup.advance(1800)
  setup.detector.onListed([{ ...SERVER, bornAt: 2 }])
  assert.equal(setup.ends, [{ server: 's1', bornAt: 1, endedAt: 0, requests: [{ fingerprint: 'a', sentAt: 0 }] }])
  setup.detector.recordLoss({ ...SERVER, bornAt: 2 }, { fingerprint: 'a', sentAt: 0 })
  await settle()
  setup.advance(60_000)
  setup.detector.onListed([])
  assert.is(setup.ends.length, 1)
})

test.run()
