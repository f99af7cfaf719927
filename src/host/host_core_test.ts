/**
 * Properties of several hosts' decision code under any interleaving of kills,
 * pauses, cuts, outages, lost responses, delays and returning servers.
 */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { allFaultSteps, hostFaultSteps, MAXIMUM_FAULT_DURATION_MS, propertyParameters } from '../../testing/arbitrary_steps.ts'
import { createClusterSimulation, type ClusterSimulation, type ClusterSimulationOptions } from '../../testing/cluster_simulation.ts'
import type { Step } from '../../testing/fault.ts'

const test = suite('createHostCore')

/** Time within which a cell serves every slice after all its hosts have started, in milliseconds. */
const STARTUP_MS = 4000

/** Time after the last fault within which every slice is served, in milliseconds. */
const RECOVERY_MS = 6000

/** Time within which the servers are spread over the dispatchers, in milliseconds. */
const BALANCING_MS = 20_000

/** Time after a loss within which users require a key to be served again, in milliseconds. */
const LOSS_RECOVERY_LIMIT_MS = 2000

/** Maximum duration of a planned change of dispatcher, in milliseconds. */
const MAXIMUM_HANDOVER_MS = 500

/** Time after which a leaving server receives no new requests, in milliseconds. */
const LEAVING_LIMIT_MS = 3000

const EVERY_SERVER_CHECKS = (): boolean => true
const EVEN_SERVERS_CHECK = (server: number): boolean => server % 2 === 0

function startSimulation (options: Partial<ClusterSimulationOptions> & { readonly seed: number }): ClusterSimulation {
  const simulation = createClusterSimulation({ hosts: 3, servers: 4, slices: 8, checksGrants: EVERY_SERVER_CHECKS, ...options })
  simulation.advance(STARTUP_MS)
  return simulation
}

function runSteps (simulation: ClusterSimulation, steps: readonly Step[]): void {
  for (const step of steps) {
    simulation.advance(step.afterMs)
    simulation.inject(step.fault)
  }
}

/** Returns the slices that stay unserved for the whole of the given time. */
function unservedThroughout (simulation: ClusterSimulation, lengthMs: number): number[] {
  let unserved = simulation.unservedSlices()
  for (const until = simulation.now() + lengthMs; simulation.now() < until; simulation.advance(20)) {
    const now = simulation.unservedSlices()
    unserved = unserved.filter((slice) => now.includes(slice))
  }
  return unserved
}

function formatViolations (simulation: ClusterSimulation): string {
  return JSON.stringify(simulation.violations.slice(0, 3))
}

test('createHostCore() keeps one owner for each key, when all servers check grants and any fault occurs', () => {
  fc.assert(fc.property(fc.nat(), fc.integer({ min: 1, max: 5 }), allFaultSteps, (seed, hosts, steps) => {
    const simulation = startSimulation({ seed, hosts })
    runSteps(simulation, steps)
    simulation.advance(MAXIMUM_FAULT_DURATION_MS)
    assert.is(simulation.violations.length, 0, formatViolations(simulation))
  }), propertyParameters(40))
})

test('createHostCore() keeps one owner for each key, when some servers do not check grants and any fault occurs', () => {
  fc.assert(fc.property(fc.nat(), fc.integer({ min: 1, max: 5 }), allFaultSteps, (seed, hosts, steps) => {
    const simulation = startSimulation({ seed, hosts, checksGrants: EVEN_SERVERS_CHECK })
    runSteps(simulation, steps)
    simulation.advance(MAXIMUM_FAULT_DURATION_MS)
    assert.is(simulation.violations.length, 0, formatViolations(simulation))
  }), propertyParameters(40))
})

test('createHostCore() never loses an announced assignment, when hosts and the platform fail', () => {
  fc.assert(fc.property(fc.nat(), fc.integer({ min: 2, max: 5 }), hostFaultSteps, (seed, hosts, steps) => {
    const simulation = startSimulation({ seed, hosts, keepsAnnounced: true })
    runSteps(simulation, steps)
    simulation.clearFaults()
    simulation.advance(MAXIMUM_FAULT_DURATION_MS + RECOVERY_MS)
    assert.is(simulation.violations.length, 0, formatViolations(simulation))
  }), propertyParameters(40))
})

test('createHostCore() serves every slice again, when the faults have ended', () => {
  fc.assert(fc.property(fc.nat(), fc.integer({ min: 1, max: 5 }), allFaultSteps, (seed, hosts, steps) => {
    const simulation = startSimulation({ seed, hosts, checksGrants: EVEN_SERVERS_CHECK })
    runSteps(simulation, steps)
    simulation.clearFaults()
    simulation.advance(MAXIMUM_FAULT_DURATION_MS + RECOVERY_MS)
    assert.equal(unservedThroughout(simulation, MAXIMUM_HANDOVER_MS), [])
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
    const simulation = startSimulation({ seed, hosts, checksGrants: EVEN_SERVERS_CHECK })
    simulation.advance(BALANCING_MS)
    if (isPlatformDown) simulation.inject({ kind: 'platform-down', hosts: [0, 1, 2, 3, 4], lengthMs: MAXIMUM_FAULT_DURATION_MS })
    simulation.inject(fault)
    assert.equal(unservedThroughout(simulation, LOSS_RECOVERY_LIMIT_MS), [])
    assert.is(simulation.violations.length, 0, formatViolations(simulation))
  }), propertyParameters(40))
})

test('createHostCore() serves every slice again within 2 s, when a deputy has missed a ping of the lost leader', () => {
  const simulation = startSimulation({ seed: 2147483638, hosts: 4, checksGrants: EVEN_SERVERS_CHECK })
  simulation.advance(BALANCING_MS)
  simulation.inject({ kind: 'platform-down', hosts: [0, 1, 2, 3], lengthMs: MAXIMUM_FAULT_DURATION_MS })
  simulation.inject({ kind: 'kill', host: 2 })
  assert.equal(unservedThroughout(simulation, LOSS_RECOVERY_LIMIT_MS), [])
})

test('createHostCore() sends a leaving server no new requests after the time limit, when hosts fail', () => {
  fc.assert(fc.property(fc.nat(), hostFaultSteps, (seed, steps) => {
    const simulation = startSimulation({ seed, hosts: 3 })
    simulation.inject({ kind: 'drain', server: 0 })
    const drainedAt = simulation.now()
    runSteps(simulation, steps.filter((step) => step.fault.kind !== 'platform-down' && step.fault.kind !== 'drain'))
    simulation.advance(MAXIMUM_FAULT_DURATION_MS)
    assert.equal(simulation.runsStartedAfter('server-0', drainedAt + LEAVING_LIMIT_MS), [])
  }), propertyParameters(40))
})

test.run()
