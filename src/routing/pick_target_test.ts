/** Tests of the selection of a route's service. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { pickTarget } from './pick_target.ts'
import { RequestKind, type Route } from './routing_types.ts'

const test = suite('pickTarget')
const route: Route = {
  name: 'lookups', host: 'one.example', prefix: '/', kind: RequestKind.once, latencyGoalMs: 1, timeoutMs: 1, maximumAttempts: 1, priority: 0, targets: [{ service: 'old', weight: 3 }, { service: 'new', weight: 1 }]
}

test('pickTarget() selects each service in proportion to its weight, when the random numbers are evenly distributed', () => {
  const picks = Array.from({ length: 1000 }, (_, index) => pickTarget(route, index / 1000))
  assert.is(picks.filter((service) => service === 'old').length, 750)
  assert.is(picks.filter((service) => service === 'new').length, 250)
})

test('pickTarget() returns null, when the route has no targets', () => {
  assert.is(pickTarget({ ...route, targets: [] }, 0.5), null)
})

test.run()
