/**
 * Tests of the shares under loads that occur between zones. Most simulate 110
 * hosts that each draw the zone of their requests, with figures that are one
 * heartbeat (440 ms) old.
 */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { simulateZones, type SimulatedZone, type ZoneSample } from './_simulate_zones.ts'
import { createZoneBalance, type ZoneBalance } from './create_zone_balance.ts'
import type { ZoneLoad } from './zone_load.ts'

const test = suite('createZoneBalance')

/** Zones of 37 hosts and 20 servers (800 requests per second) that receive 300 requests per second; `changes` replaces properties of zone a. */
function zonesWith (changes: Partial<SimulatedZone>): SimulatedZone[] {
  return ['a', 'b', 'c'].map((zone) => ({ zone, servers: 20, hosts: 37, perHost: () => 8, ...(zone === 'a' ? changes : {}) }))
}

function mean (samples: readonly ZoneSample[] | undefined, key: keyof ZoneSample, [from, to]: readonly [fromMs: number, toMs: number]): number {
  const values = (samples ?? []).filter(({ at }) => at >= from && at < to).map((sample) => sample[key])
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function maximum (samples: readonly ZoneSample[] | undefined, key: keyof ZoneSample, from: number): number {
  return Math.max(...(samples ?? []).filter(({ at }) => at >= from).map((sample) => sample[key]))
}

/** Number of times that the share which leaves turns from rising to falling or back, without moves smaller than `step`. */
function countTurns (samples: readonly ZoneSample[], step: number): number {
  let turns = 0
  let direction = 0
  let extreme = samples[0]?.left ?? 0
  for (const { left } of samples) {
    const move = left - extreme
    if (Math.sign(move) === direction) extreme = left
    else if (Math.abs(move) > step) {
      if (direction !== 0) turns++
      direction = Math.sign(move)
      extreme = left
    }
  }
  return turns
}

function loadOf (zone: string, changes: Partial<ZoneLoad> = {}): ZoneLoad {
  return { zone, servers: 10, slots: 40, inFlight: 10, waiting: 0, workMs: 100, isUnresponsive: false, ...changes }
}

/** Creates the balance of a host in zone a after ten heartbeats with the same loads. */
function balanceAfter (loads: readonly ZoneLoad[]): ZoneBalance {
  const balance = createZoneBalance({ zone: 'a', latencyGoalMs: () => 333 })
  for (let heartbeat = 0; heartbeat < 10; heartbeat++) balance.update('orders', loads, heartbeat * 440)
  return balance
}

const SMALL = { bodyBytes: 0, latencyGoalMs: 333, remainingMs: 1000 } as const

/** Share of requests of one kind that leave zone a. */
function leavingShare (balance: ZoneBalance, request: { readonly bodyBytes: number, readonly latencyGoalMs: number, readonly remainingMs: number }): number {
  const draws = Array.from({ length: 1000 }, (_, index) => balance.chooseZone('orders', request, index / 1000))
  return draws.filter((zone) => zone !== 'a').length / draws.length
}

test('chooseZone() sends away what a zone cannot serve and no more, without turning back and forth, when 110 hosts see figures of half a second ago and the zone has a third of the servers it needs', () => {
  const samples = simulateZones(zonesWith({ servers: 10, perHost: () => 32.4 }).map((zone) => zone.zone === 'a' ? zone : { ...zone, servers: 25 }), { durationMs: 40_000 })
  const settled = [8000, 40_000] as const
  const needed = 1 - 400 / 1200
  assert.ok(Math.abs(mean(samples.get('a'), 'left', settled) - needed) < 0.08, `${mean(samples.get('a'), 'left', settled)} left`)
  assert.ok(mean(samples.get('a'), 'utilisation', settled) > 0.8, 'the own servers stay busy')
  assert.ok(mean(samples.get('a'), 'refused', settled) < 0.005 * mean(samples.get('a'), 'requests', settled), `${mean(samples.get('a'), 'refused', settled)} refused a heartbeat`)
  assert.is(countTurns((samples.get('a') ?? []).filter(({ at }) => at >= 8000), 0.25), 0)
  for (const zone of ['b', 'c']) {
    assert.ok(mean(samples.get(zone), 'utilisation', settled) < 0.95)
    assert.is(maximum(samples.get(zone), 'refused', 0), 0)
    assert.is(maximum(samples.get(zone), 'left', 0) < 0.05, true, 'a zone that receives sends nothing away')
  }
})

test('chooseZone() uses the servers of all zones, neither overfills one nor turns back and forth, when one zone has a third of the servers it needs and all together need nine tenths', () => {
  const samples = simulateZones(zonesWith({ servers: 10, perHost: () => 32.4 }), { durationMs: 60_000 })
  const settled = [8000, 60_000] as const
  assert.ok(mean(samples.get('a'), 'refused', settled) < 0.04 * mean(samples.get('a'), 'requests', settled), `${mean(samples.get('a'), 'refused', settled)} refused a heartbeat`)
  for (const zone of ['b', 'c']) {
    assert.ok(mean(samples.get(zone), 'utilisation', settled) < 1, `${mean(samples.get(zone), 'utilisation', settled)}`)
    assert.is(maximum(samples.get(zone), 'refused', 0), 0)
  }
  assert.is(countTurns((samples.get('a') ?? []).filter(({ at }) => at >= 8000), 0.2), 0)
})

test('chooseZone() takes requests back from a zone that needs its servers itself, when its own requests triple', () => {
  const zones = zonesWith({ servers: 10, perHost: () => 21.6 }).map((zone) => zone.zone === 'b' ? { ...zone, perHost: (now: number) => now < 10_000 ? 8 : 24 } : zone)
  const samples = simulateZones(zones, { durationMs: 30_000 })
  assert.ok(mean(samples.get('b'), 'receivedPerS', [5000, 10_000]) > 100)
  assert.ok(mean(samples.get('b'), 'receivedPerS', [15_000, 30_000]) < 20, `${mean(samples.get('b'), 'receivedPerS', [15_000, 30_000])} received`)
})

test('chooseZone() divides what leaves by free capacity, when zones of different size are free', () => {
  const zones = zonesWith({ servers: 10, perHost: () => 21.6 }).map((zone) => zone.zone === 'c' ? { ...zone, servers: 10 } : zone)
  const samples = simulateZones(zones, { durationMs: 20_000 })
  // Zone b has 500 requests per second free, c has 100.
  assert.ok(mean(samples.get('b'), 'receivedPerS', [8000, 20_000]) > 3 * mean(samples.get('c'), 'receivedPerS', [8000, 20_000]))
  assert.ok(mean(samples.get('c'), 'utilisation', [8000, 20_000]) < 1)
})

test('chooseZone() keeps all requests in their zones, when all zones are full', () => {
  const samples = simulateZones(zonesWith({ perHost: () => 60 }).map((zone) => zone.zone === 'a' ? zone : { ...zone, perHost: () => 26 }), { durationMs: 20_000 })
  // Until the queues are full, some zones still have free slots.
  for (const zone of samples.values()) assert.ok(maximum(zone, 'left', 3000) < 0.01 && maximum(zone, 'left', 0) < 0.1)
})

test('chooseZone() keeps almost all requests in their zone, when it is busy but has free slots', () => {
  const samples = simulateZones(zonesWith({ perHost: () => 17 }), { durationMs: 40_000 })
  assert.ok(mean(samples.get('a'), 'left', [0, 40_000]) < 0.02, `${mean(samples.get('a'), 'left', [0, 40_000])} left`)
})

test('chooseZone() spreads a burst within three seconds and takes it back within ten, when one zone receives three times its usual requests for eight seconds', () => {
  const samples = simulateZones(zonesWith({ perHost: (now) => now > 10_000 && now < 18_000 ? 36 : 12 }), { durationMs: 40_000 })
  const refused = (samples.get('a') ?? []).filter(({ at }) => at > 13_000).reduce((sum, { refused }) => sum + refused, 0)
  assert.is(refused, 0)
  assert.ok(mean(samples.get('a'), 'left', [28_000, 40_000]) < 0.01)
  assert.is(countTurns(samples.get('a') ?? [], 0.25), 1)
  for (const zone of ['b', 'c']) assert.is(maximum(samples.get(zone), 'refused', 0), 0)
})

test('chooseZone() sends everything away and divides it evenly, when a zone has no servers and the others differ in size', () => {
  const zones = zonesWith({ servers: 0, perHost: () => 13 }).map((zone) => zone.zone === 'b' ? { ...zone, servers: 14 } : zone)
  const samples = simulateZones(zones, { durationMs: 30_000 })
  assert.is(mean(samples.get('a'), 'left', [1000, 30_000]), 1)
  const utilisations = ['b', 'c'].map((zone) => mean(samples.get(zone), 'utilisation', [10_000, 30_000]))
  assert.ok(Math.max(...utilisations) < 1 && Math.abs((utilisations[0] ?? 0) - (utilisations[1] ?? 0)) < 0.1, utilisations.join())
})

test('chooseZone() moves the requests of a zone without servers to the emptier zone, when another receives twice its own requests later', () => {
  const zones = zonesWith({ servers: 0, perHost: () => 10 }).map((zone) => zone.zone === 'b' ? { ...zone, perHost: (now: number) => now < 5000 ? 8 : 16 } : zone)
  const samples = simulateZones(zones, { durationMs: 50_000 })
  const utilisations = ['b', 'c'].map((zone) => mean(samples.get(zone), 'utilisation', [20_000, 50_000]))
  assert.ok(Math.abs((utilisations[0] ?? 0) - (utilisations[1] ?? 0)) < 0.1, utilisations.join())
  assert.ok(mean(samples.get('b'), 'left', [20_000, 50_000]) < 0.03, `${mean(samples.get('b'), 'left', [20_000, 50_000])} of b left`)
})

test('chooseZone() sends nothing to a zone from the heartbeat on that shows it unresponsive, and its own hosts send everything elsewhere, when a zone is cut off for ten seconds', () => {
  const samples = simulateZones(zonesWith({ perHost: () => 12, isUnresponsive: (now) => now > 10_000 && now < 20_000 }), { durationMs: 40_000 })
  assert.is(mean(samples.get('a'), 'left', [11_500, 20_000]), 1)
  assert.is(mean(samples.get('a'), 'receivedPerS', [11_500, 20_000]), 0)
  const returning = (samples.get('a') ?? []).filter(({ at }) => at > 20_900 && at < 23_000).map(({ left }) => left)
  assert.ok(returning.some((left) => left > 0.2 && left < 0.9), 'the requests return by steps')
  assert.ok(mean(samples.get('a'), 'left', [30_000, 40_000]) < 0.01)

  const balance = balanceAfter([loadOf('a', { inFlight: 80 }), loadOf('b'), loadOf('c')])
  assert.ok((balance.shares('orders').get('b') ?? 0) > 0.1)
  balance.update('orders', [loadOf('a', { inFlight: 80 }), loadOf('b', { isUnresponsive: true }), loadOf('c')], 4840)
  assert.is(balance.shares('orders').has('b'), false)
})

test('chooseZone() moves requests to zones that respond in time and back, when the servers of a zone are eight times slower for a while', () => {
  const samples = simulateZones(zonesWith({ workMs: (now) => now > 10_000 && now < 25_000 ? 800 : 100 }), { durationMs: 45_000, balance: { latencyGoalMs: () => 333 } })
  assert.ok(mean(samples.get('a'), 'left', [15_000, 25_000]) > 0.85)
  assert.ok(mean(samples.get('a'), 'left', [35_000, 45_000]) < 0.01)
  for (const zone of ['b', 'c']) assert.ok(mean(samples.get(zone), 'utilisation', [10_000, 45_000]) < 0.9)
})

test('chooseZone() keeps requests in their zone, when the servers of all zones are cold and slower than the latency goal', () => {
  const balance = balanceAfter(['a', 'b', 'c'].map((zone) => loadOf(zone, { workMs: 800 })))
  assert.equal([...balance.shares('orders')], [['a', 1]])
})

test('chooseZone() sends fewer large requests away than small ones, but no less, when home would miss their latency goal', () => {
  const balance = balanceAfter([loadOf('a', { inFlight: 40 }), loadOf('b'), loadOf('c')])
  const shares = [0, 16, 256, 4096].map((kib) => leavingShare(balance, { ...SMALL, bodyBytes: kib * 1024 }))
  assert.ok((shares[0] ?? 0) > 0.1, shares.join())
  for (let index = 1; index < shares.length; index++) assert.ok((shares[index] ?? 0) < (shares[index - 1] ?? 0) * 0.7, shares.join())
  assert.ok(Math.abs(leavingShare(balance, { ...SMALL, bodyBytes: 256 * 1024, latencyGoalMs: 90 }) - (shares[0] ?? 0)) < 0.01)
})

test('chooseZone() keeps a request, when it would time out in the other zones', () => {
  const balance = balanceAfter([loadOf('a', { inFlight: 60 }), loadOf('b'), loadOf('c')])
  assert.is(leavingShare(balance, { ...SMALL, remainingMs: 101 }), 0)
})

test('chooseZone() returns the own zone without loads, and null, when no zone has servers', () => {
  const balance = createZoneBalance({ zone: 'a' })
  assert.is(balance.chooseZone('orders', SMALL, 0), 'a')
  balance.update('orders', [], 0)
  assert.is(balance.chooseZone('orders', SMALL, 0), null)
})

const anyLoad = fc.record({ servers: fc.integer({ min: 1, max: 100 }), slots: fc.integer({ min: 0, max: 1000 }), inFlight: fc.integer({ min: 0, max: 3000 }), waiting: fc.integer({ min: 0, max: 3000 }), workMs: fc.double({ min: 0, max: 5000, noNaN: true }), isUnresponsive: fc.boolean() })

test('shares() are shares of one, and those of all zones together fit into the free slots of each zone, when loads are arbitrary', () => {
  fc.assert(fc.property(fc.array(anyLoad, { minLength: 1, maxLength: 5 }), fc.integer({ min: 0, max: 2000 }), (values, elapsedMs) => {
    const loads = values.map((value, index) => ({ ...value, zone: String(index) }))
    const received = new Map<string, number>()
    for (const { zone, inFlight, waiting, workMs, isUnresponsive, slots } of loads) {
      const balance = createZoneBalance({ zone, latencyGoalMs: () => 300 })
      for (let update = 0; update < 3; update++) balance.update('orders', loads, update * elapsedMs)
      const shares = balance.shares('orders')
      assert.ok([...shares.values()].every((share) => share > 0 && share <= 1) && Math.abs([...shares.values()].reduce((sum, share) => sum + share, 0) - 1) < 0.01, JSON.stringify([...shares]))
      // A zone without responsive servers sends everything, whatever is free.
      if (isUnresponsive || slots === 0 || workMs === 0) continue
      for (const [to, share] of shares) if (to !== zone) received.set(to, (received.get(to) ?? 0) + share * (inFlight + waiting) / workMs)
    }
    for (const { zone, slots, inFlight, waiting, workMs, isUnresponsive } of loads) {
      const free = isUnresponsive ? 0 : Math.max(0, slots - inFlight - waiting)
      assert.ok((received.get(zone) ?? 0) * workMs <= free + 0.001, `${(received.get(zone) ?? 0) * workMs} of ${free}`)
    }
  }), { numRuns: Number(process.env.PROPERTY_RUNS ?? 1000), ...(process.env.PROPERTY_SEED === undefined ? {} : { seed: Number(process.env.PROPERTY_SEED) }) })
})

test('update() brings a host that has just started to the shares of the others, when a zone is full', () => {
  const early = createZoneBalance({ zone: 'a' })
  const late = createZoneBalance({ zone: 'a' })
  const shareOf = (balance: ZoneBalance): number => 1 - (balance.shares('orders').get('a') ?? 0)
  for (let heartbeat = 0; heartbeat < 700; heartbeat++) {
    // The load of 109 hosts with one share and one with another: what is not sent away stays.
    const inFlight = Math.round(120 * (1 - (shareOf(early) * 109 + shareOf(late)) / 110))
    const loads = [loadOf('a', { inFlight }), loadOf('b', { slots: 200, inFlight: 20 })]
    early.update('orders', loads, heartbeat * 440)
    if (heartbeat >= 30) late.update('orders', loads, heartbeat * 440)
    if (heartbeat === 30) assert.ok(shareOf(early) > 0.5, `${shareOf(early)}`)
  }
  assert.ok(Math.abs(shareOf(early) - shareOf(late)) < 0.1, `${shareOf(early)} and ${shareOf(late)}`)
})

test.run()
