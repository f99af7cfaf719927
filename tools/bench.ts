/** Runs the benchmarks and writes docs/MEASUREMENTS.md: `npm run bench [seed]`. */
import { cpus, totalmem } from 'node:os'
import { writeFileSync } from 'node:fs'
import { runControlBench, runPathBench, type PathResult } from './_path_bench.ts'
import { runPlacementBench, type PlacementResult } from './_placement_bench.ts'
import { runQueueBench, type QueueResult } from './_queue_bench.ts'

const OUTPUT = 'docs/MEASUREMENTS.md'
const BAR_WIDTH = 40

function table (header: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
  const lines = [header, header.map(() => '---'), ...rows]
  return lines.map((cells) => `| ${cells.join(' | ')} |`).join('\n')
}

function chart (rows: ReadonlyArray<{ readonly name: string, readonly value: number }>): string {
  const maximum = Math.max(...rows.map((row) => row.value))
  return rows.map((row) => `${row.name.padEnd(40)} ${'#'.repeat(Math.round(row.value / maximum * BAR_WIDTH))} ${row.value.toFixed(2)}`).join('\n')
}

function placementTable (results: readonly PlacementResult[]): string {
  return table(
    ['placement', 'keys: maximum / mean', 'load: maximum / mean', 'worst step', 'keys moved, thousands', 'moved / minimum'],
    results.map((result) => [
      result.name, result.keyImbalance.toFixed(2), result.loadImbalance.toFixed(2), result.worstLoadImbalance.toFixed(2),
      result.movedKeysThousands.toFixed(1), result.movedOverMinimum.toFixed(2)
    ])
  )
}

function queueTable (results: readonly QueueResult[]): string {
  return table(
    ['sending', 'load %', 'answered', 'failed', 'p50 ms', 'p99 ms', 'sheds per request'],
    results.map((result) => [
      result.name, result.loadPercent, result.answered, result.failed, result.p50Ms.toFixed(0), result.p99Ms.toFixed(0), result.shedsPerRequest.toFixed(2)
    ])
  )
}

function pathTable (results: readonly PathResult[]): string {
  return table(
    ['call', 'answered', 'failed', 'calls per second', 'p50 ms', 'p99 ms', 'CPU of all hosts, ms per call'],
    results.map((result) => [
      result.name, result.calls, result.failures, result.callsPerSecond.toFixed(0), result.p50Ms.toFixed(2), result.p99Ms.toFixed(2),
      result.hostCpuMs?.toFixed(2) ?? ''
    ])
  )
}

const seed = Number(process.argv[2] ?? 7)
const placement = runPlacementBench(seed)
const queue = await runQueueBench(seed)
const path = [...await runPathBench(1), ...await runPathBench(16)]
const control = await runControlBench()
const machine = `${cpus().length} cores, ${Math.round(totalmem() / 2 ** 30)} GiB, Node.js ${process.version}`
const page = `# Measurements

Written by \`npm run bench ${seed}\` on ${new Date().toISOString().slice(0, 10)}; ${machine}; seed ${seed}. All processes share the machine.

## Imbalance and churn

20,000 keys with Zipf load (exponent 0.8), 60 steps; the 19 hottest keys change every 6 steps; one of 20 servers joins, one leaves for good, one is lost and returns. A policy sees the load of the previous step. "Minimum" is the number of keys that must move because servers join and leave.

${placementTable(placement)}

Load of the busiest server divided by the mean:

\`\`\`text
${chart(placement.map((result) => ({ name: result.name, value: result.loadImbalance })))}
\`\`\`

## Queueing at a server: direct senders and a sole dispatcher

One stand-in server with 6 slots and 10 ms of work, Poisson arrivals for 8 s, over TCP; times from arrival to the complete response. Direct senders are not coordinated: they retry a shed request with jittered exponential backoff from 5 ms.

${queueTable(queue)}

## Latency added by the router

The stand-in servers respond immediately.

${pathTable(path)}

## Control calls

Client and server run in one process; one call at a time, after a warm-up.

${pathTable(control)}
`
writeFileSync(OUTPUT, page)
console.log(page)
process.exit(0)
