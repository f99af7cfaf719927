/** Tests of the routing state. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { RoutingConfiguration } from '../routing/mod.ts'
import { createRoutingState } from './routing_state.ts'

const test = suite('createRoutingState')

function configuration (version: number, hosts: readonly string[]): RoutingConfiguration {
  return {
    version,
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    routes: hosts.map((host) => ({ name: host, host, prefix: '/a/', kind: 'idempotent', latencyGoalMs: 1, timeoutMs: 1, maximumAttempts: 1, priority: 0, targets: [] })),
    services: []
  }
}

test('applyConfiguration() keeps the newest configuration, when an older version arrives later', () => {
  const routingState = createRoutingState()
  assert.ok(routingState.applyConfiguration(configuration(7, ['new.example'])))
  assert.not(routingState.applyConfiguration(configuration(5, ['old.example'])))
  assert.not(routingState.applyConfiguration(configuration(7, ['same.example'])))
  assert.is(routingState.configuration()?.version, 7)
  assert.ok(routingState.routes()?.match('new.example:80', '/a/b') !== null)
  assert.is(routingState.routes()?.match('old.example', '/a/b'), null)
})

test('match() selects the longest prefix, whatever the query contains', () => {
  const routingState = createRoutingState()
  const base = configuration(1, ['x.example'])
  const [route] = base.routes
  if (route === undefined) return assert.unreachable()
  routingState.applyConfiguration({ ...base, routes: [route, { ...route, name: 'longer', prefix: '/a/b/' }] })
  assert.is(routingState.routes()?.match('X.example', '/a/b/c?d=/a/')?.name, 'longer')
  assert.is(routingState.routes()?.match('x.example', '/a/?q=/a/b/')?.name, 'x.example')
  assert.is(routingState.routes()?.match('x.example', '/b/'), null)
})

test('assumedWorkMs() follows the latency goals, when a service has no measurements', () => {
  const routingState = createRoutingState()
  const base = configuration(1, ['x.example', 'y.example'])
  const routes = base.routes.map((route, index) => ({ ...route, latencyGoalMs: index === 0 ? 1500 : 3000, targets: [{ service: 'slow', weight: 1 }] }))
  routingState.applyConfiguration({ ...base, routes })
  assert.is(routingState.assumedWorkMs('slow'), 450)
  assert.is(routingState.assumedWorkMs('unrouted'), 120)
})

// Guards against an evacuation that can't be withdrawn, because the record of servers that leave by themselves or the published list has picked it up.
test('setEvacuations() makes the servers of a zone leaving until it is withdrawn, and changes neither the list nor what is known of servers that leave', () => {
  let now = 0
  const routingState = createRoutingState({ now: () => now })
  const listed = ['a', 'b'].map((zone) => ({ id: `i-${zone}`, bornAt: 1, service: 's', address: `${zone}:80`, zone, slots: 1, leaving: false, warmUpLeftMs: 0 }))
  routingState.setServers(listed)
  const digest = routingState.serversDigest()
  routingState.setEvacuations(['a', 'nowhere'])
  now = 700
  routingState.setEvacuations(['a'])
  const evacuated = routingState.server('i-a')
  assert.is(evacuated?.leaving, true)
  assert.equal(routingState.availableServers('s').map(({ id }) => id), ['i-b'])
  assert.equal(listed.map((server) => [routingState.isEvacuated(server), routingState.leavingForMs(server)]), [[true, 700], [false, 0]])
  assert.not(routingState.adoptLeaving())
  assert.equal(routingState.unlistedLeaving(), [])
  assert.equal(routingState.servers(), listed)
  assert.is(routingState.serversDigest(), digest)
  // A list that arrives during the evacuation does not end it.
  routingState.setServers(listed.map((server) => ({ ...server })))
  assert.equal([...routingState.evacuatedZones()], ['a'])
  assert.is(routingState.server('i-a')?.leaving, true)
  routingState.setEvacuations([])
  assert.equal(listed.map(({ id }) => routingState.server(id)), listed)
  assert.is(routingState.availableServers('s').length, 2)
})

test('waitForOwnerChange() resolves at the next change, or at its timeout without one', async () => {
  const routingState = createRoutingState()
  const startedAt = performance.now()
  setTimeout(() => { routingState.setOwners('s', [{ from: 0, to: 9, owner: { kind: 'owned', server: 'i-1' } }]) }, 20)
  await routingState.waitForOwnerChange(5000)
  assert.ok(performance.now() - startedAt < 1000)
  assert.equal(routingState.ownerOf('s', 9), { kind: 'owned', server: 'i-1' })
  assert.equal(routingState.ownerOf('s', 10), { kind: 'unknown' })
  await routingState.waitForOwnerChange(10)
})

test.run()
