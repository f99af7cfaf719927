/**
 * Properties of several hosts' decision code under kills, pauses, cuts,
 * outages, lost answers, delays and returning servers, in any interleaving.
 */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { allFaultSteps, hostFaultSteps, MAXIMUM_FAULT_DURATION_MS, propertyParameters } from '../../testing/arbitrary_steps.ts'
import { createClusterSimulation, type ClusterSimulation, type ClusterSimulationOptions } from '../../testing/cluster_simulation.ts'
import type { Step } from '../../testing/fault.ts'

const test = suite('createHostCore')

/** Time in which a cell of hosts that have all just started serves every slice, in milliseconds. */
const START_MS = 4000

/** Time after the last fault in which every slice is served, in milliseconds. */
const RECOVERY_MS = 6000

/** Time in which the servers have been spread over the dispatchers, in milliseconds. */
const SPREAD_MS = 20_000

/** Time after a loss in which the users ask for a key to be served again, in milliseconds. */
const LOSS_BOUND_MS = 2000

/** Longest time that a planned change of dispatcher takes, in milliseconds. */
const HANDOVER_MS = 500

/** Time after which a leaving server gets nothing new, in milliseconds. */
const LEAVING_BOUND_MS = 3000

const CHECKED = (): boolean => true
const MIXED = (server: number): boolean => server % 2 === 0

function startWorld (options: Partial<ClusterSimulationOptions> & { readonly seed: number }): ClusterSimulation {
  const world = createClusterSimulation({ hosts: 3, servers: 4, slices: 8, checksGrants: CHECKED, ...options })
  world.advance(START_MS)
  return world
}

function runSteps (world: ClusterSimulation, steps: readonly Step[]): void {
  for (const step of steps) {
    world.advance(step.afterMs)
    world.inject(step.fault)
  }
}

/** Slices that no host may send to at any moment of the time that follows. */
function neverServedWithin (world: ClusterSimulation, lengthMs: number): number[] {
  let unserved = world.unservedSlices()
  for (const until = world.now() + lengthMs; world.now() < until; world.advance(20)) {
    const now = world.unservedSlices()
    unserved = unserved.filter((slice) => now.includes(slice))
  }
  return unserved
}

function describe (world: ClusterSimulation): string {
  return JSON.stringify(world.violations.slice(0, 3))
}

test('createHostCore() keeps one owner for each key, when all servers check grants and any fault comes', () => {
  fc.assert(fc.property(fc.nat(), fc.integer({ min: 1, max: 5 }), allFaultSteps, (seed, hosts, steps) => {
    const world = startWorld({ seed, hosts })
    runSteps(world, steps)
    world.advance(MAXIMUM_FAULT_DURATION_MS)
    assert.is(world.violations.length, 0, describe(world))
  }), propertyParameters(40))
})

test('createHostCore() keeps one owner for each key, when some servers do not check grants and any fault comes', () => {
  fc.assert(fc.property(fc.nat(), fc.integer({ min: 1, max: 5 }), allFaultSteps, (seed, hosts, steps) => {
    const world = startWorld({ seed, hosts, checksGrants: MIXED })
    runSteps(world, steps)
    world.advance(MAXIMUM_FAULT_DURATION_MS)
    assert.is(world.violations.length, 0, describe(world))
  }), propertyParameters(40))
})

test('createHostCore() never loses an announced assignment, when hosts and the platform fail', () => {
  fc.assert(fc.property(fc.nat(), fc.integer({ min: 2, max: 5 }), hostFaultSteps, (seed, hosts, steps) => {
    const world = startWorld({ seed, hosts, keepsAnnounced: true })
    runSteps(world, steps)
    world.clearFaults()
    world.advance(MAXIMUM_FAULT_DURATION_MS + RECOVERY_MS)
    assert.is(world.violations.length, 0, describe(world))
  }), propertyParameters(40))
})

test('createHostCore() serves every slice again, when the faults have ended', () => {
  fc.assert(fc.property(fc.nat(), fc.integer({ min: 1, max: 5 }), allFaultSteps, (seed, hosts, steps) => {
    const world = startWorld({ seed, hosts, checksGrants: MIXED })
    runSteps(world, steps)
    world.clearFaults()
    world.advance(MAXIMUM_FAULT_DURATION_MS + RECOVERY_MS)
    assert.equal(neverServedWithin(world, HANDOVER_MS), [])
  }), propertyParameters(40))
})

test('createHostCore() serves every slice again within 2 s, when one host, leader or server is lost or freezes', () => {
  const loss = fc.oneof(
    fc.record({ kind: fc.constant('kill' as const), host: fc.nat({ max: 4 }) }),
    fc.record({ kind: fc.constant('pause' as const), host: fc.nat({ max: 4 }), lengthMs: fc.constant(MAXIMUM_FAULT_DURATION_MS) }),
    fc.record({ kind: fc.constant('kill-server' as const), server: fc.nat({ max: 3 }) }),
    fc.record({ kind: fc.constant('freeze-server' as const), server: fc.constantFrom(0, 2), lengthMs: fc.constant(MAXIMUM_FAULT_DURATION_MS) })
  )
  fc.assert(fc.property(fc.nat(), fc.integer({ min: 3, max: 5 }), fc.boolean(), loss, (seed, hosts, isPlatformDown, fault) => {
    const world = startWorld({ seed, hosts, checksGrants: MIXED })
    world.advance(SPREAD_MS)
    if (isPlatformDown) world.inject({ kind: 'platform-down', hosts: [0, 1, 2, 3, 4], lengthMs: MAXIMUM_FAULT_DURATION_MS })
    world.inject(fault)
    assert.equal(neverServedWithin(world, LOSS_BOUND_MS), [])
    assert.is(world.violations.length, 0, describe(world))
  }), propertyParameters(40))
})

test('createHostCore() serves every slice again within 2 s, when a deputy has missed a ping of the lost leader', () => {
  const world = startWorld({ seed: 2147483638, hosts: 4, checksGrants: MIXED })
  world.advance(SPREAD_MS)
  world.inject({ kind: 'platform-down', hosts: [0, 1, 2, 3], lengthMs: MAXIMUM_FAULT_DURATION_MS })
  world.inject({ kind: 'kill', host: 2 })
  assert.equal(neverServedWithin(world, LOSS_BOUND_MS), [])
})

test('createHostCore() gives a leaving server nothing new after the bound, when hosts fail', () => {
  fc.assert(fc.property(fc.nat(), hostFaultSteps, (seed, steps) => {
    const world = startWorld({ seed, hosts: 3 })
    world.inject({ kind: 'drain', server: 0 })
    const drainedAt = world.now()
    runSteps(world, steps.filter((step) => step.fault.kind !== 'platform-down' && step.fault.kind !== 'drain'))
    world.advance(MAXIMUM_FAULT_DURATION_MS)
    assert.equal(world.runsStartedAfter('server-0', drainedAt + LEAVING_BOUND_MS), [])
  }), propertyParameters(40))
})

test.run()
