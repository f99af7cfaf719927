/** Tests of the choice of a server under loads that occur in the users' services. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { RoutedServer } from '../routing/mod.ts'
import { chooseServer } from './choose_server.ts'
import { createServerLoads, type ServerLoads } from './server_loads.ts'
import { createZoneBalance, sumZoneLoads } from '../zone_balance/mod.ts'

const test = suite('chooseServer')

function serversOf (count: number, zones: readonly string[] = ['a']): RoutedServer[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `s${index}`, bornAt: 1, service: 'orders', address: `10.0.0.${index}:80`, zone: zones[index % zones.length] ?? 'a', slots: 6, leaving: false, warmUpLeftMs: 0
  }))
}

/** Creates a generator of the same random numbers in every run. */
function createRandom (): () => number {
  let state = 42
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648
    return state / 2_147_483_648
  }
}

function setViews (loads: ServerLoads, views: Readonly<Record<string, { readonly inFlight?: number, readonly workMs?: number, readonly failureShare?: number, readonly silent?: boolean }>>): void {
  loads.applyViews(new Map(Object.entries(views).map(([id, view]) => [id, { inFlight: 0, workMs: 100, failureShare: 0, silent: false, admitShare: 1, ...view }])))
}

function count (servers: readonly RoutedServer[], loads: ServerLoads, options: { readonly bodyBytes?: number, readonly times?: number, readonly host?: string, readonly limits?: Readonly<Record<string, number>>, readonly coldRates?: Readonly<Record<string, number>>, readonly exhausted?: readonly string[], readonly tried?: readonly string[], readonly chooseZone?: () => string | null } = {}): Map<string, number> {
  const random = createRandom()
  const counts = new Map<string, number>()
  for (let time = 0; time < (options.times ?? 1000); time++) {
    const chosen = chooseServer(servers, { loads, limitOf: (server) => options.limits?.[server.id] ?? null, isExhausted: (id) => options.exhausted?.includes(id) ?? false, warmUp: { isCold: ({ id }) => options.coldRates?.[id] !== undefined, requestsPerSecond: ({ id }) => options.coldRates?.[id] ?? null }, tried: new Set(options.tried), zone: 'a', host: options.host ?? 'h1', bodyBytes: options.bodyBytes ?? 0, chooseZone: options.chooseZone ?? (() => 'a'), random })
    counts.set(chosen?.id ?? '', (counts.get(chosen?.id ?? '') ?? 0) + 1)
  }
  return counts
}

test('chooseServer() spreads requests over all servers, when they have the same load', () => {
  const counts = count(serversOf(8), createServerLoads(() => 0))
  assert.ok(Math.max(...counts.values()) < 250 && counts.size === 8)
})

test('chooseServer() sends few requests to slow servers, when a third of the servers is 12 times slower', () => {
  const loads = createServerLoads(() => 0)
  setViews(loads, { s0: { workMs: 1200 }, s1: { workMs: 1200 }, s2: {}, s3: {}, s4: {}, s5: {} })
  const counts = count(serversOf(6), loads)
  assert.ok((counts.get('s0') ?? 0) + (counts.get('s1') ?? 0) < 20)
})

test('chooseServer() skips unresponsive servers, unless all are unresponsive', () => {
  const loads = createServerLoads(() => 0)
  setViews(loads, { s0: { silent: true }, s1: {}, s2: {} })
  assert.is(count(serversOf(3), loads).get('s0'), undefined)
  setViews(loads, { s0: { silent: true }, s1: { silent: true }, s2: { silent: true } })
  assert.is(count(serversOf(3), loads).size > 1, true)
})

test('chooseServer() sends fewer requests to a server, when only that server fails part of its requests', () => {
  const loads = createServerLoads(() => 0)
  setViews(loads, { s0: { failureShare: 0.5 }, s1: {}, s2: {}, s3: {} })
  assert.ok((count(serversOf(4), loads).get('s0') ?? 0) < 100)
})

test('chooseServer() keeps uploads in their zone, but only while a server there has a free slot', () => {
  const servers = serversOf(6, ['a', 'b', 'c'])
  const loads = createServerLoads(() => 0)
  setViews(loads, { s0: {}, s3: {} })
  assert.equal([...count(servers, loads, { bodyBytes: 60_000 }).keys()].sort(), ['s0', 's3'])
  const balance = createZoneBalance({ zone: 'a' })
  const request = { bodyBytes: 60_000, latencyGoalMs: 333, remainingMs: 1000 }
  const random = createRandom()
  const chooseZone = (): string | null => balance.chooseZone('orders', request, random())
  assert.equal([...count(servers, loads, { bodyBytes: 60_000, chooseZone }).keys()].sort(), ['s0', 's3'])
  setViews(loads, { s0: { inFlight: 6 }, s3: { inFlight: 6 } })
  for (let now = 0; now < 10_000; now += 440) balance.update('orders', sumZoneLoads(servers, { loads }), now)
  assert.ok(count(servers, loads, { bodyBytes: 60_000, chooseZone }).size > 2)
})

test('chooseServer() sends requests to the chosen zone only, when servers of another zone have a lower expected latency', () => {
  const servers = serversOf(6, ['a', 'b', 'c'])
  const loads = createServerLoads(() => 0)
  setViews(loads, { s0: { inFlight: 5 }, s1: { workMs: 300 }, s3: { inFlight: 5 }, s4: { workMs: 300 } })
  assert.equal([...count(servers, loads).keys()].sort(), ['s0', 's3'])
  assert.equal([...count(servers, loads, { chooseZone: () => 'b' }).keys()].sort(), ['s1', 's4'])
})

test('chooseServer() tries the servers of other zones, when those of the chosen and the own zone have been tried or are unresponsive', () => {
  const servers = serversOf(6, ['a', 'b', 'c'])
  const loads = createServerLoads(() => 0)
  setViews(loads, { s3: { silent: true } })
  assert.equal([...count(servers, loads, { tried: ['s0'] }).keys()].sort(), ['s1', 's2', 's4', 's5'])
  assert.equal([...count(servers, loads, { tried: ['s1', 's4'], chooseZone: () => 'b' }).keys()].sort(), ['s0'])
  setViews(loads, { s0: { silent: true }, s3: { silent: true } })
  assert.equal([...count(servers, loads).keys()].sort(), ['s1', 's2', 's4', 's5'])
  assert.ok(count(servers, loads, { chooseZone: () => null }).size > 0)
})

test('chooseServer() finds a free slot in another zone, when a request was refused in its own, which is full, and only then', () => {
  const servers = serversOf(6, ['a', 'b', 'c'])
  const loads = createServerLoads(() => 0)
  const full = { inFlight: 6 }
  setViews(loads, { s0: full, s1: full, s2: full, s3: full, s4: full, s5: {} })
  assert.equal([...count(servers, loads).keys()].sort(), ['s0', 's3'])
  assert.equal([...count(servers, loads, { tried: ['s0'] }).keys()], ['s5'])
  setViews(loads, { s5: full })
  assert.equal([...count(servers, loads, { tried: ['s0'] }).keys()], ['s3'])
})

test('chooseServer() samples a server less often, when the server has named a limit below its speed', () => {
  const servers = serversOf(12)
  const loads = createServerLoads(() => 0)
  const shareOf = (limits: Readonly<Record<string, number>>): number => (count(servers, loads, { limits, times: 6000 }).get('s0') ?? 0) / 6000
  // Each server runs several dozen requests a second.
  assert.ok(shareOf({ s0: 1 }) < shareOf({}) / 5, `${shareOf({ s0: 1 })} of the requests`)
})

test('chooseServer() skips servers that have reached their limit, unless all have', () => {
  const servers = serversOf(3)
  const loads = createServerLoads(() => 0)
  assert.equal([...count(servers, loads, { exhausted: ['s0', 's1'] }).keys()], ['s2'])
  assert.is(count(servers, loads, { exhausted: ['s0', 's1', 's2'] }).size, 3)
})

test('chooseServer() returns null, when every server has been tried', () => {
  assert.is(chooseServer(serversOf(1), { loads: createServerLoads(() => 0), limitOf: () => null, isExhausted: () => false, tried: new Set(['s0']), zone: 'a', host: 'h1', bodyBytes: 0, chooseZone: () => 'a', random: createRandom() }), null)
})

test('chooseServer() uses a subset of 12 servers that differs between hosts, when a service is large and the subset has free slots', () => {
  const servers = serversOf(90, ['a', 'b', 'c'])
  const loads = createServerLoads(() => 0)
  const firstSubset = [...count(servers, loads, { host: 'h1' }).keys()]
  const secondSubset = [...count(servers, loads, { host: 'h2' }).keys()]
  assert.ok(firstSubset.length <= 12)
  assert.ok(secondSubset.some((id) => !firstSubset.includes(id)))
  loads.applyViews(new Map(firstSubset.map((id) => [id, { inFlight: 6, workMs: 100, failureShare: 0, silent: false, admitShare: 1 }])))
  assert.ok(count(servers, loads, { host: 'h1' }).size > 12)
})

test('chooseServer() sends a cold server no more than its part, when it is idle and the warm ones are busy', () => {
  const loads = createServerLoads(() => 0)
  setViews(loads, { s0: {}, s1: { inFlight: 6 }, s2: { inFlight: 6 }, s3: { inFlight: 6 } })
  // The warm servers run 60 requests a second each.
  const received = count(serversOf(4), loads, { coldRates: { s0: 5 }, times: 4000 }).get('s0') ?? 0
  assert.ok(received > 0 && received < 4000 * 5 / 185 * 1.3, `${received} of 4000`)
  assert.is(count(serversOf(2), loads, { coldRates: { s0: 5, s1: 5 } }).size, 2)
})

test('chooseServer() uses the rest of a large service, when only a cold server of its subset has a free slot', () => {
  const servers = serversOf(40)
  const loads = createServerLoads(() => 0)
  const subset = [...count(servers, loads).keys()]
  const [cold = '', ...busy] = subset
  setViews(loads, Object.fromEntries(busy.map((id) => [id, { inFlight: 6 }])))
  const counts = count(servers, loads, { coldRates: { [cold]: 5 } })
  assert.ok(busy.reduce((sum, id) => sum + (counts.get(id) ?? 0), 0) < 100)
})

test.run()
