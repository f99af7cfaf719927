/** Starts stand-ins and entry hosts on loopback for the demonstration, the fault runs and the benchmarks. */
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream, mkdirSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import type { BackendBehaviour } from '../standins/backend_server.ts'

/** Root folder of the compiled code. */
const BUILT_ROOT = fileURLToPath(new URL('..', import.meta.url))

/** Secret that the local entry hosts share. */
const LOCAL_SECRET = 'a-secret-for-loopback-only'

/** A service and its backend servers. */
export interface ClusterService {
  readonly name: string
  readonly servers: number
  readonly behaviour: Partial<BackendBehaviour>
}

/** An entry host of the cluster and its process. */
export interface ClusterHost {
  readonly name: string
  readonly zone: string
  readonly callerAddress: string
  readonly operatorAddress: string
  process: ChildProcess
}

/** A backend server of the cluster and its process. */
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
  /** First port; the next thousand ports are reserved for the cluster. */
  readonly firstPort: number
  /** Starts a process for each backend server. Default: false, one process for each service and zone. */
  readonly processPerServer?: boolean
  /** Folder for log files with the processes' output. Default: the output is discarded. */
  readonly logFolder?: string
  /** Cells in each zone. Default: 1. */
  readonly cellsInZone?: number
  /** Delay until a change appears in the platform's host list, in milliseconds. Default: 1000. */
  readonly hostListLagMs?: number
}

/** A running cluster. */
export interface Cluster {
  readonly platform: string
  readonly hosts: ClusterHost[]
  readonly servers: ClusterServer[]
  startHost (index: number): void
  startServer (id: string): void
  /** Runs a command of the operators' command line tool; returns its exit code and output. */
  runCommand (...commandArguments: string[]): Promise<{ readonly code: number, readonly output: string }>
  setFaults (faults: Readonly<Record<string, unknown>>): Promise<void>
  updateHostList (change: Readonly<Record<string, unknown>>): Promise<void>
  /** Waits until every host has a leader and every slice of the keyed services has an owner; returns false on a timeout. */
  waitUntilReady (keyedServices: Readonly<Record<string, number>>, timeoutMs: number): Promise<boolean>
  stop (): Promise<void>
}

/** Node.js flags from the daemon's first line: control work needs little memory and no threads for garbage collection. */
const HOST_FLAGS = ['--max-semi-space-size=4', '--single-threaded-gc']

/** Number of ports reserved for each kind of listener. */
const PORT_BLOCK_SIZE = 100

/**
 * Starts a cluster.
 *
 * @param options Size and settings of the cluster.
 * @returns The cluster; its processes run until `stop` is called.
 */
export async function startCluster (options: ClusterOptions): Promise<Cluster> {
  const children = new Set<ChildProcess>()
  const platformPort = options.firstPort
  const platform = `http://127.0.0.1:${platformPort}`
  if (options.logFolder !== undefined) mkdirSync(options.logFolder, { recursive: true })

  function startProcess (name: string, script: string, scriptArguments: readonly string[], nodeFlags: readonly string[] = []): ChildProcess {
    const child = spawn(process.execPath, [...nodeFlags, join(BUILT_ROOT, script), ...scriptArguments], { stdio: ['ignore', 'pipe', 'pipe'] })
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

  async function getJson (url: string): Promise<unknown> {
    const response = await request(url, { signal: AbortSignal.timeout(1000) })
    return await response.body.json()
  }

  async function waitFor (condition: () => Promise<boolean>, timeoutMs: number): Promise<boolean> {
    const deadline = Date.now() + timeoutMs
    while (Date.now() < deadline) {
      if (await condition().catch(() => false)) return true
      await delay(100)
    }
    return false
  }

  startProcess('platform', 'standins/platform_main.js', [String(platformPort), String(options.hostListLagMs ?? 1000)])
  await waitFor(async () => { await getJson(`${platform}/standin/counts`); return true }, 10_000)

  const servers: ClusterServer[] = []
  const behaviours = new Map<string, Partial<BackendBehaviour>>()
  startServers()
  const hosts = buildHosts()
  await post('/standin/hosts', {
    hosts: hosts.map((host) => ({ host: host.name, zone: host.zone, state: 'live' })),
    servers: servers.map(({ id, service, zone, address }) => ({ id, service, zone, address, state: 'live' }))
  })
  for (const index of hosts.keys()) startHost(index)

  function startServers (): void {
    let port = options.firstPort + 4 * PORT_BLOCK_SIZE
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
        const child = startProcess(`${service.name}-${name}`, 'standins/backend_server_main.js', [encodeServers(group, service.behaviour)])
        for (const entry of group) servers.push({ ...entry, service: service.name, process: child })
      }
    }
  }

  function encodeServers (group: ReadonlyArray<{ id: string, address: string }>, behaviour: Partial<BackendBehaviour>): string {
    return JSON.stringify(group.map(({ id, address }) => {
      const [host, port] = address.split(':')
      return { id, host, port: Number(port), behaviour }
    }))
  }

  function buildHosts (): ClusterHost[] {
    const built: ClusterHost[] = []
    for (let index = 0; index < options.zones * options.hostsPerZone; index++) {
      built.push({
        name: `127.0.0.1:${options.firstPort + 2 * PORT_BLOCK_SIZE + index}`,
        zone: `zone-${1 + index % options.zones}`,
        callerAddress: `127.0.0.1:${options.firstPort + PORT_BLOCK_SIZE + index}`,
        operatorAddress: `127.0.0.1:${options.firstPort + 3 * PORT_BLOCK_SIZE + index}`,
        process: undefined as unknown as ChildProcess
      })
    }
    return built
  }

  function startHost (index: number): void {
    const host = hosts[index]
    if (host === undefined) return
    const cells = options.cellsInZone ?? 1
    host.process = startProcess(`host-${index + 1}`, 'src/gooseberryfoldd.js', [
      '--caller-listen', host.callerAddress, '--peer-listen', host.name, '--operator-listen', host.operatorAddress,
      '--zone', host.zone, '--cell', String(1 + Math.floor(index / options.zones) % cells), '--cells-in-zone', String(cells),
      '--platform', platform, '--peer-secret', LOCAL_SECRET,
      '--seeds', hosts.filter((other) => other !== host && other.zone === host.zone).map((other) => other.name).join(',')
    ], HOST_FLAGS)
  }

  async function isReady (keyedServices: Readonly<Record<string, number>>): Promise<boolean> {
    const ownedSlices = new Map<string, number>()
    const countedCells = new Set<string>()
    for (const host of hosts) {
      if (host.process.exitCode !== null || host.process.signalCode !== null) continue
      const dump = await getJson(`http://${host.operatorAddress}/dump`) as {
        cell: string
        right: unknown
        configuration: { version: number }
        view: { owners: Record<string, Record<string, string>>, servers: Array<{ id: string, dispatcher: string | null }> } | null
      }
      if (dump.right === null || dump.view === null || dump.configuration.version === 0) return false
      if (dump.view.servers.some((server) => server.dispatcher === null)) return false
      if (countedCells.has(dump.cell)) continue
      countedCells.add(dump.cell)
      for (const [service, owners] of Object.entries(dump.view.owners)) ownedSlices.set(service, (ownedSlices.get(service) ?? 0) + Object.keys(owners).length)
    }
    return Object.entries(keyedServices).every(([service, slices]) => ownedSlices.get(service) === slices)
  }

  return {
    platform,
    hosts,
    servers,
    startHost,
    startServer (id) {
      const server = servers.find((candidate) => candidate.id === id)
      if (server === undefined) return
      server.process = startProcess(server.id, 'standins/backend_server_main.js', [encodeServers([server], behaviours.get(id) ?? {})])
    },
    async runCommand (...commandArguments) {
      const child = startProcess('command', 'src/gooseberryfold.js', [...commandArguments, '--platform', platform])
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
