/** Tests of aggregating the load reports of all hosts. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { ServerSample } from '../gateway/server_loads.ts'
import { createLoadAggregator, type LoadAggregator } from './load_aggregator.ts'

const test = suite('createLoadAggregator')

/** Server `s0` in zone `a`, in its first run. */
const s0 = { id: 's0', bornAt: 1, service: 'lookups', address: '10.0.0.1:80', zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }

const h1 = { name: 'h1', zone: 'a' }
const h2 = { name: 'h2', zone: 'b' }
const h3 = { name: 'h3', zone: 'b' }

function sample (fields: Partial<ServerSample>): ServerSample {
  return { inFlight: 0, oldestMs: 0, served: 0, workMs: 0, failed: 0, shed: 0, lost: 0, refused: 0, wanted: 0, ...fields }
}

test('views() adds up the requests in flight of all hosts', () => {
  const loads = createLoadAggregator()
  loads.add(h1, [['s0', sample({ inFlight: 2 })]], 0)
  loads.add(h2, [['s0', sample({ inFlight: 3 })]], 0)
  assert.is(loads.views(0).get('s0')?.inFlight, 5)
  loads.add(h1, [], 100)
  assert.is(loads.views(100).get('s0')?.inFlight, 3)
  loads.removeHost('h2')
  assert.is(loads.views(100).get('s0')?.inFlight, 0)
})

test('views() shows a server as slow, when requests of two hosts have been in flight for long', () => {
  const loads = createLoadAggregator()
  loads.add(h1, [['s0', sample({ served: 10, workMs: 1000, inFlight: 1, oldestMs: 900 })]], 0)
  assert.is(loads.views(0).get('s0')?.workMs, 100)
  loads.add(h2, [['s0', sample({ inFlight: 1, oldestMs: 800 })]], 0)
  assert.is(loads.views(0).get('s0')?.workMs, 800)
})

test('views() does not take a server for two hundred times faster than others, when its first request is one that takes 3 ms', () => {
  const loads = createLoadAggregator(() => 600)
  loads.add(h1, [['s0', sample({ served: 1, workMs: 3 })]], 0)
  assert.ok((loads.views(0).get('s0')?.workMs ?? 0) > 400)
  for (let at = 0; at < 40; at++) loads.add(h1, [['s0', sample({ served: 1, workMs: 300 })]], at)
  const workMs = loads.views(40).get('s0')?.workMs ?? 0
  assert.ok(workMs > 290 && workMs < 330, `${workMs} ms`)
})

test('views() shows a server as unresponsive, when requests of several hosts are lost and none gets a response', () => {
  const loads = createLoadAggregator()
  loads.add(h1, [['s0', sample({ served: 1, workMs: 100 })]], 0)
  loads.add(h1, [['s0', sample({ lost: 1 })]], 700)
  assert.is(loads.views(700).get('s0')?.silent, false)
  loads.add(h2, [['s0', sample({ lost: 1 })]], 800)
  assert.is(loads.views(800).get('s0')?.silent, true)
  loads.add(h2, [['s0', sample({ served: 1, workMs: 100 })]], 900)
  assert.is(loads.views(900).get('s0')?.silent, false)
})

test('views() shows the share that a server fails, when it serves only part of its requests', () => {
  const loads = createLoadAggregator()
  for (let at = 0; at < 50; at++) loads.add(h1, [['s0', sample({ served: 1, workMs: 100, shed: 1 })]], at)
  const share = loads.views(50).get('s0')?.failureShare ?? 0
  assert.ok(share > 0.4 && share < 0.6)
})

test('isRefusingConnections() requires refusals from three hosts, one of them in the zone of the server, and no response since', () => {
  const loads = createLoadAggregator()
  const refused = sample({ lost: 1, refused: 1, refusedBornAt: 1 })
  loads.add(h2, [['s0', refused]], 0)
  loads.add(h3, [['s0', refused]], 0)
  loads.add({ name: 'h4', zone: 'b' }, [['s0', refused]], 0)
  assert.not(loads.isRefusingConnections(s0, 0))
  loads.add(h1, [['s0', refused]], 10)
  assert.ok(loads.isRefusingConnections(s0, 10))
  loads.add(h2, [['s0', sample({ served: 1, workMs: 100 })]], 20)
  assert.not(loads.isRefusingConnections(s0, 20))
})

/** Reports of three hosts that the first run of `s0` refused their connections. */
function reportRefusals (loads: LoadAggregator, now: number): void {
  for (const host of [h1, h2, h3]) loads.add(host, [['s0', sample({ lost: 1, refused: 1, refusedBornAt: s0.bornAt })]], now)
}

// Guards against taking a server for ended by what hosts saw of its earlier run.
test('isRefusingConnections() counts refusals of the present run only, when a server has started again', () => {
  const loads = createLoadAggregator()
  loads.setServers([s0])
  reportRefusals(loads, 0)
  assert.ok(loads.isRefusingConnections(s0, 0))
  const restarted = { ...s0, bornAt: 2 }
  loads.setServers([restarted])
  assert.not(loads.isRefusingConnections(restarted, 10))
  // Reports that were on their way arrive later than the entry of the new run.
  reportRefusals(loads, 20)
  assert.not(loads.isRefusingConnections(restarted, 20))
  assert.ok(loads.views(20).get('s0')?.silent === false)
})

// Guards against a server that had refused connections for a moment and got no requests since.
test('isRefusingConnections() no longer counts a refusal, when every grant of before has expired', () => {
  const loads = createLoadAggregator()
  reportRefusals(loads, 0)
  assert.ok(loads.isRefusingConnections(s0, 9000))
  assert.not(loads.isRefusingConnections(s0, 10_001))
})

// Guards against a server that is avoided, or gets no more requests than before its crash, by the figures of its earlier run.
test('setServers() discards failures, losses and the limit of the earlier run, when a server has started again', () => {
  const loads = createLoadAggregator()
  loads.setServers([s0])
  loads.add(h1, [['s0', sample({ served: 1, workMs: 100, failed: 30, limit: [4, 0] })]], 0)
  loads.add(h1, [['s0', sample({ lost: 3 })]], 600)
  assert.ok(loads.views(600).get('s0')?.silent)
  loads.setServers([{ ...s0, bornAt: 2 }])
  assert.equal([loads.views(600).get('s0')?.silent, loads.views(600).get('s0')?.failureShare, loads.requestLimit('s0', 600)], [false, 0, null])
  assert.is(loads.views(600).get('s0')?.workMs, 100)
})

test('adjustShares() keeps a server busy and its queue short, when 136 hosts request one of its keys 400 times per second', () => {
  const loads = createLoadAggregator()
  const [slots, workMs, publishIntervalMs, hosts] = [4, 400, 540, 136]
  const running: Array<{ readonly host: number, readonly endsAt: number }> = []
  const queue: number[] = []
  const completedByHost = new Map<number, number>()
  let wanted = 0
  let share = 1
  let served = 0
  let publishedAt = 0
  let state = 12_345
  function random (): number {
    state ^= state << 13
    state ^= state >>> 17
    state ^= state << 5
    return (state >>> 0) / 2 ** 32
  }
  for (let now = 0; now < 20_000; now += 20) {
    for (let request = 0; request < 8; request++) {
      wanted++
      // The server's queue holds 16 requests; further ones get no response.
      if (random() < share && queue.length < 16) queue.push(Math.floor(random() * hosts))
    }
    for (const [index, request] of [...running.entries()].reverse()) {
      if (request.endsAt > now) continue
      running.splice(index, 1)
      completedByHost.set(request.host, (completedByHost.get(request.host) ?? 0) + 1)
      if (now >= 10_000) served++
    }
    while (running.length < slots && queue.length > 0) running.push({ host: queue.shift() ?? 0, endsAt: now + workMs })
    if (now > 10_000) assert.ok(queue.length < 12, `${queue.length} queued at ${now} ms`)
    if (now - publishedAt < publishIntervalMs) continue
    publishedAt = now
    for (let host = 0; host < hosts; host++) {
      const inFlight = running.filter((request) => request.host === host).length + queue.filter((queuedHost) => queuedHost === host).length
      const completed = completedByHost.get(host) ?? 0
      loads.add({ name: `h${host}`, zone: 'a' }, [['s0', sample({ inFlight, served: completed, workMs: completed * workMs, wanted: wanted / hosts })]], now)
    }
    completedByHost.clear()
    wanted = 0
    loads.adjustShares(() => ({ slots, assumedWorkMs: 120 }), now)
    share = loads.views(now).get('s0')?.admitShare ?? 1
  }
  assert.ok(served >= 0.85 * 10_000 / workMs * slots, `${served} served`)
})

test('adjustShares() admits all requests, when the server has a short queue', () => {
  const loads = createLoadAggregator()
  loads.add(h1, [['s0', sample({ inFlight: 8 })]], 0)
  loads.adjustShares(() => ({ slots: 4, assumedWorkMs: 120 }), 0)
  assert.is(loads.views(0).get('s0')?.admitShare, 1)
})

test('requestLimit() returns the limit that was observed last, when reports arrive in another order', () => {
  const loads = createLoadAggregator()
  assert.is(loads.requestLimit('s0', 0), null)
  loads.add(h1, [['s0', sample({ limit: [9.3, 20] })]], 1000)
  assert.is(loads.requestLimit('s0', 1000), 9.3)
  loads.add(h2, [['s0', sample({ limit: [0, 10] })]], 1100)
  loads.add(h3, [['s0', sample({ limit: [9.3, 600] })]], 1200)
  assert.is(loads.requestLimit('s0', 1200), null)
  loads.add(h1, [['s0', sample({ limit: [4, 0] })]], 1300)
  assert.is(loads.requestLimit('s0', 1300), 4)
  assert.is(loads.requestLimit('s0', 20_000), null)
})

test.run()
