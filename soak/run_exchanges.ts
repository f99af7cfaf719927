/** One seeded run with bodies of any length and framing, and with requests that servers turn away, lose or delay, while hosts end. */
import { mkdtempSync } from 'node:fs'
import type { Server } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { pause, ZONES } from './environment.ts'
import { createExchangeCallers, type ServiceTraffic } from './exchange_callers.ts'
import { createExchangeChecker, type ExchangeChecker } from './exchange_checker.ts'
import { createExchangeServer, type ServerBehaviour } from './exchange_server.ts'
import { createGuaranteeChecker, Guarantees } from './guarantee_checker.ts'
import { createHosts, RETRY_RATIO, type SoakHost } from './hosts.ts'
import { LinkState } from './link_proxy.ts'
import { BASE_PORT, createRandom, listenOnFreeNetwork, STORE_HOST_NUMBER, STORE_PORT } from './network.ts'
import { checkMemory } from './recovery_checks.ts'
import { closeServer, restartLater, type SoakOptions, type SoakResult } from './run_soak.ts'
import { createSoakStore, type SoakStore } from './store.ts'

/** Result of a run. */
export interface ExchangeResult extends Pick<SoakResult, 'failures' | 'faults' | 'folder'> {
  readonly counts: ExchangeChecker['counts']
  readonly closestWindows: readonly string[]
}

/** Added to the seed for the random numbers of this run, of its servers and of its callers. */
const FAULT_SEED_OFFSET = 4_000_000_007
const SERVER_SEED_OFFSET = 5_000_000_029
const CALLER_SEED_OFFSET = 6_000_000_001

/** Retries beyond the ratio: few, so that a run of some seconds can exceed the limit. */
const RETRY_SLACK = 20

/** Time for hosts to start, and after the last fault, in milliseconds. */
const STARTUP_MS = 3500
const CALM_MS = 1500

/** Share of the run after which hosts of an earlier build start again with the present one. */
const EARLIER_SHARE = 0.6

/** Range of the time between two faults, in milliseconds: hosts end while responses are on their way. */
const FAULT_INTERVAL_MS = { minimum: 300, maximum: 1100 } as const

/** Time after which a host that was killed starts again, in milliseconds. */
const RESTART_MS = 500

/** Longest time for which a host is suspended or cut off from the store, in milliseconds. */
const SUSPENSION_MS = 1500
const CUT_MS = 4000

const SOUND: ServerBehaviour = { turnedAwayShare: 0, lostShare: 0, slowShare: 0, brokenShare: 0, earlyShare: 0, hasLongBodies: false }

/** Services by their servers' behaviour. */
const SERVICES: ReadonlyArray<ServiceTraffic & { readonly behaviour: ServerBehaviour, readonly servers: number, readonly slots: number }> = [
  { name: 'files', hasUploads: false, requestsPerSecond: 35, servers: 6, slots: 6, behaviour: { ...SOUND, brokenShare: 0.35, hasLongBodies: true } },
  { name: 'uploads', hasUploads: true, requestsPerSecond: 25, servers: 6, slots: 6, behaviour: { ...SOUND, brokenShare: 0.35, earlyShare: 0.15, hasLongBodies: true } },
  { name: 'turning', hasUploads: false, requestsPerSecond: 150, servers: 8, slots: 1, behaviour: { ...SOUND, turnedAwayShare: 0.6 } },
  { name: 'losing', hasUploads: false, requestsPerSecond: 25, servers: 4, slots: 6, behaviour: { ...SOUND, lostShare: 0.4, turnedAwayShare: 0.1 } },
  { name: 'slow', hasUploads: false, requestsPerSecond: 25, servers: 6, slots: 6, behaviour: { ...SOUND, slowShare: 0.3 } },
  // So few requests that the fixed number of retries is most of the limit: what hosts that start may send shows here.
  { name: 'rare', hasUploads: false, requestsPerSecond: 10, servers: 4, slots: 6, behaviour: { ...SOUND, turnedAwayShare: 0.9 } }
]

/** Minimum share of requests that are served: with fewer, the run shows nothing. */
const MINIMUM_SERVED_SHARE = 0.1

/** State of one run that its faults share. */
interface Situation { readonly hosts: readonly SoakHost[], readonly store: SoakStore, readonly random: () => number }

/**
 * Runs the exchanges once.
 *
 * @param options Seed, size, duration and program.
 * @returns The violations, counts and faults of the run; `failures` is empty if all guarantees held.
 */
export async function runExchanges (options: SoakOptions): Promise<ExchangeResult> {
  const startedAt = performance.now()
  const now = (): number => performance.now() - startedAt
  const { reportViolation, failures } = createGuaranteeChecker(now)
  const checker = createExchangeChecker({ reportViolation, now, retryRatio: RETRY_RATIO, retrySlack: RETRY_SLACK })
  const folder = mkdtempSync(join(tmpdir(), `soak-exchanges-${options.seed}-`))
  const random = createRandom(options.seed + FAULT_SEED_OFFSET)
  const store = createSoakStore(random)
  const network = await listenOnFreeNetwork(store, options.seed)
  writeConfiguration(store)
  const servers = await startServers({ network, store, checker, reportViolation, random: createRandom(options.seed + SERVER_SEED_OFFSET) })
  const hosts = await createHosts({ count: options.hosts ?? 6, zones: ZONES, storeHost: `127.0.${network}.${STORE_HOST_NUMBER}`, storePort: STORE_PORT, basePort: BASE_PORT, network, folder, program: options.program, retrySlack: RETRY_SLACK, ...(options.earlierProgram === undefined ? {} : { earlierProgram: options.earlierProgram }) })
  const callers = createExchangeCallers({ hosts, services: SERVICES, checker, reportViolation, random: createRandom(options.seed + CALLER_SEED_OFFSET) })
  const faults: string[] = []
  try {
    await pause(STARTUP_MS)
    callers.start()
    const until = performance.now() + (options.faultMs ?? 20_000)
    const replacement = setTimeout(() => { for (const host of hosts) host.setProgram(options.program) }, (until - performance.now()) * EARLIER_SHARE)
    while (performance.now() < until) {
      await pause(FAULT_INTERVAL_MS.minimum + random() * (FAULT_INTERVAL_MS.maximum - FAULT_INTERVAL_MS.minimum))
      faults.push(`${(now() / 1000).toFixed(2)} s ${injectFault({ hosts, store, random })}`)
      options.onFault?.(faults.at(-1) ?? '')
    }
    clearTimeout(replacement)
    await pause(CALM_MS)
    checkMemory({ hosts, checker: { reportViolation } })
    await callers.stop()
    checker.checkBudgets()
    const { served, sent } = checker.counts
    if (served < sent * MINIMUM_SERVED_SHARE) reportViolation(Guarantees.served, `${served} of ${sent} requests are served beside the faults`)
  } finally {
    await callers.stop()
    await Promise.all(hosts.map(async (host) => { await host.stop() }))
    for (const server of [...servers, store.server]) closeServer(server)
  }
  return { failures, counts: checker.counts, faults, folder, closestWindows: checker.closestWindows }
}

function writeConfiguration (store: SoakStore): void {
  store.put('op', 'config', {
    Version: 1,
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4_000_000, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' },
    Listeners: [{
      Host: 'soak.example',
      Rules: SERVICES.map(({ name, hasUploads }) => ({ Name: name, Kind: hasUploads ? 'upload' : 'idempotent', LatencyGoal: '300ms', Priority: 1, Match: { Prefix: `/${name}/` }, Action: { Service: name, Timeout: '1200ms', MaxAttempts: 4 } }))
    }],
    Clusters: SERVICES.map(({ name }) => ({ Name: name, MaxConns: 300 }))
  })
}

async function startServers (options: { readonly network: number, readonly store: SoakStore } & Omit<Parameters<typeof createExchangeServer>[0], 'id' | 'behaviour'>): Promise<Server[]> {
  const { network, store, ...shared } = options
  const servers: Server[] = []
  for (const { name, servers: count, slots, behaviour } of SERVICES) {
    for (let index = 0; index < count; index++) {
      const id = `${name}-${index + 1}`
      const server = createExchangeServer({ ...shared, id, behaviour })
      const host = `127.0.${network}.${100 + servers.length}`
      await new Promise<void>((resolve) => { server.listen(BASE_PORT, host, resolve) })
      store.put('servers', id, { Service: name, Address: `${host}:${BASE_PORT}`, Zone: ZONES[index % ZONES.length], Version: 'v1', Slots: slots, State: 'ready', WarmupLeft: '0ms', Seq: 1, born: 1_750_000_000_000 })
      servers.push(server)
    }
  }
  return servers
}

/** Faults by name, with the number of times that each is in the list that a seed draws from. */
const FAULTS: Readonly<Record<string, { readonly weight: number, readonly inject: (situation: Situation) => string }>> = {
  kill: { weight: 5, inject: (situation) => kill(pickHost(situation)) },
  killLeader: { weight: 2, inject: (situation) => kill(findLeader(situation)) },
  killAll: { weight: 1, inject: ({ hosts }) => hosts.map(kill).join(' ') },
  cutLeader: { weight: 2, inject: (situation) => cutOff(findLeader(situation), situation) },
  cut: { weight: 1, inject: (situation) => cutOff(pickHost(situation), situation) },
  terminate: {
    weight: 2,
    inject (situation) {
      const host = pickHost(situation)
      if (!host.isServing()) return 'none'
      host.sendSignal('SIGTERM')
      restartLater(host, 0)
      return host.name
    }
  },
  freeze: {
    weight: 2,
    inject (situation) {
      const host = pickHost(situation)
      const durationMs = 200 + situation.random() * SUSPENSION_MS
      host.sendSignal('SIGSTOP')
      setTimeout(() => { host.sendSignal('SIGCONT') }, durationMs)
      return `${host.name} for ${Math.round(durationMs)} ms`
    }
  }
}
const DRAWN_FAULTS = Object.entries(FAULTS).flatMap(([name, { weight }]) => Array.from({ length: weight }, () => name))

function injectFault (situation: Situation): string {
  const name = DRAWN_FAULTS[Math.floor(situation.random() * DRAWN_FAULTS.length)] ?? 'kill'
  return `${name}: ${FAULTS[name]?.inject(situation) ?? ''}`
}

function pickHost ({ hosts, random }: Situation): SoakHost {
  const host = hosts[Math.floor(random() * hosts.length)]
  if (host === undefined) throw new Error('Cannot pick a host: there is none')
  return host
}

/** The host that holds the lease in the store; another one if there is none. */
function findLeader (situation: Situation): SoakHost {
  const lease = situation.store.get('gooseberryfold', 'lease')
  return situation.hosts.find((host) => lease.includes(`"${host.ip}:`)) ?? pickHost(situation)
}

function kill (host: SoakHost): string {
  host.sendSignal('SIGKILL')
  restartLater(host, RESTART_MS)
  return host.name
}

function cutOff (host: SoakHost, { random }: Situation): string {
  const durationMs = 500 + random() * CUT_MS
  host.storeProxy.setState(LinkState.blackhole)
  setTimeout(() => {
    host.storeProxy.setState(LinkState.open)
    host.storeProxy.reset()
  }, durationMs)
  return `${host.name} for ${Math.round(durationMs)} ms`
}
