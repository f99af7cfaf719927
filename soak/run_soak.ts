/** One seeded run of the soak test: injects faults into host processes and their links, and checks the guarantees meanwhile. */
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createBackend, createKeyGrantTracker } from './backend.ts'
import { createCallers } from './callers.ts'
import { pause, pickRandom, writeAgain, writeServerEntry, ZONES, type Environment } from './environment.ts'
import { installFatalRequests } from './fatal_requests.ts'
import { createHosts, type SoakHost } from './hosts.ts'
import { LinkState, openLinkProxy, type LinkProxy } from './link_proxy.ts'
import { BASE_PORT, createRandom, listenOnFreeNetwork, STORE_HOST_NUMBER, STORE_PORT } from './network.ts'
import { createGuaranteeChecker, type GuaranteeChecker } from './guarantee_checker.ts'
import { checkMemory, checkRecovery } from './recovery_checks.ts'
import { checkReplacedServer } from './replaced_server_check.ts'
import { ResponseFault } from './spoiled_responses.ts'
import { createSoakStore } from './store.ts'

/** Options of {@link runSoak}. */
export interface SoakOptions {
  readonly seed: number
  /** Entry hosts. Default: 6. */
  readonly hosts?: number
  /** Duration of the phase with faults, in milliseconds. Default: 20,000. */
  readonly faultMs?: number
  /** Path of the program that each host runs. */
  readonly program: string
  /** Path of the program of an earlier build, which every other host runs until it is replaced. Default: none. */
  readonly earlierProgram?: string
  /** Called with the description of each fault. Default: no callback. */
  readonly onFault?: (text: string) => void
}

/** Result of a run. */
export interface SoakResult {
  readonly failures: readonly string[]
  readonly counts: GuaranteeChecker['counts']
  readonly faults: readonly string[]
  /** Folder with the settings files and logs. */
  readonly folder: string
}

const KEYED_SERVER_COUNT = 5
const ORDER_SERVER_COUNT = 3

/** Number of keyed servers in every third seed: enough that hosts forward requests to each other. */
const LARGE_KEYED_SERVER_COUNT = 24
const REQUESTS_PER_SECOND = 120

/** Time for hosts to start and grant all keys, in milliseconds. */
const STARTUP_MS = 3500

/** Number of resets in a series, since each one affects only the few requests in flight. */
const RESET_COUNT = 8

/** Added to the seed for the random numbers of spoiled responses. */
const SPOIL_SEED_OFFSET = 1_000_000_007

/** Added to the seed for the random numbers of callers that leave. */
const LEAVE_SEED_OFFSET = 2_000_000_011

/** Added to the seed for the random numbers of restores of the store. */
const RESTORE_SEED_OFFSET = 3_000_000_019

/** Range of the time before a restore and between two, in milliseconds: most runs have two or more beside their other faults. */
const RESTORE_INTERVAL_MS = { minimum: 1500, maximum: 9000 } as const

/** Range of the age of the copy that the store is restored from, in milliseconds. */
const COPY_AGE_MS = { minimum: 500, maximum: 12_000 } as const

/** Longest time for which the store is away before a restore, and before the others have written again after it, in milliseconds. */
const RESTORE_OUTAGE_MS = 2500
const WRITE_AGAIN_MS = 1500

/** Interval at which another server begins to spoil responses, in milliseconds. */
const SPOIL_INTERVAL_MS = 1500

/**
 * Runs the soak test once.
 *
 * @param options Seed, size, duration and program.
 * @returns The violations, counts and faults of the run; `failures` is empty if all guarantees held.
 */
export async function runSoak (options: SoakOptions): Promise<SoakResult> {
  const startedAt = performance.now()
  const random = createRandom(options.seed)
  const spoilRandom = createRandom(options.seed + SPOIL_SEED_OFFSET)
  const checker = createGuaranteeChecker(() => performance.now() - startedAt)
  const folder = mkdtempSync(join(tmpdir(), `soak-${options.seed}-`))
  const basePort = BASE_PORT
  const store = createSoakStore(random)
  const network = await listenOnFreeNetwork(store, options.seed)
  const environment: Environment = { hosts: [], backends: [], linkProxies: new Map(), store, checker, random, spoilRandom, stoppingHosts: new Set(), version: 1, configuration: null }
  await startBackends(environment, { network, basePort, seed: options.seed })
  installFatalRequests(environment)
  writeConfiguration(environment)
  environment.hosts.push(...await createHosts({ count: options.hosts ?? 6, zones: ZONES, storeHost: `127.0.${network}.${STORE_HOST_NUMBER}`, storePort: STORE_PORT, basePort, network, folder, program: options.program, ...(options.earlierProgram === undefined ? {} : { earlierProgram: options.earlierProgram }) }))
  const callers = createCallers({ hosts: environment.hosts, checker, random, leaveRandom: createRandom(options.seed + LEAVE_SEED_OFFSET), requestsPerSecond: REQUESTS_PER_SECOND, stoppingHosts: environment.stoppingHosts })
  const faults: string[] = []
  const spoilTimer = setInterval(() => { spoilResponses(environment) }, SPOIL_INTERVAL_MS)
  try {
    await pause(STARTUP_MS)
    callers.start()
    const until = performance.now() + (options.faultMs ?? 20_000)
    const restores = restoreRepeatedly(environment, { until, random: createRandom(options.seed + RESTORE_SEED_OFFSET), onRestore (text) { faults.push(`${((performance.now() - startedAt) / 1000).toFixed(2)} s ${text}`) } })
    while (performance.now() < until) {
      await pause(200 + random() * 1800)
      const text = injectFault(environment)
      faults.push(`${((performance.now() - startedAt) / 1000).toFixed(2)} s ${text}`)
      options.onFault?.(faults.at(-1) ?? '')
    }
    await restores
    if (options.earlierProgram !== undefined) await replaceEarlierBuilds(environment, options.program)
    clearInterval(spoilTimer)
    clearFaults(environment)
    checkMemory(environment)
    await checkRecovery(environment)
    await checkReplacedServer(environment, callers.stop)
  } finally {
    clearInterval(spoilTimer)
    await callers.stop()
    await Promise.all(environment.hosts.map(async (host) => { await host.stop() }))
    for (const linkProxy of environment.linkProxies.values()) linkProxy.close()
    for (const backend of environment.backends) closeServer(backend.server)
    closeServer(store.server)
  }
  return { failures: checker.failures, counts: checker.counts, faults, folder }
}

/** Replaces the hosts that run an earlier build, one after the other; the other faults of the run may go on. */
async function replaceEarlierBuilds (environment: Environment, program: string): Promise<void> {
  for (const [index, host] of environment.hosts.entries()) {
    host.setProgram(program)
    if (index % 2 === 0 || !host.isServing()) continue
    host.sendSignal('SIGTERM')
    await host.waitForExit()
    host.start()
  }
}

/** Restores the store from copies at random moments until a time, beside the other faults. */
async function restoreRepeatedly (environment: Environment, { until, random, onRestore }: { readonly until: number, readonly random: () => number, readonly onRestore: (text: string) => void }): Promise<void> {
  const between = ({ minimum, maximum }: { readonly minimum: number, readonly maximum: number }): number => minimum + random() * (maximum - minimum)
  for (;;) {
    await pause(between(RESTORE_INTERVAL_MS))
    if (performance.now() >= until) return
    const ageMs = between(COPY_AGE_MS)
    const outageMs = random() * RESTORE_OUTAGE_MS
    environment.store.faults.busy = true
    await pause(outageMs)
    environment.store.restore(ageMs)
    environment.store.faults.busy = false
    onRestore(`restore: from a copy ${Math.round(ageMs)} ms old, after ${Math.round(outageMs)} ms`)
    await pause(random() * WRITE_AGAIN_MS)
    writeAgain(environment)
  }
}

async function startBackends (environment: Environment, options: { readonly network: number, readonly basePort: number, readonly seed: number }): Promise<void> {
  const grantTracker = createKeyGrantTracker()
  const keyedServers = options.seed % 3 === 0 ? LARGE_KEYED_SERVER_COUNT : KEYED_SERVER_COUNT
  for (let index = 0; index < keyedServers + ORDER_SERVER_COUNT; index++) {
    const keyed = index < keyedServers
    const backend = createBackend({ id: `i-${index}`, keyed, slots: 6, checker: environment.checker, grantTracker, random: environment.random, spoilRandom: environment.spoilRandom })
    const host = `127.0.${options.network}.${100 + index}`
    await new Promise<void>((resolve) => { backend.server.listen(options.basePort + 1, host, resolve) })
    environment.linkProxies.set(backend.id, await openLinkProxy({ host, port: options.basePort + 1 }, { host, port: options.basePort }))
    environment.backends.push(backend)
    writeServerEntry(environment, backend, { state: 'ready', address: `${host}:${options.basePort}` })
  }
}

function writeConfiguration (environment: Environment): void {
  const rule = (name: string, kind: string): unknown => ({
    Name: name, Kind: kind, LatencyGoal: '300ms', Priority: 1, Match: { Prefix: `/${name}/` }, Action: { Service: name, Timeout: '1200ms', MaxAttempts: 2 }
  })
  environment.configuration = {
    Version: environment.version++,
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 1_000_000, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' },
    Listeners: [{ Host: 'soak.example', Rules: [rule('lookups', 'idempotent'), rule('orders', 'non_idempotent')] }],
    Clusters: [{ Name: 'lookups', MaxConns: 300, Sharded: true, Warm: '3s' }, { Name: 'orders', MaxConns: 300 }]
  }
  environment.store.put('op', 'config', environment.configuration)
}

/** Faults by name; each ends by itself after some time. Their order determines which fault a seed draws. */
const FAULTS: Readonly<Record<string, (environment: Environment) => string>> = {
  kill (environment) {
    const host = pickRandom(environment, environment.hosts)
    host.sendSignal('SIGKILL')
    restartLater(host, 500)
    return host.name
  },
  killAll (environment) {
    for (const host of environment.hosts) {
      host.sendSignal('SIGKILL')
      restartLater(host, 600)
    }
    return 'all hosts'
  },
  terminate (environment) {
    const host = pickRandom(environment, environment.hosts)
    if (!host.isServing()) return 'none'
    host.sendSignal('SIGTERM')
    restartLater(host, 0)
    return host.name
  },
  freeze (environment) {
    const host = pickRandom(environment, environment.hosts)
    const durationMs = 500 + environment.random() * 5000
    host.sendSignal('SIGSTOP')
    setTimeout(() => { host.sendSignal('SIGCONT') }, durationMs)
    return `${host.name} for ${Math.round(durationMs)} ms`
  },
  storeLink (environment) {
    const host = pickRandom(environment, environment.hosts)
    return injectLinkFault(environment, host.storeProxy, host.name)
  },
  serverLink (environment) {
    const backend = pickRandom(environment, environment.backends)
    const linkProxy = environment.linkProxies.get(backend.id)
    return linkProxy === undefined ? backend.id : injectLinkFault(environment, linkProxy, backend.id)
  },
  resetLinks (environment) {
    for (let count = 0; count < RESET_COUNT; count++) {
      setTimeout(() => { for (const linkProxy of environment.linkProxies.values()) linkProxy.reset() }, count * 100)
    }
    return `all servers, ${RESET_COUNT} times`
  },
  storeBusy (environment) {
    environment.store.faults.busy = true
    setTimeout(() => { environment.store.faults.busy = false }, 1000 + environment.random() * 7000)
    return 'store'
  },
  storeSlow (environment) {
    environment.store.faults.slowMs = 300
    setTimeout(() => { environment.store.faults.slowMs = 4 }, 3000)
    return 'store'
  },
  storeLosesAnswers (environment) {
    environment.store.faults.loseAnswers = 0.4
    setTimeout(() => { environment.store.faults.loseAnswers = 0 }, 4000)
    return 'store'
  },
  leave (environment) {
    const backend = pickRandom(environment, environment.backends)
    if (backend.drainDeadline !== Infinity) return 'none'
    writeServerEntry(environment, backend, { state: 'draining' })
    // The drain deadline applies only if the store and the hosts have no other faults. Other faults occur throughout this phase, so only the return of the server is checked.
    backend.drainDeadline = Number.MAX_VALUE
    setTimeout(() => {
      backend.drainDeadline = Infinity
      writeServerEntry(environment, backend, { state: 'ready' })
    }, 4000)
    return backend.id
  },
  configure (environment) {
    for (let count = 0; count < 5; count++) setTimeout(() => { writeConfiguration(environment) }, count * 200)
    return `from version ${environment.version}`
  }
}

function injectFault (environment: Environment): string {
  const names = Object.keys(FAULTS)
  const name = names[Math.floor(environment.random() * names.length)] ?? 'kill'
  return `${name}: ${FAULTS[name]?.(environment) ?? ''}`
}

function injectLinkFault (environment: Environment, linkProxy: LinkProxy, name: string): string {
  const states = [LinkState.slow, LinkState.blackhole, LinkState.responsesDropped] as const
  const state = states[Math.floor(environment.random() * states.length)] ?? LinkState.slow
  const durationMs = 500 + environment.random() * 5000
  linkProxy.setState(state)
  setTimeout(() => {
    linkProxy.setState(LinkState.open)
    linkProxy.reset()
  }, durationMs)
  return `${name} ${state} for ${Math.round(durationMs)} ms`
}

/** Starts a host again some time after its process has ended. */
export function restartLater (host: SoakHost, delayMs: number): void {
  host.waitForExit().then(() => { setTimeout(() => { host.start() }, delayMs) }, () => {})
}

function clearFaults (environment: Environment): void {
  for (const linkProxy of [...environment.linkProxies.values(), ...environment.hosts.map((host) => host.storeProxy)]) linkProxy.setState(LinkState.open)
  environment.store.faults.busy = false
  environment.store.faults.loseAnswers = 0
  environment.store.faults.slowMs = 4
  for (const host of environment.hosts) host.sendSignal('SIGCONT')
  for (const backend of environment.backends) backend.responseFault = null
}

/** Makes another server spoil some of its responses. */
function spoilResponses (environment: Environment): void {
  const faults = Object.values(ResponseFault)
  for (const backend of environment.backends) backend.responseFault = null
  const backend = environment.backends[Math.floor(environment.spoilRandom() * environment.backends.length)]
  if (backend !== undefined) backend.responseFault = faults[Math.floor(environment.spoilRandom() * faults.length)] ?? null
}

/** Closes a server and its connections. */
export function closeServer (server: import('node:http').Server): void {
  server.closeAllConnections()
  server.close()
}
