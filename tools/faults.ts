/**
 * Faults against real processes on loopback, under load. For each fault it
 * prints how long keys were not served, how many slices moved, and how
 * requests ended; it checks from the servers' own records that no key was run
 * by two servers at once and that no order was run twice.
 */
import { randomUUID } from 'node:crypto'
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { Agent, request } from 'undici'
import { build as buildHistogram } from 'hdr-histogram-js'
import type { RunRecord } from '../standins/backend_server.ts'
import { startCluster, type Cluster, type ClusterHost, type ClusterServer } from './_cluster.ts'

const EXAMPLES = fileURLToPath(new URL('../../examples', import.meta.url))
const KEYS_PER_SERVICE = 40
const PERIOD_MS = 60
const ORDERS_PERIOD_MS = 40
const OBSERVED_MS = 8000
const SETTLE_MS = 4000
const WARM_UP_MS = 8000
const TIMEOUT_MS = 6000
const SLICES = { catalogue: 320, permits: 256 } as const

/** Time in which the users ask for a configuration to be in force everywhere, in milliseconds. */
const CONFIGURATION_TARGET_MS = 4000

/** Time after which a leaving server gets nothing new, in milliseconds. */
const LEAVING_BOUND_MS = 4000

/** Lag of the platform's list, in milliseconds. */
const LIST_LAG_MS = 1000

/** Unavailable time that the users ask for after a loss, in milliseconds. */
const TARGET_MS = 2000

interface Tally { answered: number, notRun: number, unknown: number, refused: number, cut: number, timedOut: number, wrong: number }

interface Load {
  readonly tally: Tally
  readonly gaps: Map<string, number>
  stop (): Promise<void>
}

interface FaultRun {
  readonly name: string
  readonly act: (cluster: Cluster) => Promise<void>
  readonly undo?: (cluster: Cluster) => Promise<void>
}

interface Dump {
  readonly cell: string
  readonly configuration: { readonly version: number }
  readonly leadership: { readonly role: string }
  readonly view: { readonly owners: Record<string, Record<string, string>>, readonly servers: ReadonlyArray<{ readonly id: string, readonly dispatcher: string | null }> } | null
}

const agent = new Agent({ connections: 64, pipelining: 1, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS })

function startLoad (cluster: Cluster): Load {
  const tally: Tally = { answered: 0, notRun: 0, unknown: 0, refused: 0, cut: 0, timedOut: 0, wrong: 0 }
  const lastServed = new Map<string, number>()
  const gaps = new Map<string, number>()
  const timers: NodeJS.Timeout[] = []
  const pending = new Set<Promise<void>>()
  const avoided = new Map<string, number>()
  let turn = 0

  function chooseHost (): ClusterHost {
    for (let tries = 0; tries < cluster.hosts.length; tries++) {
      const host = cluster.hosts[turn++ % cluster.hosts.length]
      if (host !== undefined && (avoided.get(host.name) ?? 0) < Date.now()) return host
    }
    return cluster.hosts[0] as ClusterHost
  }

  function noteServed (key: string): void {
    const now = performance.now()
    const before = lastServed.get(key)
    if (before !== undefined) gaps.set(key, Math.max(gaps.get(key) ?? 0, now - before))
    lastServed.set(key, now)
  }

  async function send (method: 'GET' | 'POST', path: string, key: string | null): Promise<void> {
    const host = chooseHost()
    try {
      const response = await request(`http://${host.caller}${path}`, {
        method, dispatcher: agent, headers: method === 'POST' ? { 'idempotency-key': randomUUID() } : {}
      })
      const text = await response.body.text()
      classify(JSON.parse(text), { status: response.statusCode, path, key })
    } catch (error) {
      tally[failureOf(error)]++
      avoided.set(host.name, Date.now() + 1000)
    }
  }

  /** A refused connection or one closed while it was idle is the balancer's to avoid; a cut lost a request. */
  function failureOf (error: unknown): 'refused' | 'cut' | 'timedOut' {
    const code = (error as { readonly code?: string }).code
    if (code === 'ECONNREFUSED') return 'refused'
    return code === 'UND_ERR_HEADERS_TIMEOUT' || code === 'UND_ERR_BODY_TIMEOUT' ? 'timedOut' : 'cut'
  }

  function classify (answer: { path?: string, outcome?: string }, sent: { status: number, path: string, key: string | null }): void {
    if (sent.status === 200 && answer.path === sent.path) {
      tally.answered++
      if (sent.key !== null) noteServed(sent.key)
    } else if (answer.outcome === 'not-run') tally.notRun++
    else if (answer.outcome === 'unknown') tally.unknown++
    else tally.wrong++
  }

  function track (sending: Promise<void>): void {
    pending.add(sending)
    sending.finally(() => { pending.delete(sending) }).catch(() => {})
  }

  for (const service of ['catalogue', 'permits']) {
    for (let number = 0; number < KEYS_PER_SERVICE; number++) {
      const path = `/${service}/key-${number}`
      timers.push(setInterval(() => { track(send('GET', path, path)) }, PERIOD_MS))
    }
  }
  timers.push(setInterval(() => { track(send('POST', `/orders/${randomUUID()}`, null)) }, ORDERS_PERIOD_MS))
  return {
    tally,
    gaps,
    async stop () {
      for (const timer of timers) clearInterval(timer)
      await Promise.all([...pending])
    }
  }
}

async function getJson (url: string): Promise<unknown> {
  const response = await request(url, { signal: AbortSignal.timeout(1500) })
  return await response.body.json()
}

async function dumps (cluster: Cluster): Promise<Map<ClusterHost, Dump>> {
  const found = new Map<ClusterHost, Dump>()
  await Promise.all(cluster.hosts.map(async (host) => {
    try {
      found.set(host, await getJson(`http://${host.operator}/dump`) as Dump)
    } catch {}
  }))
  return found
}

async function owners (cluster: Cluster): Promise<Map<string, string>> {
  const all = new Map<string, string>()
  for (const dump of (await dumps(cluster)).values()) {
    for (const [service, slices] of Object.entries(dump.view?.owners ?? {})) {
      for (const [slice, server] of Object.entries(slices)) all.set(`${service}/${slice}`, server)
    }
  }
  return all
}

async function records (server: ClusterServer): Promise<RunRecord[]> {
  try {
    return await getJson(`http://${server.address}/standin/records`) as RunRecord[]
  } catch {
    return []
  }
}

const lostRecords = new Map<string, RunRecord[]>()

/** Finds keys that two servers ran at once, and orders that were run twice. */
async function countBrokenRules (cluster: Cluster): Promise<number> {
  const byKey = new Map<string, Array<RunRecord & { readonly server: string }>>()
  const orders = new Map<string, number>()
  for (const server of cluster.servers) {
    const all = [...(lostRecords.get(server.id) ?? []), ...await records(server)]
    for (const record of all.filter((candidate) => candidate.committed)) {
      if (record.method === 'POST') orders.set(record.path, (orders.get(record.path) ?? 0) + 1)
      else byKey.set(record.path, [...(byKey.get(record.path) ?? []), { ...record, server: server.id }])
    }
  }
  const overlaps = [...byKey.values()].filter(hasOverlap).length
  const doubled = [...orders.values()].filter((count) => count > 1).length
  return overlaps + doubled + await countLateWork(cluster)
}

const left = new Map<string, number>()

/** Counts the requests that began at a leaving server after the bound. */
async function countLateWork (cluster: Cluster): Promise<number> {
  let late = 0
  for (const [id, since] of left) {
    const server = cluster.servers.find((candidate) => candidate.id === id)
    if (server === undefined) continue
    late += (await records(server)).filter((record) => record.startedAt > since + LEAVING_BOUND_MS).length
  }
  left.clear()
  return late
}

function hasOverlap (runs: ReadonlyArray<RunRecord & { readonly server: string }>): boolean {
  const ordered = [...runs].sort((left, right) => left.startedAt - right.startedAt)
  return ordered.some((run, index) => {
    const next = ordered[index + 1]
    return next !== undefined && next.server !== run.server && next.startedAt < run.endedAt - 1
  })
}

async function findHost (cluster: Cluster, wanted: { readonly leader: boolean, readonly zone: string }): Promise<ClusterHost> {
  for (const [host, dump] of await dumps(cluster)) {
    if (host.zone !== wanted.zone || (dump.leadership.role === 'leader') !== wanted.leader) continue
    return host
  }
  throw new Error(`No host of ${wanted.zone} has the wanted role`)
}

async function ownerOf (cluster: Cluster, service: string): Promise<ClusterServer> {
  const counts = new Map<string, number>()
  for (const [unit, server] of await owners(cluster)) {
    if (unit.startsWith(`${service}/`)) counts.set(server, (counts.get(server) ?? 0) + 1)
  }
  const id = [...counts.keys()].sort()[0]
  const server = cluster.servers.find((candidate) => candidate.id === id)
  if (server === undefined) throw new Error(`No server owns a slice of ${service}`)
  return server
}

let undoLater: Array<() => void> = []

async function killHost (cluster: Cluster, host: ClusterHost): Promise<void> {
  host.process.kill('SIGKILL')
  undoLater.push(() => { cluster.startHost(cluster.hosts.indexOf(host)) })
}

async function killServer (cluster: Cluster, server: ClusterServer): Promise<void> {
  lostRecords.set(server.id, [...(lostRecords.get(server.id) ?? []), ...await records(server)])
  server.process.kill('SIGKILL')
  undoLater.push(() => { cluster.startServer(server.id) })
}

async function killZone (cluster: Cluster, zone: string): Promise<void> {
  const hosts = cluster.hosts.filter((host) => host.zone === zone)
  const servers = cluster.servers.filter((server) => server.zone === zone)
  for (const server of servers) await killServer(cluster, server)
  for (const host of hosts) await killHost(cluster, host)
  await cluster.listHosts({ gone: [...hosts.map((host) => host.name), ...servers.map((server) => server.id)] })
}

async function freeze (target: ClusterHost | ClusterServer, lengthMs: number): Promise<void> {
  target.process.kill('SIGSTOP')
  await delay(lengthMs)
  target.process.kill('SIGCONT')
}

const FAULTS: readonly FaultRun[] = [
  { name: 'none', act: async () => {} },
  { name: 'SIGKILL of an entry host that does not lead', act: async (cluster) => { await killHost(cluster, await findHost(cluster, { leader: false, zone: 'zone-1' })) } },
  { name: 'SIGKILL of a cell leader', act: async (cluster) => { await killHost(cluster, await findHost(cluster, { leader: true, zone: 'zone-2' })) } },
  { name: 'SIGSTOP of an entry host for 3 s', act: async (cluster) => { await freeze(await findHost(cluster, { leader: false, zone: 'zone-1' }), 3000) } },
  { name: 'SIGSTOP of a cell leader for 3 s', act: async (cluster) => { await freeze(await findHost(cluster, { leader: true, zone: 'zone-1' }), 3000) } },
  { name: 'SIGKILL of a server that checks grants', act: async (cluster) => { await killServer(cluster, await ownerOf(cluster, 'catalogue')) } },
  { name: 'SIGKILL of a server that does not check', act: async (cluster) => { await killServer(cluster, await ownerOf(cluster, 'permits')) } },
  { name: 'SIGSTOP of a server that checks grants, 4 s', act: async (cluster) => { await freeze(await ownerOf(cluster, 'catalogue'), 4000) } },
  { name: 'SIGSTOP of a server that does not check, 4 s', act: async (cluster) => { await freeze(await ownerOf(cluster, 'permits'), 4000) } },
  { name: 'platform down', act: async (cluster) => { await cluster.setFaults({ cutZones: ['*'] }) }, undo: async (cluster) => { await cluster.setFaults({ cutZones: [] }) } },
  {
    name: 'platform down, then SIGKILL of a cell leader',
    act: async (cluster) => {
      const leader = await findHost(cluster, { leader: true, zone: 'zone-3' })
      await cluster.setFaults({ cutZones: ['*'] })
      await delay(1000)
      await killHost(cluster, leader)
    },
    undo: async (cluster) => { await cluster.setFaults({ cutZones: [] }) }
  },
  {
    name: 'platform cut from one zone, SIGKILL of a server there',
    act: async (cluster) => {
      const server = await ownerOf(cluster, 'catalogue')
      await cluster.setFaults({ cutZones: [server.zone] })
      await delay(1000)
      await killServer(cluster, server)
    },
    undo: async (cluster) => { await cluster.setFaults({ cutZones: [] }) }
  },
  {
    name: 'lost answers to three writes, SIGKILL of a server',
    act: async (cluster) => {
      await cluster.setFaults({ loseWriteAnswers: 3 })
      await killServer(cluster, await ownerOf(cluster, 'catalogue'))
    }
  },
  { name: 'platform 300 ms slow', act: async (cluster) => { await cluster.setFaults({ slowMs: 300 }) }, undo: async (cluster) => { await cluster.setFaults({ slowMs: 0 }) } },
  {
    name: 'drain of a server that does not check',
    act: async (cluster) => {
      const server = await ownerOf(cluster, 'permits')
      await cluster.command('drain', server.id)
      left.set(server.id, Date.now())
      undoLater.push(() => { cluster.command('undrain', server.id).catch(() => {}) })
    }
  },
  {
    name: 'server that checks grants is listed as leaving',
    act: async (cluster) => {
      const { id, service, zone, address } = await ownerOf(cluster, 'catalogue')
      await cluster.listHosts({ servers: [{ id, service, zone, address, state: 'leaving' }] })
      left.set(id, Date.now() + LIST_LAG_MS)
      undoLater.push(() => { cluster.listHosts({ servers: [{ id, service, zone, address, state: 'live' }] }).catch(() => {}) })
    }
  },
  {
    name: 'SIGTERM of an entry host that does not lead',
    act: async (cluster) => {
      const host = await findHost(cluster, { leader: false, zone: 'zone-3' })
      host.process.kill('SIGTERM')
      undoLater.push(() => { cluster.startHost(cluster.hosts.indexOf(host)) })
    }
  },
  {
    name: 'loss of a whole availability zone, hosts and servers',
    act: async (cluster) => { await killZone(cluster, 'zone-3') },
    undo: async (cluster) => {
      await cluster.listHosts({
        hosts: cluster.hosts.map((host) => ({ host: host.name, zone: host.zone, state: 'live' })),
        servers: cluster.servers.map(({ id, service, zone, address }) => ({ id, service, zone, address, state: 'live' }))
      })
    }
  },
  {
    name: 'SIGTERM of a cell leader',
    act: async (cluster) => {
      const host = await findHost(cluster, { leader: true, zone: 'zone-3' })
      host.process.kill('SIGTERM')
      undoLater.push(() => { cluster.startHost(cluster.hosts.indexOf(host)) })
    }
  }
]

function describeGaps (gaps: ReadonlyMap<string, number>): { readonly p50: number, readonly p99: number, readonly worst: number } {
  const histogram = buildHistogram()
  for (const gap of gaps.values()) histogram.recordValue(Math.max(0, Math.round(gap - PERIOD_MS)))
  return { p50: histogram.getValueAtPercentile(50), p99: histogram.getValueAtPercentile(99), worst: histogram.maxValue }
}

/** New processes compile their code under the first load; that is not what a fault is to show. */
async function warmUp (cluster: Cluster): Promise<void> {
  const load = startLoad(cluster)
  await delay(WARM_UP_MS)
  await load.stop()
}

async function runFault (cluster: Cluster, fault: FaultRun): Promise<string> {
  undoLater = []
  const before = await owners(cluster)
  const load = startLoad(cluster)
  await delay(1500)
  load.gaps.clear()
  const tallyBefore = { ...load.tally }
  await fault.act(cluster)
  await delay(OBSERVED_MS)
  const after = await owners(cluster)
  await load.stop()
  const moved = [...before].filter(([unit, server]) => after.get(unit) !== server).length
  const broken = await countBrokenRules(cluster)
  await fault.undo?.(cluster)
  for (const undo of undoLater) undo()
  await delay(SETTLE_MS)
  await cluster.ready(SLICES, 20_000)
  const gaps = describeGaps(load.gaps)
  const { tally } = load
  const figures = [
    gaps.p50, gaps.p99, gaps.worst, moved, tally.answered - tallyBefore.answered, tally.notRun - tallyBefore.notRun,
    tally.unknown - tallyBefore.unknown, tally.refused - tallyBefore.refused, tally.cut - tallyBefore.cut, tally.timedOut - tallyBefore.timedOut, tally.wrong + broken
  ]
  return `| ${fault.name} | ${figures.join(' | ')} | ${gaps.worst <= TARGET_MS ? 'met' : 'NOT MET'} |`
}

interface ConfigurationRun {
  readonly name: string
  /** Returns the exit codes of the publications. */
  readonly act: (cluster: Cluster, folder: (deadlineMs: number) => string) => Promise<number[]>
}

const CONFIGURATION_RUNS: readonly ConfigurationRun[] = [
  { name: 'one publication', act: async (cluster, folder) => [(await cluster.command('publish', folder(4100))).code] },
  {
    name: 'two operators change one service at once',
    act: async (cluster, folder) => {
      const base = String(await configurationVersion(cluster))
      const outcomes = await Promise.all([4200, 4300].map(async (deadline) => await cluster.command('publish', folder(deadline), '--base', base)))
      return outcomes.map((outcome) => outcome.code)
    }
  },
  {
    name: 'the answer to the pointer write is lost',
    act: async (cluster, folder) => {
      await cluster.setFaults({ loseWriteAnswers: 1 })
      return [(await cluster.command('publish', folder(4400))).code]
    }
  },
  {
    name: 'one zone is cut from the platform for 2 s',
    act: async (cluster, folder) => {
      await cluster.setFaults({ cutZones: ['zone-1'] })
      const outcome = await cluster.command('publish', folder(4500))
      await delay(2000)
      await cluster.setFaults({ cutZones: [] })
      return [outcome.code]
    }
  }
]

function writeCatalogue (deadlineMs: number): string {
  const folder = mkdtempSync(join(tmpdir(), 'publish-'))
  const text = readFileSync(join(EXAMPLES, 'leiria', 'catalogue.toml'), 'utf8')
  writeFileSync(join(folder, 'catalogue.toml'), text.replace('deadline_ms = 4000', `deadline_ms = ${deadlineMs}`))
  return folder
}

async function configurationVersion (cluster: Cluster): Promise<number> {
  const versions = await configurationVersions(cluster)
  return Math.max(...versions)
}

async function configurationVersions (cluster: Cluster): Promise<number[]> {
  return [...(await dumps(cluster)).values()].map((dump) => dump.configuration.version)
}

/** Time from the end of the publications until every host has the newest version in force, and whether one went back. */
async function runConfiguration (cluster: Cluster, run: ConfigurationRun): Promise<string> {
  const before = await configurationVersion(cluster)
  const codes = await run.act(cluster, writeCatalogue)
  const startedAt = performance.now()
  const highest = new Map<number, number>()
  let wentBack = 0
  for (;;) {
    const versions = await configurationVersions(cluster)
    for (const [index, version] of versions.entries()) {
      if (version < (highest.get(index) ?? 0)) wentBack++
      highest.set(index, Math.max(version, highest.get(index) ?? 0))
    }
    const isEverywhere = versions.length === cluster.hosts.length && versions.every((version) => version > before)
    if (isEverywhere || performance.now() - startedAt > 20_000) break
    await delay(50)
  }
  const length = Math.round(performance.now() - startedAt)
  return `| ${run.name} | ${codes.join(', ')} | ${length} | ${wentBack} | ${length <= CONFIGURATION_TARGET_MS ? 'met' : 'NOT MET'} |`
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
    for (const deployment of ['leiria', 'luzon']) await cluster.command('publish', `${EXAMPLES}/${deployment}`)
    if (!await cluster.ready(SLICES, 30_000)) throw new Error('The hosts were not ready within 30 s')
    await warmUp(cluster)
    const only = process.argv[2]
    for (const fault of FAULTS.filter((candidate) => only === undefined || candidate.name.includes(only))) {
      const line = await runFault(cluster, fault)
      lines.push(line)
      console.log(line)
    }
    if (only !== undefined) return
    const header = ['', '| publication | exit codes | in force on every host after ms | hosts that went back | 4 s |', '| --- | --- | --- | --- | --- |']
    lines.push(...header)
    console.log(header.join('\n'))
    for (const run of CONFIGURATION_RUNS) {
      const line = await runConfiguration(cluster, run)
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
