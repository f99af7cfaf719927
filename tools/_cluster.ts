/** Starts stand-ins and entry hosts on loopback, for the demonstration, the fault runs and the measurements. */
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream, mkdirSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import type { BackendBehaviour } from '../standins/backend_server.ts'

/** Repository root of the built tree. */
const BUILT_ROOT = fileURLToPath(new URL('..', import.meta.url))

/** Secret of the local entry hosts. */
const LOCAL_SECRET = 'a-secret-for-loopback-only'

/** A service of the cluster's backend servers. */
export interface ClusterService {
  readonly name: string
  readonly servers: number
  readonly behaviour: Partial<BackendBehaviour>
}

/** An entry host that was started. */
export interface ClusterHost {
  readonly name: string
  readonly zone: string
  readonly callerAddress: string
  readonly operatorAddress: string
  process: ChildProcess
}

/** A backend server that was started. */
export interface ClusterServer {
  readonly id: string
  readonly service: string
  readonly zone: string
  readonly address: string
  process: ChildProcess
}

/** Options of {@link startCluster}. */
export interface ClusterOptions {
  readonly zones: number
  readonly hostsPerZone: number
  readonly services: readonly ClusterService[]
  /** First port; the cluster takes the following thousand. */
  readonly firstPort: number
  /** Whether each backend server is a process of its own. Default: false, one process for each service and zone. */
  readonly processPerServer?: boolean
  /** Where the processes' output goes. Default: it is dropped. */
  readonly logFolder?: string
  /** Cells in each zone. Default: 1. */
  readonly cellsInZone?: number
  /** Lag of the host list, in milliseconds. Default: 1000. */
  readonly hostListLagMs?: number
}

/** A running cluster. */
export interface Cluster {
  readonly platform: string
  readonly hosts: ClusterHost[]
  readonly servers: ClusterServer[]
  startHost (index: number): void
  startServer (id: string): void
  /** Runs a command of the operators' command line; returns its exit code and output. */
  runCommand (...words: string[]): Promise<{ readonly code: number, readonly output: string }>
  setFaults (faults: Readonly<Record<string, unknown>>): Promise<void>
  updateHostList (change: Readonly<Record<string, unknown>>): Promise<void>
  /** Waits until every host has a leader and every slice of the keyed services has an owner. */
  waitUntilReady (keyedServices: Readonly<Record<string, number>>, timeoutMs: number): Promise<boolean>
  stop (): Promise<void>
}

/** Flags of the daemon's first line: control needs little memory, and no threads to collect it. */
const HOST_FLAGS = ['--max-semi-space-size=4', '--single-threaded-gc']

/** Ports of one kind start this far apart. */
const PORT_BLOCK = 100

/**
 * Starts a cluster.
 *
 * @param options Its size.
 * @returns The cluster; its processes run until `stop`.
 */
export async function startCluster (options: ClusterOptions): Promise<Cluster> {
  const children = new Set<ChildProcess>()
  const platformPort = options.firstPort
  const platform = `http://127.0.0.1:${platformPort}`
  if (options.logFolder !== undefined) mkdirSync(options.logFolder, { recursive: true })

  function start (name: string, script: string, words: readonly string[], flags: readonly string[] = []): ChildProcess {
    const child = spawn(process.execPath, [...flags, join(BUILT_ROOT, script), ...words], { stdio: ['ignore', 'pipe', 'pipe'] })
    children.add(child)
    child.once('exit', () => { children.delete(child) })
    if (options.logFolder === undefined) {
      child.stdout.resume()
      child.stderr.resume()
    } else {
      const file = createWriteStream(join(options.logFolder, `${name}.log`), { flags: 'a' })
      child.stdout.pipe(file, { end: false })
      child.stderr.pipe(file, { end: false })
    }
    return child
  }

  async function post (path: string, body: unknown): Promise<void> {
    const response = await request(platform + path, {
      method: 'POST', body: JSON.stringify(body), headers: { 'content-type': 'application/json' }
    })
    await response.body.dump()
  }

  async function call (url: string): Promise<unknown> {
    const response = await request(url, { signal: AbortSignal.timeout(1000) })
    return await response.body.json()
  }

  async function waitFor (check: () => Promise<boolean>, timeoutMs: number): Promise<boolean> {
    const until = Date.now() + timeoutMs
    while (Date.now() < until) {
      if (await check().catch(() => false)) return true
      await delay(100)
    }
    return false
  }

  start('platform', 'standins/platform_main.js', [String(platformPort), String(options.hostListLagMs ?? 1000)])
  await waitFor(async () => { await call(`${platform}/standin/counts`); return true }, 10_000)

  const servers: ClusterServer[] = []
  const behaviours = new Map<string, Partial<BackendBehaviour>>()
  startServers()
  const hosts = describeHosts()
  await post('/standin/hosts', {
    hosts: hosts.map((host) => ({ host: host.name, zone: host.zone, state: 'live' })),
    servers: servers.map(({ id, service, zone, address }) => ({ id, service, zone, address, state: 'live' }))
  })
  for (const index of hosts.keys()) startHost(index)

  function startServers (): void {
    let port = options.firstPort + 4 * PORT_BLOCK
    for (const service of options.services) {
      const groups = new Map<string, Array<{ id: string, address: string, zone: string }>>()
      for (let number = 0; number < service.servers; number++) {
        const zone = `zone-${1 + number % options.zones}`
        const id = `${service.name}-${number + 1}`
        const group = groups.get(options.processPerServer === true ? id : zone) ?? []
        group.push({ id, address: `127.0.0.1:${port++}`, zone })
        groups.set(options.processPerServer === true ? id : zone, group)
        behaviours.set(id, service.behaviour)
      }
      for (const [name, group] of groups) {
        const child = start(`${service.name}-${name}`, 'standins/backend_server_main.js', [entriesOf(group, service.behaviour)])
        for (const entry of group) servers.push({ ...entry, service: service.name, process: child })
      }
    }
  }

  function entriesOf (group: ReadonlyArray<{ id: string, address: string }>, behaviour: Partial<BackendBehaviour>): string {
    return JSON.stringify(group.map(({ id, address }) => {
      const [host, port] = address.split(':')
      return { id, host, port: Number(port), behaviour }
    }))
  }

  function describeHosts (): ClusterHost[] {
    const described: ClusterHost[] = []
    for (let index = 0; index < options.zones * options.hostsPerZone; index++) {
      described.push({
        name: `127.0.0.1:${options.firstPort + 2 * PORT_BLOCK + index}`,
        zone: `zone-${1 + index % options.zones}`,
        callerAddress: `127.0.0.1:${options.firstPort + PORT_BLOCK + index}`,
        operatorAddress: `127.0.0.1:${options.firstPort + 3 * PORT_BLOCK + index}`,
        process: undefined as unknown as ChildProcess
      })
    }
    return described
  }

  function startHost (index: number): void {
    const host = hosts[index]
    if (host === undefined) return
    const cells = options.cellsInZone ?? 1
    host.process = start(`host-${index + 1}`, 'src/gooseberryfoldd.js', [
      '--caller-listen', host.callerAddress, '--peer-listen', host.name, '--operator-listen', host.operatorAddress,
      '--zone', host.zone, '--cell', String(1 + Math.floor(index / options.zones) % cells), '--cells-in-zone', String(cells),
      '--platform', platform, '--peer-secret', LOCAL_SECRET,
      '--seeds', hosts.filter((other) => other !== host && other.zone === host.zone).map((other) => other.name).join(',')
    ], HOST_FLAGS)
  }

  async function isReady (keyedServices: Readonly<Record<string, number>>): Promise<boolean> {
    const owned = new Map<string, number>()
    const seen = new Set<string>()
    for (const host of hosts) {
      if (host.process.exitCode !== null || host.process.signalCode !== null) continue
      const dump = await call(`http://${host.operatorAddress}/dump`) as {
        cell: string
        right: unknown
        configuration: { version: number }
        view: { owners: Record<string, Record<string, string>>, servers: Array<{ id: string, dispatcher: string | null }> } | null
      }
      if (dump.right === null || dump.view === null || dump.configuration.version === 0) return false
      if (dump.view.servers.some((server) => server.dispatcher === null)) return false
      if (seen.has(dump.cell)) continue
      seen.add(dump.cell)
      for (const [service, owners] of Object.entries(dump.view.owners)) owned.set(service, (owned.get(service) ?? 0) + Object.keys(owners).length)
    }
    return Object.entries(keyedServices).every(([service, slices]) => owned.get(service) === slices)
  }

  return {
    platform,
    hosts,
    servers,
    startHost,
    startServer (id) {
      const server = servers.find((candidate) => candidate.id === id)
      if (server === undefined) return
      server.process = start(server.id, 'standins/backend_server_main.js', [entriesOf([server], behaviours.get(id) ?? {})])
    },
    async runCommand (...words) {
      const child = start('command', 'src/gooseberryfold.js', [...words, '--platform', platform])
      let output = ''
      child.stdout?.on('data', (chunk: Buffer) => { output += chunk.toString() })
      child.stderr?.on('data', (chunk: Buffer) => { output += chunk.toString() })
      const code = await new Promise<number>((resolve) => { child.once('close', (exitCode) => { resolve(exitCode ?? -1) }) })
      return { code, output: output.trim() }
    },
    setFaults: async (faults) => { await post('/standin/faults', faults) },
    updateHostList: async (change) => { await post('/standin/hosts', change) },
    waitUntilReady: async (keyedServices, timeoutMs) => await waitFor(async () => await isReady(keyedServices), timeoutMs),
    async stop () {
      const running = [...children]
      for (const child of running) {
        child.kill('SIGCONT')
        child.kill('SIGKILL')
      }
      await Promise.all(running.map(async (child) => {
        if (child.exitCode === null && child.signalCode === null) await new Promise((resolve) => { child.once('exit', resolve) })
      }))
    }
  }
}
