/**
 * Injects faults into real processes on loopback, under load: `npm run faults
 * [pattern of names]`. For each fault it prints how long keys were unavailable,
 * how many slices moved, and the outcomes of requests; it checks in the servers'
 * records that no key was executed by two servers at once, that no order was
 * executed twice and that leaving servers received no new requests.
 */
import { writeFileSync } from 'node:fs'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { build as buildHistogram } from 'hdr-histogram-js'
import { startCluster, type Cluster } from './_cluster.ts'
import { readOwners } from './_cluster_state.ts'
import { CONFIGURATION_RUNS, measureConfigurationRun } from './_configuration_runs.ts'
import { countViolations } from './_fault_checks.ts'
import { FAULTS, runUndoActions, type Fault } from './_fault_list.ts'
import { REQUEST_INTERVAL_MS, startLoad } from './_fault_load.ts'

const EXAMPLES = fileURLToPath(new URL('../../examples', import.meta.url))
const OBSERVATION_MS = 8000
const SETTLE_MS = 4000
const WARM_UP_MS = 8000
const SLICES = { catalogue: 320, permits: 256 } as const

/** Maximum unavailability that the users accept after a loss, in milliseconds. */
const UNAVAILABILITY_TARGET_MS = 2000

function summariseGaps (gaps: ReadonlyMap<string, number>): { readonly p50: number, readonly p99: number, readonly worst: number } {
  const histogram = buildHistogram()
  for (const gap of gaps.values()) histogram.recordValue(Math.max(0, Math.round(gap - REQUEST_INTERVAL_MS)))
  return { p50: histogram.getValueAtPercentile(50), p99: histogram.getValueAtPercentile(99), worst: histogram.maxValue }
}

/** Generates load before the first fault; compilation in new processes would otherwise distort the results. */
async function warmUp (cluster: Cluster): Promise<void> {
  const load = startLoad(cluster)
  await delay(WARM_UP_MS)
  await load.stop()
}

async function runFault (cluster: Cluster, fault: Fault): Promise<string> {
  const ownersBefore = await readOwners(cluster)
  const load = startLoad(cluster)
  await delay(1500)
  load.longestGapsMs.clear()
  const outcomesBefore = { ...load.outcomes }
  await fault.inject(cluster)
  await delay(OBSERVATION_MS)
  const ownersAfter = await readOwners(cluster)
  await load.stop()
  const movedSlices = [...ownersBefore].filter(([slice, server]) => ownersAfter.get(slice) !== server).length
  const violations = await countViolations(cluster)
  await fault.undo?.(cluster)
  runUndoActions()
  await delay(SETTLE_MS)
  await cluster.waitUntilReady(SLICES, 20_000)
  const gaps = summariseGaps(load.longestGapsMs)
  const { outcomes } = load
  const figures = [
    gaps.p50, gaps.p99, gaps.worst, movedSlices, outcomes.answered - outcomesBefore.answered, outcomes.notRun - outcomesBefore.notRun,
    outcomes.unknown - outcomesBefore.unknown, outcomes.refused - outcomesBefore.refused, outcomes.cut - outcomesBefore.cut, outcomes.timedOut - outcomesBefore.timedOut, outcomes.wrong + violations
  ]
  return `| ${fault.name} | ${figures.join(' | ')} | ${gaps.worst <= UNAVAILABILITY_TARGET_MS ? 'met' : 'NOT MET'} |`
}

async function main (): Promise<void> {
  const cluster = await startCluster({
    zones: 3,
    hostsPerZone: 3,
    firstPort: 18_000,
    processPerServer: true,
    logFolder: process.env.FAULT_LOGS,
    services: [
      { name: 'catalogue', servers: 9, behaviour: { slots: 6, workMs: 3, checksGrants: true } },
      { name: 'permits', servers: 9, behaviour: { slots: 4, workMs: 3, checksGrants: false } },
      { name: 'orders', servers: 3, behaviour: { slots: 6, workMs: 8, checksGrants: true } }
    ]
  })
  const lines = [
    '| fault | unavailable p50 ms | p99 ms | worst key ms | slices moved | answered | not-run | unknown | refused | cut | timed out | wrong | 2 s |',
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |'
  ]
  for (const line of lines) console.log(line)
  try {
    for (const deployment of ['leiria', 'luzon']) await cluster.runCommand('publish', `${EXAMPLES}/${deployment}`)
    if (!await cluster.waitUntilReady(SLICES, 30_000)) throw new Error('The hosts were not ready within 30 s')
    await warmUp(cluster)
    const patternText = process.argv[2]
    const pattern = new RegExp(patternText ?? '')
    for (const fault of FAULTS.filter((candidate) => pattern.test(candidate.name))) {
      const line = await runFault(cluster, fault)
      lines.push(line)
      console.log(line)
    }
    const configurationRuns = patternText === undefined || patternText === 'publication' ? CONFIGURATION_RUNS : []
    const header = ['', '| publication | exit codes | ms until in force on every host | readings of an older version | 4 s |', '| --- | --- | --- | --- | --- |']
    if (configurationRuns.length > 0) {
      lines.push(...header)
      console.log(header.join('\n'))
    }
    for (const run of configurationRuns) {
      const line = await measureConfigurationRun(cluster, run)
      lines.push(line)
      console.log(line)
    }
  } finally {
    await cluster.stop()
  }
  if (process.env.FAULT_TABLE !== undefined) writeFileSync(process.env.FAULT_TABLE, `${lines.join('\n')}\n`)
}

await main()
process.exit(0)
