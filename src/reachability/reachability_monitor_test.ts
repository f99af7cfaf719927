/**
 * Tests of telling a host without paths to servers from servers that have a
 * fault: a host that takes the first for the second condemns healthy servers.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import type { RoutedServer } from '../routing/mod.ts'
import { ProbeResult } from './connect_probe.ts'
import { createReachabilityMonitor, PathResult, type Isolation, type ReachabilityMonitor } from './reachability_monitor.ts'

const test = suite('createReachabilityMonitor')
const WORK_MS = 100

interface Simulation {
  now: number
  readonly monitor: ReachabilityMonitor
  readonly changes: Array<Isolation | null>
  /** Servers that were probed, in order. */
  readonly probed: string[]
  /** What happens to a connection to a server now. */
  pathTo: (server: number) => ProbeResult
}

function createSimulation (servers = 8): Simulation {
  const listed: RoutedServer[] = Array.from({ length: servers }, (_, index) => ({ id: `s${index}`, bornAt: 1, service: 'orders', address: `${index}`, zone: 'abc'[index % 3] ?? 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }))
  const simulation: Omit<Simulation, 'monitor'> & { monitor?: ReachabilityMonitor } = { now: 0, changes: [], probed: [], pathTo: () => ProbeResult.connected }
  let draws = 0
  simulation.monitor = createReachabilityMonitor({
    zone: 'a',
    servers: () => listed,
    async probe (address) {
      simulation.probed.push(address)
      return simulation.pathTo(Number(address))
    },
    now: () => simulation.now,
    random: () => (draws = (draws + 0.37) % 1),
    onChange (isolation) { simulation.changes.push(isolation) }
  })
  return simulation as Simulation
}

/** Sends a request to each server in turn, one every 25 ms, for `lengthMs`. */
async function play (simulation: Simulation, lengthMs: number, servers = 8): Promise<void> {
  const ends: Array<{ readonly at: number, readonly end: () => void }> = []
  for (const until = simulation.now + lengthMs; simulation.now < until; simulation.now += 25) {
    const server = simulation.now / 25 % servers
    const path = simulation.pathTo(server)
    if (simulation.monitor.isolation() === null) {
      const end = simulation.monitor.trackRequest(`s${server}`, WORK_MS)
      if (path === ProbeResult.refused) end(PathResult.unreachable)
      else if (path === ProbeResult.connected) ends.push({ at: simulation.now + WORK_MS, end: () => { end(PathResult.responded) } })
    }
    for (const { end } of ends.filter(({ at }) => at === simulation.now)) end()
    await simulation.monitor.check()
  }
}

for (const [path, isSilent] of [[ProbeResult.timedOut, true], [ProbeResult.refused, false]] as const) {
  test(`isolation() shows within 600 ms that this host reaches no server, and within 600 ms that it does again, when all paths are ${path}`, async () => {
    const simulation = createSimulation()
    await play(simulation, 1000)
    assert.equal(simulation.changes, [])
    simulation.pathTo = () => path
    await play(simulation, 600)
    assert.equal(simulation.changes, [{ isSilent }])
    assert.is(simulation.monitor.isTrusted(), false)
    simulation.pathTo = () => ProbeResult.connected
    await play(simulation, 600)
    assert.equal(simulation.changes, [{ isSilent }, null])
    assert.is(simulation.monitor.isTrusted(), true)
  })
}

test('isolation() returns null, when some servers end and others respond', async () => {
  await fc.assert(fc.asyncProperty(fc.subarray([0, 1, 2, 3, 4, 5, 6, 7], { maxLength: 6 }), fc.constantFrom(ProbeResult.timedOut, ProbeResult.refused), async (ended, path) => {
    const simulation = createSimulation()
    await play(simulation, 500)
    simulation.pathTo = (server) => ended.includes(server) ? path : ProbeResult.connected
    await play(simulation, 3000)
    assert.equal(simulation.changes, [])
    // Probes are connections for servers to accept, so they are rare.
    assert.ok(simulation.probed.length <= 9, `${simulation.probed.length} probes`)
  }), { seed: 1, numRuns: 60 })
})

test('isolation() returns null, when a single server does not respond and there is no other traffic', async () => {
  const simulation = createSimulation()
  for (let request = 0; request < 5; request++) simulation.monitor.trackRequest('s1', WORK_MS)
  for (; simulation.now < 2000; simulation.now += 50) await simulation.monitor.check()
  assert.equal(simulation.changes, [])
  assert.equal(simulation.probed, [])
})

test('isolation() stays, when one probe in two fails', async () => {
  const simulation = createSimulation()
  simulation.pathTo = () => ProbeResult.timedOut
  await play(simulation, 1000)
  let probes = 0
  simulation.pathTo = () => Math.floor(probes++ / 3) % 2 === 0 ? ProbeResult.connected : ProbeResult.timedOut
  for (let round = 0; round < 10; round++) {
    simulation.now += 300
    await simulation.monitor.check()
  }
  assert.is(simulation.changes.length, 1)
})

test('verify() probes servers only when none has responded just now, and shows at once that this host is cut', async () => {
  const simulation = createSimulation()
  await play(simulation, 1000)
  assert.is(await simulation.monitor.verify(), true)
  assert.equal(simulation.probed, [])
  simulation.now += 500
  assert.is(await simulation.monitor.verify(), true)
  assert.is(simulation.probed.length, 3)
  simulation.now += 2000
  simulation.pathTo = () => ProbeResult.timedOut
  assert.is(await simulation.monitor.verify(), false)
  assert.equal(simulation.changes, [{ isSilent: true }])
})

test('verify() returns true without a probe, when no servers are known', async () => {
  assert.is(await createSimulation(0).monitor.verify(), true)
})

test('check() keeps at most one round of probes in progress, when probes take long', async () => {
  const waiting: Array<(result: ProbeResult) => void> = []
  let now = 0
  const monitor = createReachabilityMonitor({
    zone: 'a',
    servers: () => ['s0', 's1', 's2', 's3'].map((id) => ({ id, bornAt: 1, service: 'orders', address: id, zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 })),
    probe: () => new Promise((resolve) => { waiting.push(resolve) }),
    now: () => now,
    random: () => 0,
    onChange: () => {}
  })
  for (const server of ['s0', 's1']) monitor.trackRequest(server, WORK_MS)
  for (; now < 2000; now += 50) monitor.check().catch(() => {})
  assert.is(waiting.length, 3)
  assert.is(monitor.isTrusted(), false)
  assert.is(monitor.isolation(), null)
})

test.run()
