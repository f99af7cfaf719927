/** Tests of differences between configurations. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { applyConfigurationChange, diffConfigurations } from './configuration_change.ts'
import { RequestKind, type Route, type RoutingConfiguration } from './routing_types.ts'

const test = suite('describeConfigurationChange')

function createRoute (index: number, service = 'lookups'): Route {
  return { name: `r-${index}`, host: 'one.example', prefix: `/p${index}/`, kind: RequestKind.idempotent, latencyGoalMs: 300, timeoutMs: 600, maximumAttempts: 2, priority: 0, targets: [{ service, weight: 1 }] }
}

function createConfiguration (version: number, routes: readonly Route[]): RoutingConfiguration {
  return {
    version,
    limits: { headerBytes: 1, bodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 },
    routes,
    services: [{ name: 'lookups', keyed: true, maximumConnections: 9, coldKeyMs: 0 }]
  }
}

const many = Array.from({ length: 2000 }, (_, index) => createRoute(index))

test('applyConfigurationChange() makes the later version, when routes were added, moved and removed', () => {
  const before = createConfiguration(3, many)
  const after = createConfiguration(8, [...many.slice(0, 10), createRoute(10, 'orders'), ...many.slice(12), createRoute(3000)])
  const change = diffConfigurations(before, after)
  assert.ok(change !== null)
  const made = applyConfigurationChange(before, change)
  assert.equal([...made?.routes ?? []].sort(byPrefix), [...after.routes].sort(byPrefix))
  assert.is(made?.version, 8)
})

test('describeConfigurationChange() is short, when one of 2000 routes has changed', () => {
  const change = diffConfigurations(createConfiguration(3, many), createConfiguration(4, [createRoute(0, 'orders'), ...many.slice(1)]))
  assert.ok(JSON.stringify(change).length < 1000)
})

test('applyConfigurationChange() returns null, when another version is in force', () => {
  const change = diffConfigurations(createConfiguration(3, many), createConfiguration(4, many))
  assert.ok(change !== null)
  assert.is(applyConfigurationChange(createConfiguration(2, many), change), null)
})

test('describeConfigurationChange() returns null, when two routes have the same host and prefix', () => {
  assert.is(diffConfigurations(createConfiguration(3, [createRoute(1), createRoute(1)]), createConfiguration(4, [])), null)
})

function byPrefix (left: Route, right: Route): number {
  return left.prefix.localeCompare(right.prefix)
}

test.run()
