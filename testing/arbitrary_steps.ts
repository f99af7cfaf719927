/** Arbitrary faults for the properties of hosts. */
import fc from 'fast-check'
import type { Fault, Step } from './fault.ts'

/** Longest pause, cut, freeze or outage, in milliseconds; longer than every lease. */
export const MAXIMUM_FAULT_DURATION_MS = 4000

const number = fc.nat({ max: 7 })
const length = fc.integer({ min: 50, max: MAXIMUM_FAULT_DURATION_MS })
const some = fc.uniqueArray(number, { minLength: 1, maxLength: 4 })

const hostFaults: Array<fc.Arbitrary<Fault>> = [
  fc.record({ kind: fc.constant('kill' as const), host: number }),
  fc.record({ kind: fc.constant('restart' as const), host: number }),
  fc.record({ kind: fc.constant('pause' as const), host: number, lengthMs: length }),
  fc.record({ kind: fc.constant('cut' as const), hosts: some, others: fc.oneof(fc.constant([]), some), servers: fc.constant([]), lengthMs: length }),
  fc.record({ kind: fc.constant('platform-down' as const), hosts: some, lengthMs: length }),
  fc.record({ kind: fc.constant('lose-answers' as const), count: fc.integer({ min: 1, max: 3 }) }),
  fc.record({ kind: fc.constant('power-cut' as const), lengthMs: length }),
  fc.record({ kind: fc.constant('drain' as const), server: number })
]

const serverFaults: Array<fc.Arbitrary<Fault>> = [
  fc.record({ kind: fc.constant('cut' as const), hosts: some, others: fc.oneof(fc.constant([]), some), servers: some, lengthMs: length }),
  fc.record({ kind: fc.constant('slow-network' as const), lengthMs: length }),
  fc.record({ kind: fc.constant('freeze-server' as const), server: number, lengthMs: length }),
  fc.record({ kind: fc.constant('kill-server' as const), server: number }),
  fc.record({ kind: fc.constant('restart-server' as const), server: number }),
  fc.record({ kind: fc.constant('cut-server' as const), server: number, hosts: some, lengthMs: length })
]

function stepsOf (faults: ReadonlyArray<fc.Arbitrary<Fault>>): fc.Arbitrary<Step[]> {
  const step = fc.record({ afterMs: fc.integer({ min: 0, max: 1500 }), fault: fc.oneof(...faults) })
  return fc.array(step, { maxLength: 14 })
}

/** Faults of hosts, the network between them and the platform. */
export const hostFaultSteps = stepsOf(hostFaults)

/** Every fault. */
export const allFaultSteps = stepsOf([...hostFaults, ...serverFaults])

/** Parameters of a property run: `PROPERTY_RUNS` and `PROPERTY_SEED`, or a small number and a fixed seed. */
export function propertyParameters (runs: number): { readonly numRuns: number, readonly seed: number } {
  return { numRuns: Number(process.env.PROPERTY_RUNS ?? runs), seed: Number(process.env.PROPERTY_SEED ?? 20261204) }
}
