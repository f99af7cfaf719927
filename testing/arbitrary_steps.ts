/** Arbitrary sequences of faults for property tests of hosts. */
import fc from 'fast-check'
import type { Fault, Step } from './fault.ts'

/** Maximum length of a pause, network cut, freeze or outage, in milliseconds; longer than every lease. */
export const MAXIMUM_FAULT_DURATION_MS = 4000

const targetIndex = fc.nat({ max: 7 })
const durationMs = fc.integer({ min: 50, max: MAXIMUM_FAULT_DURATION_MS })
const targetIndexes = fc.uniqueArray(targetIndex, { minLength: 1, maxLength: 4 })

const hostFaults: Array<fc.Arbitrary<Fault>> = [
  fc.record({ kind: fc.constant('kill' as const), host: targetIndex }),
  fc.record({ kind: fc.constant('restart' as const), host: targetIndex }),
  fc.record({ kind: fc.constant('pause' as const), host: targetIndex, lengthMs: durationMs }),
  fc.record({ kind: fc.constant('cut' as const), hosts: targetIndexes, others: fc.oneof(fc.constant([]), targetIndexes), servers: fc.constant([]), lengthMs: durationMs }),
  fc.record({ kind: fc.constant('platform-down' as const), hosts: targetIndexes, lengthMs: durationMs }),
  fc.record({ kind: fc.constant('lose-answers' as const), count: fc.integer({ min: 1, max: 3 }) }),
  fc.record({ kind: fc.constant('power-cut' as const), lengthMs: durationMs }),
  fc.record({ kind: fc.constant('drain' as const), server: targetIndex })
]

const serverFaults: Array<fc.Arbitrary<Fault>> = [
  fc.record({ kind: fc.constant('cut' as const), hosts: targetIndexes, others: fc.oneof(fc.constant([]), targetIndexes), servers: targetIndexes, lengthMs: durationMs }),
  fc.record({ kind: fc.constant('slow-network' as const), lengthMs: durationMs }),
  fc.record({ kind: fc.constant('freeze-server' as const), server: targetIndex, lengthMs: durationMs }),
  fc.record({ kind: fc.constant('kill-server' as const), server: targetIndex }),
  fc.record({ kind: fc.constant('restart-server' as const), server: targetIndex }),
  fc.record({ kind: fc.constant('cut-server' as const), server: targetIndex, hosts: targetIndexes, lengthMs: durationMs })
]

function arbitrarySteps (faults: ReadonlyArray<fc.Arbitrary<Fault>>): fc.Arbitrary<Step[]> {
  const step = fc.record({ afterMs: fc.integer({ min: 0, max: 1500 }), fault: fc.oneof(...faults) })
  return fc.array(step, { maxLength: 14 })
}

/** Steps with faults of hosts, of the network between them and of the platform. */
export const hostFaultSteps = arbitrarySteps(hostFaults)

/** Steps with every kind of fault. */
export const allFaultSteps = arbitrarySteps([...hostFaults, ...serverFaults])

/**
 * Returns the parameters of a property test: the environment variables
 * `PROPERTY_RUNS` and `PROPERTY_SEED` if they are set, otherwise the given
 * number of runs and a fixed seed.
 *
 * @param runs Default number of runs.
 * @returns Parameters of `fc.assert`.
 */
export function propertyParameters (runs: number): { readonly numRuns: number, readonly seed: number } {
  return { numRuns: Number(process.env.PROPERTY_RUNS ?? runs), seed: Number(process.env.PROPERTY_SEED ?? 20261204) }
}
