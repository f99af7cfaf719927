/** Tests of what a host believes. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { RoutingConfiguration } from '../routing/mod.ts'
import { createRoutingState } from './routing_state.ts'

const test = suite('createKnowledge')

function configuration (version: number, hosts: readonly string[]): RoutingConfiguration {
  return {
    version,
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    routes: hosts.map((host) => ({ name: host, host, prefix: '/a/', kind: 'idempotent', latencyGoalMs: 1, timeoutMs: 1, maximumAttempts: 1, priority: 0, targets: [] })),
    services: []
  }
}

test('offerConfiguration() never goes back, when an older version arrives later', () => {
  const knowledge = createRoutingState()
  assert.ok(knowledge.applyConfiguration(configuration(7, ['new.example'])))
  assert.not(knowledge.applyConfiguration(configuration(5, ['old.example'])))
  assert.not(knowledge.applyConfiguration(configuration(7, ['same.example'])))
  assert.is(knowledge.configuration()?.version, 7)
  assert.ok(knowledge.routes()?.match('new.example:80', '/a/b') !== null)
  assert.is(knowledge.routes()?.match('old.example', '/a/b'), null)
})

test('match() takes the longest prefix, whatever stands in the query', () => {
  const knowledge = createRoutingState()
  const base = configuration(1, ['x.example'])
  const [route] = base.routes
  if (route === undefined) return assert.unreachable()
  knowledge.applyConfiguration({ ...base, routes: [route, { ...route, name: 'longer', prefix: '/a/b/' }] })
  assert.is(knowledge.routes()?.match('X.example', '/a/b/c?d=/a/')?.name, 'longer')
  assert.is(knowledge.routes()?.match('x.example', '/a/?q=/a/b/')?.name, 'x.example')
  assert.is(knowledge.routes()?.match('x.example', '/b/'), null)
})

test('assumedWorkMs() follows the latency goals, when nobody has measured a service', () => {
  const knowledge = createRoutingState()
  const base = configuration(1, ['x.example', 'y.example'])
  const routes = base.routes.map((route, index) => ({ ...route, latencyGoalMs: index === 0 ? 1500 : 3000, targets: [{ service: 'slow', weight: 1 }] }))
  knowledge.applyConfiguration({ ...base, routes })
  assert.is(knowledge.assumedWorkMs('slow'), 450)
  assert.is(knowledge.assumedWorkMs('unrouted'), 120)
})

test('nextOwnerChange() resolves at the next change, and after its time without one', async () => {
  const knowledge = createRoutingState()
  const startedAt = performance.now()
  setTimeout(() => { knowledge.setOwners('s', [{ from: 0, to: 9, owner: { kind: 'owned', server: 'i-1' } }]) }, 20)
  await knowledge.waitForOwnerChange(5000)
  assert.ok(performance.now() - startedAt < 1000)
  assert.equal(knowledge.ownerOf('s', 9), { kind: 'owned', server: 'i-1' })
  assert.equal(knowledge.ownerOf('s', 10), { kind: 'unknown' })
  await knowledge.waitForOwnerChange(10)
})

test.run()
