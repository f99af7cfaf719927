/** Tests of the limit on requests to cold servers, under the ways in which servers become cold. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { countWithin } from '../../testing/count_within.ts'
import type { RoutedServer } from '../routing/mod.ts'
import { hostRate } from './host_rate.ts'
import { createWarmUpTracker, type WarmUpChange, type WarmUpTracker } from './warm_up_tracker.ts'

const test = suite('createWarmUpTracker')

/** Most requests that a cold server tolerates in one second, with the usual figures. */
const TOLERATED = 15.5
const warmUp = { durationMs: 3000, requestsPerSecond: 5 }
const bound = { overshoot: 1.5, slack: 8 }

function serverOf (id: string, properties: Partial<RoutedServer> = {}): RoutedServer {
  return { id, bornAt: 1, service: 'orders', address: `${id}:80`, zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0, ...properties }
}

interface TestHost { readonly tracker: WarmUpTracker, readonly changes: WarmUpChange[] }

/** Hosts with one clock, each of which takes itself for the relay of all servers, if `isRelay`. */
function createHosts (count: number, { isRelay = true, requestsPerSecond = 5 }: { readonly isRelay?: boolean, readonly requestsPerSecond?: number } = {}): { readonly hosts: TestHost[], readonly clock: { now: number } } {
  const clock = { now: 100_000 }
  const hosts = Array.from({ length: count }, () => {
    const changes: WarmUpChange[] = []
    const warmUpOf = (): typeof warmUp | undefined => requestsPerSecond === 0 ? undefined : { ...warmUp, requestsPerSecond }
    return { changes, tracker: createWarmUpTracker({ warmUpOf, bound, isRelay: () => isRelay, onChange (change) { changes.push(change) }, now: () => clock.now }) }
  })
  return { hosts, clock }
}

/** Each host tries to send to each server every 10 ms; returns the times of what the servers received. */
function sendLoad (hosts: readonly TestHost[], servers: readonly RoutedServer[], { clock, forMs, onStep }: { readonly clock: { now: number }, readonly forMs: number, readonly onStep?: () => void }): Map<string, number[]> {
  const received = new Map<string, number[]>(servers.map(({ id }) => [id, []]))
  for (const endsAt = clock.now + forMs; clock.now < endsAt; clock.now += 10) {
    onStep?.()
    for (const server of servers) for (const { tracker } of hosts) if (tracker.take(server) === null) received.get(server.id)?.push(clock.now)
  }
  return received
}

function mostInSecond (received: ReadonlyMap<string, number[]>): number {
  return Math.max(...[...received.values()].map((times) => countWithin(times, 1000)))
}

test('take() keeps each server within what it tolerates, when servers are released one by one', () => {
  const { hosts, clock } = createHosts(3)
  let servers = Array.from({ length: 6 }, (_, index) => serverOf(`s${index}`))
  for (const { tracker } of hosts) tracker.onListed(servers)
  for (let index = 0; index < servers.length; index++) {
    const released = serverOf(`s${index}`, { bornAt: 2, warmUpLeftMs: 2900 })
    servers = servers.map((server) => server.id === released.id ? released : server)
    for (const { tracker } of hosts) tracker.onListed(servers)
    const received = sendLoad(hosts, [released], { clock, forMs: 3000 })
    assert.ok(mostInSecond(received) <= TOLERATED, `${mostInSecond(received)} in one second`)
    assert.ok((received.get(released.id)?.length ?? 0) >= 3 * 5, 'a cold server is not left without requests')
    assert.ok(hosts.every(({ tracker }) => !tracker.isCold(released) && servers.every((server) => !tracker.isCold(server))))
  }
  assert.equal(hosts[0]?.changes.slice(0, 1).map(({ server, isCold, reason }) => [server.id, isCold, reason]), [['s0', true, 'started']])
})

test('take() keeps each server within what it tolerates, when a whole zone comes back at once', () => {
  const { hosts, clock } = createHosts(3)
  const servers = Array.from({ length: 20 }, (_, index) => serverOf(`s${index}`, { zone: index < 16 ? 'b' : 'a' }))
  const returning = servers.filter(({ zone }) => zone === 'b')
  for (const { tracker } of hosts) {
    tracker.onListed(servers)
    tracker.recordZoneReturned('b')
  }
  assert.is(hosts[0]?.tracker.describe().length, 16)
  const received = sendLoad(hosts, returning, { clock, forMs: 3000 })
  assert.ok(mostInSecond(received) <= TOLERATED, `${mostInSecond(received)} in one second`)
  assert.ok(returning.every((server) => hosts.every(({ tracker }) => !tracker.isCold(server))))
})

test('take() keeps a server within what it tolerates, when it restarts under the same id between two reads of the list', () => {
  const { hosts, clock } = createHosts(1)
  const [host] = hosts
  const server = serverOf('s0')
  host?.tracker.onListed([server])
  sendLoad(hosts, [server], { clock, forMs: 1000 })
  // It refuses connections, and accepts them again before its entry changes.
  for (let refused = 0; refused < 3; refused++) {
    host?.tracker.recordRefusedConnection(server)
    clock.now += 100
  }
  assert.ok(mostInSecond(sendLoad(hosts, [server], { clock, forMs: 600 })) <= TOLERATED)
  const restarted = serverOf('s0', { bornAt: 2, warmUpLeftMs: 2400 })
  host?.tracker.onListed([restarted])
  assert.ok(mostInSecond(sendLoad(hosts, [restarted], { clock, forMs: 2900 })) <= TOLERATED)
  clock.now += 600
  host?.tracker.tick()
  assert.equal(host?.changes.map(({ server: { bornAt }, isCold, reason }) => [bornAt, isCold, reason]), [[1, true, 'unreachable'], [2, true, 'started'], [2, false, 'started']])
})

test('take() sends nothing to a server until a second has passed, when it turns cold while it gets traffic', () => {
  const { hosts, clock } = createHosts(3)
  const server = serverOf('s0')
  for (const { tracker } of hosts) tracker.onListed([server])
  assert.is(sendLoad(hosts, [server], { clock, forMs: 1000 }).get('s0')?.length, 300)
  const cold = serverOf('s0', { warmUpLeftMs: 3000 })
  for (const { tracker } of hosts) tracker.onListed([cold])
  assert.is(sendLoad(hosts, [cold], { clock, forMs: 1000 }).get('s0')?.length, 0)
  assert.ok(mostInSecond(sendLoad(hosts, [cold], { clock, forMs: 1900 })) <= TOLERATED)
  clock.now += 100
  hosts[0]?.tracker.tick()
  const [became, ended] = hosts[0]?.changes ?? []
  assert.equal([became?.reason, became?.durationMs, ended?.isCold], ['stated', 3000, false])
  assert.ok((ended?.sent ?? 0) >= 5 && (ended?.refused ?? 0) > 100)
})

test('take() keeps the sum within what a server tolerates in every second, when three hosts each believe that they are the relay and requests come and are returned at any time', () => {
  fc.assert(fc.property(fc.array(fc.tuple(fc.nat({ max: 2 }), fc.nat({ max: 60 }), fc.boolean(), fc.nat({ max: 1500 })), { minLength: 100, maxLength: 200 }), (requests) => {
    const { hosts, clock } = createHosts(3)
    const server = serverOf('s0')
    for (const { tracker } of hosts) {
      tracker.onListed([server])
      tracker.recordZoneReturned('a')
    }
    const received: number[][] = [[], [], []]
    const returns: Array<{ readonly at: number, readonly takenAt: number, readonly tracker: WarmUpTracker }> = []
    for (const [index, afterMs, isReturned, returnedAfterMs] of requests) {
      clock.now += afterMs
      for (const due of returns.filter(({ at }) => at <= clock.now)) {
        returns.splice(returns.indexOf(due), 1)
        due.tracker.returnTaken(server, due.takenAt)
      }
      const tracker = hosts[index]?.tracker
      if (tracker?.isCold(server) !== true || tracker.take(server) !== null) continue
      // Requests that receive 421 do not count.
      if (isReturned) returns.push({ at: clock.now + returnedAfterMs, takenAt: clock.now, tracker })
      else received[index]?.push(clock.now)
    }
    for (const times of received) assert.ok(countWithin(times, 1000) <= warmUp.requestsPerSecond)
    assert.ok(countWithin(received.flat().sort((left, right) => left - right), 1000) <= TOLERATED)
  }), propertyParameters(300))
})

test('take() returns the time until the server is warm, when this host is not its relay', () => {
  const { hosts, clock } = createHosts(1, { isRelay: false })
  const server = serverOf('s0', { warmUpLeftMs: 2000 })
  hosts[0]?.tracker.onListed([server])
  assert.is(hosts[0]?.tracker.take(server), 2000)
  assert.is(sendLoad(hosts, [server], { clock, forMs: 2000 }).get('s0')?.length, 0)
  assert.is(hosts[0]?.tracker.take(server), null)
})

test('onListed() extends the time only by news, when lists repeat an entry that was read long ago', () => {
  const { hosts: [host], clock } = createHosts(1)
  const stale = serverOf('s0', { warmUpLeftMs: 3000 })
  host?.tracker.onListed([stale])
  clock.now += 2000
  host?.tracker.onListed([stale, serverOf('s1')])
  assert.is(host?.tracker.coldForMs(stale), 1000)
  clock.now += 60_000
  host?.tracker.onListed([stale, serverOf('s1')])
  assert.equal([host?.tracker.isCold(stale), host?.tracker.isWarmingUp(stale)], [false, false])
})

test('takeNotices() returns servers that became cold again, and none whose entry only says so again', () => {
  const { hosts: [leader, follower], clock } = createHosts(2)
  for (const host of [leader, follower]) host?.tracker.onListed([serverOf('s0'), serverOf('s1')])
  leader?.tracker.onListed([serverOf('s0', { warmUpLeftMs: 2800 }), serverOf('s1')])
  const notices = leader?.tracker.takeNotices() ?? []
  assert.equal(notices, [['s0', 1, 2800]])
  follower?.tracker.recordNotices(notices)
  assert.is(follower?.tracker.coldForMs(serverOf('s0')), 2800)
  clock.now += 600
  // The entry was written 200 ms before it was read.
  leader?.tracker.onListed([serverOf('s0', { warmUpLeftMs: 2400 }), serverOf('s1')])
  assert.equal(leader?.tracker.takeNotices(), [])
  // What this host alone has seen may be its own fault.
  leader?.tracker.recordRefusedConnection(serverOf('s1'))
  assert.equal([leader?.tracker.takeNotices(), leader?.tracker.notices()], [[], [['s0', 1, 2400]]])
})

test('take() limits nothing, when the service states no request rate', () => {
  const { hosts, clock } = createHosts(1, { requestsPerSecond: 0 })
  const server = serverOf('s0', { warmUpLeftMs: 3000 })
  hosts[0]?.tracker.onListed([server])
  hosts[0]?.tracker.recordRefusedConnection(server)
  assert.is(sendLoad(hosts, [server], { clock, forMs: 1000 }).get('s0')?.length, 100)
  assert.equal([hosts[0]?.changes, hosts[0]?.tracker.describe(), hosts[0]?.tracker.isWarmingUp(server)], [[], [], true])
})

test('hostRate() leaves the bound intact for three hosts, when the rate is low, high or broken', () => {
  for (const requestsPerSecond of [0.4, 1, 5, 5.9, 20, 300]) {
    const rate = hostRate({ durationMs: 0, requestsPerSecond }, bound)
    assert.ok(rate >= 1 && rate <= Math.max(1, requestsPerSecond) && rate * 3 <= requestsPerSecond * 1.5 + 8, `${rate} for ${requestsPerSecond}`)
  }
  assert.is(hostRate({ durationMs: 0, requestsPerSecond: 20.5 }, null), 20)
})

test.run()
