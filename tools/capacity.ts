/**
 * Measures the control cost of an entry host on loopback, without callers: CPU,
 * memory, datagrams, and traffic with the platform and the backend servers, for
 * several cell sizes: `npm run capacity [hosts]`.
 */
import { spawn } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import { startCluster, type Cluster, type ClusterHost } from './_cluster.ts'

const EXAMPLES = fileURLToPath(new URL('../../examples', import.meta.url))
const BUILT_ROOT = fileURLToPath(new URL('..', import.meta.url))
const SETTLE_MS = 8000
const MEASUREMENT_MS = 20_000

interface CellSize { readonly hosts: number, readonly cells: number, readonly servers: number }

interface Sample { readonly cpuSeconds: number, readonly datagramBytes: number, readonly datagrams: number }

interface Cost {
  readonly size: CellSize
  readonly role: string
  readonly cpuMsPerSecond: number
  readonly datagramBytesPerSecond: number
  readonly datagramsPerSecond: number
  readonly residentMegabytes: number
  readonly platformBytesPerSecond: number
  readonly platformReadsPerSecond: number
  readonly platformWritesPerSecond: number
  readonly grantBytesPerSecond: number
}

const SIZES: readonly CellSize[] = [
  { hosts: 3, cells: 1, servers: 9 },
  { hosts: 8, cells: 1, servers: 24 },
  { hosts: 16, cells: 1, servers: 48 },
  { hosts: 8, cells: 1, servers: 8 },
  { hosts: 8, cells: 1, servers: 48 },
  { hosts: 16, cells: 2, servers: 48 }
]

async function getJson (url: string): Promise<unknown> {
  const response = await request(url)
  return await response.body.json()
}

async function readMetrics (host: ClusterHost): Promise<Map<string, number>> {
  const response = await request(`http://${host.operatorAddress}/metrics`)
  const values = new Map<string, number>()
  for (const line of (await response.body.text()).split('\n')) {
    const match = /^([a-z_]+(?:\{[^}]*\})?) ([0-9.e+-]+)$/i.exec(line)
    if (match?.[1] !== undefined) values.set(match[1], Number(match[2]))
  }
  return values
}

async function readSample (host: ClusterHost): Promise<Sample> {
  const values = await readMetrics(host)
  const dump = await getJson(`http://${host.operatorAddress}/dump`) as { datagrams: { sentMessages: number, receivedMessages: number, sentBytes: number, receivedBytes: number } }
  return {
    cpuSeconds: values.get('process_cpu_seconds_total') ?? 0,
    datagramBytes: dump.datagrams.sentBytes + dump.datagrams.receivedBytes,
    datagrams: dump.datagrams.sentMessages + dump.datagrams.receivedMessages
  }
}

function readResidentMegabytes (pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024
}

async function readGrantBytes (cluster: Cluster): Promise<number> {
  let total = 0
  for (const server of cluster.servers) {
    total += (await getJson(`http://${server.address}/standin/traffic`) as { bytes: number }).bytes
  }
  return total
}

/** Measures the memory of an idle process that has loaded the same code and libraries. */
async function measureIdleMegabytes (): Promise<number> {
  const script = `await import(${JSON.stringify(join(BUILT_ROOT, 'src/mod.js'))}); setTimeout(() => {}, 4000)`
  const child = spawn(process.execPath, ['--input-type=module', '-e', script], { stdio: 'ignore' })
  await delay(3000)
  const megabytes = readResidentMegabytes(child.pid ?? 0)
  child.kill('SIGKILL')
  return megabytes
}

async function measure (size: CellSize): Promise<Cost[]> {
  const cluster = await startCluster({
    zones: 1,
    hostsPerZone: size.hosts,
    cellsInZone: size.cells,
    firstPort: 19_000,
    services: [{ name: 'catalogue', servers: size.servers, behaviour: { checksGrants: true } }]
  })
  try {
    await cluster.runCommand('publish', `${EXAMPLES}/leiria`)
    if (!await cluster.waitUntilReady({ catalogue: 320 }, 40_000)) throw new Error(`The cluster of ${size.hosts} hosts was not ready`)
    await delay(SETTLE_MS)
    const before = await Promise.all(cluster.hosts.map(readSample))
    const platformBefore = await getJson(`${cluster.platform}/standin/counts`) as { bytes: number, reads: number, writes: number }
    const grantsBefore = await readGrantBytes(cluster)
    const startedAt = performance.now()
    await delay(MEASUREMENT_MS)
    const after = await Promise.all(cluster.hosts.map(readSample))
    const platformAfter = await getJson(`${cluster.platform}/standin/counts`) as { bytes: number, reads: number, writes: number }
    const grants = await readGrantBytes(cluster) - grantsBefore
    const seconds = (performance.now() - startedAt) / 1000
    const costs = await Promise.all(cluster.hosts.map(async (host, index): Promise<Cost> => {
      const isLeader = (await readMetrics(host)).get('gooseberryfold_is_leader') === 1
      const [first, last] = [before[index], after[index]]
      return {
        size,
        role: isLeader ? 'leader' : 'host',
        cpuMsPerSecond: 1000 * ((last?.cpuSeconds ?? 0) - (first?.cpuSeconds ?? 0)) / seconds,
        datagramBytesPerSecond: ((last?.datagramBytes ?? 0) - (first?.datagramBytes ?? 0)) / seconds,
        datagramsPerSecond: ((last?.datagrams ?? 0) - (first?.datagrams ?? 0)) / seconds,
        residentMegabytes: readResidentMegabytes(host.process.pid ?? 0),
        platformBytesPerSecond: isLeader ? (platformAfter.bytes - platformBefore.bytes) / seconds / size.cells : 0,
        platformReadsPerSecond: isLeader ? (platformAfter.reads - platformBefore.reads) / seconds / size.cells : 0,
        platformWritesPerSecond: isLeader ? (platformAfter.writes - platformBefore.writes) / seconds / size.cells : 0,
        grantBytesPerSecond: grants / seconds / size.hosts
      }
    }))
    return ['leader', 'host'].map((role) => averageCosts(costs.filter((cost) => cost.role === role))).filter((cost) => cost !== null)
  } finally {
    await cluster.stop()
  }
}

function averageCosts (costs: readonly Cost[]): Cost | null {
  const [first] = costs
  if (first === undefined) return null
  const mean = (value: (cost: Cost) => number): number => costs.reduce((sum, cost) => sum + value(cost), 0) / costs.length
  return {
    size: first.size,
    role: first.role,
    cpuMsPerSecond: mean((cost) => cost.cpuMsPerSecond),
    datagramBytesPerSecond: mean((cost) => cost.datagramBytesPerSecond),
    datagramsPerSecond: mean((cost) => cost.datagramsPerSecond),
    residentMegabytes: mean((cost) => cost.residentMegabytes),
    platformBytesPerSecond: mean((cost) => cost.platformBytesPerSecond),
    platformReadsPerSecond: mean((cost) => cost.platformReadsPerSecond),
    platformWritesPerSecond: mean((cost) => cost.platformWritesPerSecond),
    grantBytesPerSecond: mean((cost) => cost.grantBytesPerSecond)
  }
}

const lines = [
  '| hosts | cells | servers | role | CPU ms/s | datagrams/s | datagram B/s | grant B/s | platform B/s | platform reads/s | platform writes/s | resident MB |',
  '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |'
]
console.log(lines.join('\n'))
const idleMegabytes = await measureIdleMegabytes()
const selectedHosts = process.argv[2] === undefined ? null : Number(process.argv[2])
for (const size of SIZES.filter((candidate) => selectedHosts === null || candidate.hosts === selectedHosts)) {
  for (const cost of await measure(size)) {
    const figures = [
      cost.cpuMsPerSecond.toFixed(1), cost.datagramsPerSecond.toFixed(1), cost.datagramBytesPerSecond.toFixed(0),
      cost.grantBytesPerSecond.toFixed(0), cost.platformBytesPerSecond.toFixed(0), cost.platformReadsPerSecond.toFixed(2),
      cost.platformWritesPerSecond.toFixed(2), cost.residentMegabytes.toFixed(0)
    ]
    const line = `| ${size.hosts} | ${size.cells} | ${size.servers} | ${cost.role} | ${figures.join(' | ')} |`
    lines.push(line)
    console.log(line)
  }
}
const idleLine = `An idle process that has loaded the same code: ${idleMegabytes.toFixed(0)} MB resident.`
console.log(idleLine)
if (process.env.CAPACITY_TABLE !== undefined) writeFileSync(process.env.CAPACITY_TABLE, `${lines.join('\n')}\n\n${idleLine}\n`)
process.exit(0)
