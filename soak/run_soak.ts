/** One seeded run of the soak: hosts as processes, faults from outside, promises checked while it runs. */
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { createBackend, createKeyGrantTracker, type SoakBackend } from './backend.ts'
import { createCallers } from './callers.ts'
import { createHosts, type SoakHost } from './hosts.ts'
import { LinkState, openLinkProxy, type LinkProxy } from './link_proxy.ts'
import { createGuaranteeChecker, Guarantees, type GuaranteeChecker } from './guarantee_checker.ts'
import { createSoakStore, type SoakStore } from './store.ts'

/** Options of a run. */
export interface SoakOptions {
  readonly seed: number
  /** Entry hosts. Default: 6. */
  readonly hosts?: number
  /** Length of the time with faults, in milliseconds. Default: 20,000. */
  readonly faultMs?: number
  readonly program: string
  /** Called for each fault. Default: nothing is told. */
  readonly onFault?: (text: string) => void
}

/** Result of a run. */
export interface SoakResult {
  readonly failures: readonly string[]
  readonly counts: GuaranteeChecker['counts']
  readonly faults: readonly string[]
  /** Where settings and logs are. */
  readonly folder: string
}

interface World {
  readonly hosts: SoakHost[]
  readonly backends: SoakBackend[]
  readonly links: Map<string, LinkProxy>
  readonly store: SoakStore
  readonly record: GuaranteeChecker
  readonly random: () => number
  readonly graceful: Set<string>
  version: number
}

/** First port of a run; runs differ by their loopback network. */
const BASE_PORT = 20_000

/** Loopback networks, and the last number of the store's address in each. */
const NETWORKS = 200
const STORE_HOST = 250

const ZONES = ['a', 'b', 'c'] as const
const KEYED_SERVERS = 5
const ORDER_SERVERS = 3

/** Keyed servers of every third seed: so many that hosts pass requests on to one another. */
const MANY_KEYED_SERVERS = 24
const REQUESTS_PER_SECOND = 120

/** Time for hosts to start and grant every key, in milliseconds. */
const START_MS = 3500

/** Time after the last fault within which requests must be served again, in milliseconds; the platform states 15 s. */
const RECOVERY_MS = 15_000

/** Time after its notice from which a leaving server gets nothing new, in milliseconds: the platform's bound and the store's answer. */
const DRAIN_MS = 2200

/** Resets in a series; each meets the few requests that are in flight. */
const RESETS = 8

/** Time between the signals to two hosts that stop, in milliseconds: both shut down at the same time for a while. */
const STOP_APART_MS = 400

/** Share of the requests that must be served once everything has healed. */
const SERVED_SHARE = 0.9

/**
 * Runs the soak once.
 *
 * @param options Seed and size.
 * @returns What broke; nothing where all promises held.
 */
export async function runSoak (options: SoakOptions): Promise<SoakResult> {
  const startedAt = performance.now()
  const generator = xoroshiro128plus(options.seed)
  const random = (): number => uniformInt(generator, 0, 2 ** 30) / 2 ** 30
  const record = createGuaranteeChecker(() => performance.now() - startedAt)
  const folder = mkdtempSync(join(tmpdir(), `soak-${options.seed}-`))
  const basePort = BASE_PORT
  const store = createSoakStore(random)
  const network = await listenOnFreeNetwork(store, options.seed)
  const world: World = { hosts: [], backends: [], links: new Map(), store, record, random, graceful: new Set(), version: 1 }
  await startBackends(world, { network, basePort, seed: options.seed })
  putConfiguration(world)
  world.hosts.push(...await createHosts({ count: options.hosts ?? 6, zones: ZONES, storeHost: `127.0.${network}.${STORE_HOST}`, storePort: basePort + 39, basePort, network, folder, program: options.program }))
  const callers = createCallers({ hosts: world.hosts, checker: record, random, requestsPerSecond: REQUESTS_PER_SECOND, stoppingHosts: world.graceful })
  const faults: string[] = []
  try {
    await pause(START_MS)
    callers.start()
    const until = performance.now() + (options.faultMs ?? 20_000)
    while (performance.now() < until) {
      await pause(200 + random() * 1800)
      const text = injectFault(world)
      faults.push(`${((performance.now() - startedAt) / 1000).toFixed(2)} s ${text}`)
      options.onFault?.(faults.at(-1) ?? '')
    }
    heal(world)
    await checkRecovery(world)
    await callers.stop()
  } finally {
    await callers.stop()
    await Promise.all(world.hosts.map(async (host) => { await host.stop() }))
    for (const link of world.links.values()) link.close()
    for (const backend of world.backends) closeServer(backend.server)
    closeServer(store.server)
  }
  return { failures: record.failures, counts: record.counts, faults, folder }
}

/** Runs beside one another take loopback networks of their own: the first that is free for the store. */
async function listenOnFreeNetwork (store: SoakStore, seed: number): Promise<number> {
  for (let tried = 0; tried < NETWORKS; tried++) {
    const network = 1 + (seed + tried) % NETWORKS
    const isFree = await new Promise<boolean>((resolve) => {
      store.server.once('error', () => { resolve(false) })
      store.server.listen(BASE_PORT + 39, `127.0.${network}.${STORE_HOST}`, () => { resolve(true) })
    })
    if (isFree) return network
  }
  throw new Error(`No loopback network is free: all ${NETWORKS} are in use`)
}

async function startBackends (world: World, place: { readonly network: number, readonly basePort: number, readonly seed: number }): Promise<void> {
  const book = createKeyGrantTracker()
  const keyedServers = place.seed % 3 === 0 ? MANY_KEYED_SERVERS : KEYED_SERVERS
  for (let index = 0; index < keyedServers + ORDER_SERVERS; index++) {
    const keyed = index < keyedServers
    const backend = createBackend({ id: `i-${index}`, keyed, slots: 6, checker: world.record, grantTracker: book, random: world.random })
    const host = `127.0.${place.network}.${100 + index}`
    await new Promise<void>((resolve) => { backend.server.listen(place.basePort + 1, host, resolve) })
    world.links.set(backend.id, await openLinkProxy({ host, port: place.basePort + 1 }, { host, port: place.basePort }))
    world.backends.push(backend)
    putServer(world, backend, { state: 'ready', address: `${host}:${place.basePort}` })
  }
}

const addresses = new WeakMap<SoakBackend, string>()

function putServer (world: World, backend: SoakBackend, entry: { readonly state: 'ready' | 'draining', readonly address?: string }): void {
  if (entry.address !== undefined) addresses.set(backend, entry.address)
  const index = world.backends.indexOf(backend)
  world.store.put('servers', backend.id, {
    Service: backend.keyed ? 'lookups' : 'orders', Address: addresses.get(backend), Zone: ZONES[index % ZONES.length], Version: 'v1', Slots: 6, State: entry.state, WarmupLeft: '0ms', Seq: 1, born: 1_750_000_000_000
  })
}

function putConfiguration (world: World): void {
  const rule = (name: string, kind: string): unknown => ({
    Name: name, Kind: kind, LatencyGoal: '300ms', Priority: 1, Match: { Prefix: `/${name}/` }, Action: { Service: name, Timeout: '1200ms', MaxAttempts: 2 }
  })
  world.store.put('op', 'config', {
    Version: world.version++,
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 1_000_000, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' },
    Listeners: [{ Host: 'soak.example', Rules: [rule('lookups', 'idempotent'), rule('orders', 'non_idempotent')] }],
    Clusters: [{ Name: 'lookups', MaxConns: 300, Sharded: true, Warm: '3s' }, { Name: 'orders', MaxConns: 300 }]
  })
}

/** Faults by name; each undoes itself after some time. */
const FAULTS: Readonly<Record<string, (world: World) => string>> = {
  kill (world) {
    const host = pick(world, world.hosts)
    host.sendSignal('SIGKILL')
    restartLater(host, 500)
    return host.name
  },
  killAll (world) {
    for (const host of world.hosts) {
      host.sendSignal('SIGKILL')
      restartLater(host, 600)
    }
    return 'all hosts'
  },
  terminate (world) {
    const host = pick(world, world.hosts)
    if (!host.isServing()) return 'nobody'
    host.sendSignal('SIGTERM')
    restartLater(host, 0)
    return host.name
  },
  freeze (world) {
    const host = pick(world, world.hosts)
    const lengthMs = 500 + world.random() * 5000
    host.sendSignal('SIGSTOP')
    setTimeout(() => { host.sendSignal('SIGCONT') }, lengthMs)
    return `${host.name} for ${Math.round(lengthMs)} ms`
  },
  storeLink (world) {
    const host = pick(world, world.hosts)
    return disturb(world, host.storeProxy, host.name)
  },
  serverLink (world) {
    const backend = pick(world, world.backends)
    const link = world.links.get(backend.id)
    return link === undefined ? backend.id : disturb(world, link, backend.id)
  },
  resetLinks (world) {
    for (let count = 0; count < RESETS; count++) {
      setTimeout(() => { for (const link of world.links.values()) link.reset() }, count * 100)
    }
    return `all servers, ${RESETS} times`
  },
  storeBusy (world) {
    world.store.faults.busy = true
    setTimeout(() => { world.store.faults.busy = false }, 1000 + world.random() * 7000)
    return 'store'
  },
  storeSlow (world) {
    world.store.faults.slowMs = 300
    setTimeout(() => { world.store.faults.slowMs = 4 }, 3000)
    return 'store'
  },
  storeLosesAnswers (world) {
    world.store.faults.loseAnswers = 0.4
    setTimeout(() => { world.store.faults.loseAnswers = 0 }, 4000)
    return 'store'
  },
  leave (world) {
    const backend = pick(world, world.backends)
    if (backend.drainDeadline !== Infinity) return 'nobody'
    putServer(world, backend, { state: 'draining' })
    // The bound holds for a store and hosts without other faults; those run all the time here, so only the return is checked.
    backend.drainDeadline = Number.MAX_VALUE
    setTimeout(() => {
      backend.drainDeadline = Infinity
      putServer(world, backend, { state: 'ready' })
    }, 4000)
    return backend.id
  },
  configure (world) {
    for (let count = 0; count < 5; count++) setTimeout(() => { putConfiguration(world) }, count * 200)
    return `from version ${world.version}`
  }
}

function injectFault (world: World): string {
  const names = Object.keys(FAULTS)
  const name = names[Math.floor(world.random() * names.length)] ?? 'kill'
  return `${name}: ${FAULTS[name]?.(world) ?? ''}`
}

function disturb (world: World, link: LinkProxy, name: string): string {
  const states = [LinkState.slow, LinkState.blackhole, LinkState.responsesDropped] as const
  const state = states[Math.floor(world.random() * states.length)] ?? LinkState.slow
  const lengthMs = 500 + world.random() * 5000
  link.setState(state)
  setTimeout(() => {
    link.setState(LinkState.open)
    link.reset()
  }, lengthMs)
  return `${name} ${state} for ${Math.round(lengthMs)} ms`
}

function restartLater (host: SoakHost, delayMs: number): void {
  host.waitForExit().then(() => { setTimeout(() => { host.start() }, delayMs) }, () => {})
}

function heal (world: World): void {
  for (const link of [...world.links.values(), ...world.hosts.map((host) => host.storeProxy)]) link.setState(LinkState.open)
  world.store.faults.busy = false
  world.store.faults.loseAnswers = 0
  world.store.faults.slowMs = 4
  for (const host of world.hosts) host.sendSignal('SIGCONT')
}

async function checkRecovery (world: World): Promise<void> {
  await pause(RECOVERY_MS)
  const sentBefore = world.record.counts.sent
  world.record.takeServedCount()
  await pause(2000)
  const sent = world.record.counts.sent - sentBefore
  const share = world.record.takeServedCount() / Math.max(1, sent)
  if (share < SERVED_SHARE) world.record.reportViolation(Guarantees.served, `${Math.round(share * 100)} % of ${sent} requests are served ${RECOVERY_MS} ms after the last fault`)
  await checkLeaving(world)
  await checkGraceful(world)
}

/** With nothing else wrong, hosts that are told to stop, one soon after the other, answer every request that they have passed on. */
async function checkGraceful (world: World): Promise<void> {
  const first = Math.floor(world.random() * world.hosts.length)
  await Promise.all(Array.from({ length: Math.floor(world.hosts.length / 2) }, async (_, turn) => {
    const host = world.hosts[(first + turn) % world.hosts.length]
    await pause(turn * STOP_APART_MS)
    if (host?.isServing() !== true) return
    world.graceful.add(host.name)
    host.sendSignal('SIGTERM')
    const code = await host.waitForExit()
    await pause(100)
    world.graceful.delete(host.name)
    if (code !== 0) world.record.reportViolation(Guarantees.graceful, `${host.name} ended with code ${String(code)}`)
  }))
}

/** With nothing else wrong, a server that leaves gets no new request after the bound. */
async function checkLeaving (world: World): Promise<void> {
  const backend = pick(world, world.backends)
  putServer(world, backend, { state: 'draining' })
  backend.drainDeadline = performance.now() + DRAIN_MS
  await pause(DRAIN_MS + 1500)
  backend.drainDeadline = Infinity
  putServer(world, backend, { state: 'ready' })
}

function pick<Item> (world: World, items: readonly Item[]): Item {
  const item = items[Math.floor(world.random() * items.length)]
  if (item === undefined) throw new Error('There is nothing to pick from: the list is empty')
  return item
}

function closeServer (server: import('node:http').Server): void {
  server.closeAllConnections()
  server.close()
}

async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}
