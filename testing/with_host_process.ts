/** An entry host as a process on loopback addresses, with the store and the backend servers that it needs, and a crowd of callers. */
import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { createServer, type Server } from 'node:http'
import { connect, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { pause } from '../soak/environment.ts'
import { createHosts, type SoakHost } from '../soak/hosts.ts'
import { BASE_PORT, listenOnFreeNetwork, STORE_HOST_NUMBER, STORE_PORT } from '../soak/network.ts'
import { createRawCaller } from '../soak/raw_caller.ts'
import { closeServer } from '../soak/run_soak.ts'
import { createSoakStore } from '../soak/store.ts'

/** What a test of a host process works with. */
export interface HostProcessSetup {
  readonly host: SoakHost
  /** Opens connections to the callers' port, or to the one that other hosts use, and calls `write` with each; resolves once each has been written to, is closed, or makes no progress. */
  crowd (options: CrowdOptions): Promise<void>
  /** Sends an ordinary request until it is served; returns the status of the last attempt, 0 if there was no response. */
  requestOnce (): Promise<number>
  /** Largest number of descriptors that the process has had open. */
  peakDescriptors (): number
}

/** Callers that all do the same. */
export interface CrowdOptions {
  readonly connections: number
  /** Bytes that each connection sends, in parts. */
  readonly parts: () => Iterable<Buffer>
  /** Whether the responses are read. Default: true. */
  readonly isReading?: boolean
  /** Whether the crowd connects to the listener for other hosts. Default: false. */
  readonly isHost?: boolean
}

/** Memory of the smallest machine, in megabytes, and options of the runtime as deploy/system.toml has them. */
export const SMALLEST_MACHINE_MB = 202
const RUNTIME_OPTIONS = ['--max-old-space-size=160', '--max-semi-space-size=2', '--single-threaded-gc']

const PROGRAM_PATH = 'target/gooseberryfold.cjs'

/** Time without a byte accepted from any connection after which the crowd counts as stopped, in milliseconds, and the longest time for it. */
const STALL_MS = 1500
const MAXIMUM_CROWD_MS = 12_000

/** Attempts of an ordinary request, and the pause between them, in milliseconds. */
const ATTEMPTS = 40
const ATTEMPT_PAUSE_MS = 250

/** Timeout of the routes, in milliseconds: longer than a crowd takes to send, so that nothing is freed by it meanwhile. */
const ROUTE_TIMEOUT_MS = 15_000

/** Work of the servers on a path that ends with `/slow`, in milliseconds. */
export const SLOW_WORK_MS = 2000

let isBundled = false

/**
 * Runs a test against one host with the memory of the smallest machine, and ends all processes after it.
 *
 * @param run The test.
 */
export async function withHostProcess (run: (setup: HostProcessSetup) => Promise<void>): Promise<void> {
  if (!isBundled && spawnSync('npm', ['run', '--silent', 'bundle'], { stdio: 'inherit' }).status !== 0) throw new Error('The program could not be bundled')
  isBundled = true
  const store = createSoakStore(Math.random)
  const network = await listenOnFreeNetwork(store, process.pid)
  const folder = mkdtempSync(join(tmpdir(), 'host-process-'))
  const servers = await Promise.all(['crowd', 'orders'].map(async (service, index) => {
    const address = `127.0.${network}.${100 + index}`
    store.put('servers', `i-${service}`, { Service: service, Address: `${address}:${BASE_PORT}`, Zone: 'a', Version: 'v1', Slots: 6, State: 'ready', WarmupLeft: '0ms', Seq: 1, born: 1_750_000_000_000 })
    return await startServer(address)
  }))
  store.put('op', 'config', {
    Version: 1,
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 64 * 1024 * 1024, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' },
    Listeners: [{ Host: 'soak.example', Rules: ['crowd', 'orders'].map((name) => ({ Name: name, Kind: 'idempotent', LatencyGoal: '300ms', Priority: 1, Match: { Prefix: `/${name}/` }, Action: { Service: name, Timeout: `${ROUTE_TIMEOUT_MS}ms`, MaxAttempts: 2 } })) }],
    Clusters: ['crowd', 'orders'].map((name) => ({ Name: name, MaxConns: 300 }))
  })
  const [host] = await createHosts({ count: 1, zones: ['a'], storeHost: `127.0.${network}.${STORE_HOST_NUMBER}`, storePort: STORE_PORT, basePort: BASE_PORT, network, folder, program: PROGRAM_PATH, memoryMb: SMALLEST_MACHINE_MB, runtimeOptions: RUNTIME_OPTIONS })
  if (host === undefined) throw new Error('The host was not created')
  const sockets = new Set<Socket>()
  let peakDescriptors = 0
  const sampler = setInterval(() => { peakDescriptors = Math.max(peakDescriptors, host.openDescriptors()) }, 50)
  try {
    if (await requestUntilServed(host) !== 200) throw new Error(`The host serves nothing: ${folder}`)
    await run({
      host,
      async crowd (options) { await sendCrowd(host, sockets, options) },
      requestOnce: async () => await requestUntilServed(host),
      peakDescriptors: () => peakDescriptors
    })
  } finally {
    clearInterval(sampler)
    for (const socket of sockets) socket.destroy()
    await host.stop()
    for (const server of [...servers, store.server]) closeServer(server)
    rmSync(folder, { recursive: true, force: true })
  }
}

async function startServer (address: string): Promise<Server> {
  const server = createServer((request, response) => {
    request.on('error', () => {}).resume()
    request.on('end', () => { setTimeout(() => { response.writeHead(200, { 'Gooseberryfold-Attempt-Id': String(request.headers['gooseberryfold-attempt-id'] ?? ''), 'Gooseberryfold-Backend-Signature': 'signed' }).end('done') }, request.url?.endsWith('/slow') === true ? SLOW_WORK_MS : 0) })
  })
  await new Promise<void>((resolve) => { server.listen(BASE_PORT, address, resolve) })
  return server
}

async function requestUntilServed (host: SoakHost): Promise<number> {
  let status = 0
  for (let attempt = 0; attempt < ATTEMPTS && status !== 200 && host.isRunning(); attempt++) {
    if (attempt > 0) await pause(ATTEMPT_PAUSE_MS)
    const caller = createRawCaller({ host: host.ip, port: host.callerPort, onUnaskedBytes: () => {} })
    const outcome = await caller.send({ method: 'GET', path: '/orders/1', headers: { Host: 'soak.example', 'Gooseberryfold-Attempt-Id': `r${attempt}`, 'Gooseberryfold-Deadline-Ms': '5000' }, body: null, isChunked: false, partPauseMs: 0, readPauseMs: 0, deadlineMs: 5000 })
    caller.close()
    status = outcome.kind === 'complete' ? outcome.status : 0
  }
  return status
}

async function sendCrowd (host: SoakHost, sockets: Set<Socket>, options: CrowdOptions): Promise<void> {
  const port = options.isHost === true ? BASE_PORT + 3 : host.callerPort
  const startedAt = performance.now()
  const progress = { at: startedAt, writing: options.connections }
  for (let index = 0; index < options.connections; index++) {
    const socket = connect(port, host.ip)
    sockets.add(socket)
    socket.on('error', () => {})
    if (options.isReading === false) socket.pause()
    else socket.resume()
    const parts = options.parts()[Symbol.iterator]()
    let isDone = false
    const finish = (): void => {
      if (!isDone) progress.writing--
      isDone = true
    }
    const send = (): void => {
      progress.at = performance.now()
      for (;;) {
        const part = parts.next()
        if (part.done === true || socket.destroyed) return finish()
        if (!socket.write(part.value)) return
      }
    }
    socket.on('connect', send).on('drain', send).on('close', finish)
  }
  while (progress.writing > 0 && host.isRunning() && performance.now() - progress.at < STALL_MS && performance.now() - startedAt < MAXIMUM_CROWD_MS) await pause(50)
  // What has been written may still be in the buffers of the connections.
  await pause(STALL_MS)
}
