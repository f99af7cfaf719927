/** Replays recorded faults and checks the expected outcomes. */
import { readdirSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createClusterSimulation, type ClusterSimulation } from '../../testing/cluster_simulation.ts'
import type { Step } from '../../testing/fault.ts'

const test = suite('traces')
const TRACES_DIRECTORY = fileURLToPath(new URL('../../traces', import.meta.url))

/** Time within which the cell of a trace starts, in milliseconds. */
const STARTUP_MS = 4000

/** A recorded sequence of faults and its expected outcome. */
interface Trace {
  readonly name: string
  readonly seed: number
  readonly hosts: number
  readonly servers: number
  readonly slices: number
  readonly unchecked: 'none' | 'odd' | 'all'
  readonly keepsAnnounced: boolean
  readonly steps: readonly Step[]
  readonly expect: {
    readonly violations: number
    /** Time after every fault has been cleared within which all slices are served, in milliseconds. */
    readonly servedWithinMs: number
  }
}

function createSimulation (trace: Trace): ClusterSimulation {
  const checksGrants = (server: number): boolean => trace.unchecked === 'none' || (trace.unchecked === 'odd' && server % 2 === 0)
  return createClusterSimulation({ seed: trace.seed, hosts: trace.hosts, servers: trace.servers, slices: trace.slices, checksGrants, keepsAnnounced: trace.keepsAnnounced })
}

function recoversWithin (simulation: ClusterSimulation, lengthMs: number): boolean {
  const until = simulation.now() + lengthMs
  while (simulation.now() < until) {
    if (simulation.unservedSlices().length === 0) return true
    simulation.advance(25)
  }
  return false
}

for (const file of readdirSync(TRACES_DIRECTORY).filter((name) => name.endsWith('.json')).sort()) {
  const trace = JSON.parse(readFileSync(`${TRACES_DIRECTORY}/${file}`, 'utf8')) as Trace
  test(`replay of ${file}: ${trace.name}`, () => {
    for (let offset = 0; offset < Number(process.env.TRACE_SEEDS ?? 8); offset++) {
      const simulation = createSimulation({ ...trace, seed: trace.seed + offset })
      simulation.advance(STARTUP_MS)
      for (const step of trace.steps) {
        simulation.advance(step.afterMs)
        simulation.inject(step.fault)
      }
      simulation.advance(STARTUP_MS)
      simulation.clearFaults()
      assert.ok(recoversWithin(simulation, trace.expect.servedWithinMs), `seed ${trace.seed + offset}: slices ${simulation.unservedSlices().join()} are not served`)
      simulation.advance(STARTUP_MS)
      assert.is(simulation.violations.length, trace.expect.violations, `seed ${trace.seed + offset}: ${JSON.stringify(simulation.violations.slice(0, 2))}`)
    }
  })
}

test.run()
