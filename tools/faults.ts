/**
 * Faults against real processes on loopback, under load: `npm run faults
 * [pattern of names]`. For each fault it prints how long keys were not served,
 * how many slices moved, and how requests ended; it checks from the servers'
 * own records that no key was run by two servers at once, that no order was
 * run twice and that leaving servers got nothing new.
 */
import { writeFileSync } from 'node:fs'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { build as buildHistogram } from 'hdr-histogram-js'
import { startCluster, type Cluster } from './_cluster.ts'
import { owners } from './_cluster_state.ts'
import { CONFIGURATION_RUNS, measureConfigurationRun } from './_configuration_runs.ts'
import { countViolations } from './_fault_checks.ts'
import { FAULTS, runUndoActions, type Fault } from './_fault_list.ts'
import { REQUEST_INTERVAL_MS, startLoad } from './_fault_load.ts'

const EXAMPLES = fileURLToPath(new URL('../../examples', import.meta.url))
const OBSERVED_MS = 8000
const SETTLE_MS = 4000
const WARM_UP_MS = 8000
const SLICES = { catalogue: 320, permits: 256 } as const

/** Unavailable time that the users ask for after a loss, in milliseconds. */
const TARGET_MS = 2000

function describeGaps (gaps: ReadonlyMap<string, number>): { readonly p50: number, readonly p99: number, readonly worst: number } {
  const histogram = buildHistogram()
  for (const gap of gaps.values()) histogram.recordValue(Math.max(0, Math.round(gap - REQUEST_INTERVAL_MS)))
  return { p50: histogram.getValueAtPercentile(50), p99: histogram.getValueAtPercentile(99), worst: histogram.maxValue }
}

/** New processes compile their code under the first load; that is not what a fault is to show. */
async function warmUp (cluster: Cluster): Promise<void> {
  const load = startLoad(cluster)
  await delay(WARM_UP_MS)
  await load.stop()
}

async function runFault (cluster: Cluster, fault: Fault): Promise<string> {
  const before = await owners(cluster)
  const load = startLoad(cluster)
  await delay(1500)
  load.longestGapsMs.clear()
  const tallyBefore = { ...load.outcomes }
  await fault.inject(cluster)
  await delay(OBSERVED_MS)
  const after = await owners(cluster)
  await load.stop()
  const moved = [...before].filter(([unit, server]) => after.get(unit) !== server).length
  const broken = await countViolations(cluster)
  await fault.undo?.(cluster)
  runUndoActions()
  await delay(SETTLE_MS)
  await cluster.waitUntilReady(SLICES, 20_000)
  const gaps = describeGaps(load.longestGapsMs)
  const { outcomes: tally } = load
  const figures = [
    gaps.p50, gaps.p99, gaps.worst, moved, tally.answered - tallyBefore.answered, tally.notRun - tallyBefore.notRun,
    tally.unknown - tallyBefore.unknown, tally.refused - tallyBefore.refused, tally.cut - tallyBefore.cut, tally.timedOut - tallyBefore.timedOut, tally.wrong + broken
  ]
  return `| ${fault.name} | ${figures.join(' | ')} | ${gaps.worst <= TARGET_MS ? 'met' : 'NOT MET'} |`
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
    const only = process.argv[2]
    const pattern = new RegExp(only ?? '')
    for (const fault of FAULTS.filter((candidate) => pattern.test(candidate.name))) {
      const line = await runFault(cluster, fault)
      lines.push(line)
      console.log(line)
    }
    if (only !== undefined && only !== 'publication') return
    const header = ['', '| publication | exit codes | in force on every host after ms | hosts that went back | 4 s |', '| --- | --- | --- | --- | --- |']
    lines.push(...header)
    console.log(header.join('\n'))
    for (const run of CONFIGURATION_RUNS) {
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
