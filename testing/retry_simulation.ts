/**
 * Simulation of the retry budgets of all hosts: requests of one service, a
 * leader that counts the hosts connected to it, partitions, restarts and hosts
 * that join. Time is simulated; the budgets and the host counts are the real
 * ones. The lease stores the number of hosts that its holder knows.
 */
import { createHostCount, type HostCount } from '../src/entry_host/host_count.ts'
import { createRetryBudgets, type RetryBudgets } from '../src/entry_host/retry_budgets.ts'

/** An event, and the load from then on. */
export interface RetryStep {
  readonly event: RetryEvent
  /** Time until the next step, in milliseconds. */
  readonly lengthMs: number
  /** Requests per second at all hosts. */
  readonly perSecond: number
  /** Part of the hosts that get them, from 0 to 1. */
  readonly loadedShare: number
  /** Part of the requests that need another attempt, and of those attempts, from 0 to 1. */
  readonly failing: number
}

/** Something that happens to hosts; parts are from 0 to 1. */
export type RetryEvent =
  | { readonly kind: 'none' }
  /** Another host leads. */
  | { readonly kind: 'new-leader', readonly host: number }
  /** Part of the hosts is cut off from the others; the leader is chosen anew on one of the sides. */
  | { readonly kind: 'partition', readonly cutShare: number, readonly leader: number }
  | { readonly kind: 'heal' }
  /** Part of the hosts restarts, with empty state. */
  | { readonly kind: 'restart', readonly share: number }
  | { readonly kind: 'join', readonly hosts: number }

/** Retries that were made in a window, and those allowed. */
export interface RetryWindow { readonly endsAtMs: number, readonly retries: number, readonly allowed: number }

/** Options of {@link simulateRetries}. */
export interface RetrySimulationOptions {
  readonly hosts: number
  readonly ratio: number
  readonly slack: number
  readonly steps: readonly RetryStep[]
  /** Maximum time from the payment of a retry to its arrival, in milliseconds. Default: 0. */
  readonly maximumDelayMs?: number
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** Result of {@link simulateRetries}. */
export interface RetrySimulation {
  /** The window that comes closest to the limit or exceeds it most. */
  readonly worst: RetryWindow
  readonly requests: number
  readonly retries: number
}

const TICK_MS = 100
const TICKS_PER_HEARTBEAT = 3
const TICKS_PER_WINDOW = 100

/** Maximum number of attempts of a request. */
const MAXIMUM_ATTEMPTS = 4

interface SimulatedHost { count: HostCount, budgets: RetryBudgets, isCutOff: boolean }

/**
 * Plays the steps.
 *
 * @param options Hosts, limit and steps.
 * @returns The worst window of 10 s, and totals.
 */
export function simulateRetries ({ hosts: initialHosts, ratio, slack, steps, maximumDelayMs = 0, random }: RetrySimulationOptions): RetrySimulation {
  let time = 0
  let leader = 0
  let lease: { readonly holder: SimulatedHost, readonly hosts: number } | null = null
  const requests: number[] = []
  const retries: number[] = []

  function startHost (): SimulatedHost {
    const count = createHostCount(() => time)
    return { count, budgets: createRetryBudgets({ ratio, slack, hostCount: count, random }), isCutOff: false }
  }
  const hosts = Array.from({ length: initialHosts }, startHost)

  /** Hosts that are connected to the leader, itself included. */
  function connectedHosts (): SimulatedHost[] {
    return hosts.filter((host) => host.isCutOff === hosts[leader]?.isCutOff)
  }

  function apply (event: RetryEvent): void {
    if (event.kind === 'new-leader') leader = event.host % hosts.length
    else if (event.kind === 'partition') {
      for (const [index, host] of hosts.entries()) host.isCutOff = index < hosts.length * event.cutShare
      leader = event.leader % hosts.length
    } else if (event.kind === 'heal') {
      for (const host of hosts) host.isCutOff = false
    } else if (event.kind === 'restart') {
      for (const [index, host] of hosts.entries()) if (index < hosts.length * event.share) hosts[index] = { ...startHost(), isCutOff: host.isCutOff }
    } else if (event.kind === 'join') {
      for (let joined = 0; joined < event.hosts; joined++) hosts.push(startHost())
    }
  }

  function sendHeartbeat (): void {
    const leading = hosts[leader]
    if (leading === undefined) return
    if (lease !== null && lease.holder !== leading) leading.count.record(lease.hosts)
    leading.budgets.recordHosts(connectedHosts().length)
    for (const host of connectedHosts()) if (host !== leading) host.budgets.recordHosts(leading.count.known())
    lease = { holder: leading, hosts: leading.count.known() }
  }

  /** Sends one request; returns its retries. */
  function sendRequest (host: SimulatedHost | undefined, failing: number): number {
    const budget = host?.budgets.forService('lookups')
    budget?.deposit()
    let retried = 0
    while (retried + 1 < MAXIMUM_ATTEMPTS && random() < failing && budget?.tryWithdraw() === true) retried++
    return retried
  }

  for (const step of steps) {
    apply(step.event)
    const loaded = Math.max(1, Math.round(hosts.length * step.loadedShare))
    const firstLoaded = Math.floor(random() * hosts.length)
    let due = 0
    for (const endsAt = time + step.lengthMs; time < endsAt; time += TICK_MS) {
      if (requests.length % TICKS_PER_HEARTBEAT === 0) sendHeartbeat()
      let [sent, retried] = [0, 0]
      for (due += step.perSecond * TICK_MS / 1000; due >= 1; due--) {
        sent++
        retried += sendRequest(hosts[(firstLoaded + Math.floor(random() * loaded)) % hosts.length], step.failing)
      }
      requests.push(sent)
      for (let retry = 0; retry < retried; retry++) {
        const arrivesAt = requests.length - 1 + Math.round(random() * maximumDelayMs / TICK_MS)
        retries[arrivesAt] = (retries[arrivesAt] ?? 0) + 1
      }
    }
  }
  const arrivals = Array.from(requests, (_, tick) => retries[tick] ?? 0)
  return { worst: findWorstWindow(requests, arrivals, { ratio, slack }), requests: sum(requests), retries: sum(arrivals) }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

/** Checks every window; requests count in it, in the one before it or in the one half a window before it. */
function findWorstWindow (requests: readonly number[], retries: readonly number[], { ratio, slack }: { readonly ratio: number, readonly slack: number }): RetryWindow {
  let worst: RetryWindow = { endsAtMs: 0, retries: 0, allowed: slack }
  const within = (values: readonly number[], end: number): number => sum(values.slice(Math.max(0, end - TICKS_PER_WINDOW), Math.max(0, end)))
  for (let end = 1; end <= requests.length; end++) {
    const counted = Math.max(...[0, TICKS_PER_WINDOW / 2, TICKS_PER_WINDOW].map((earlier) => within(requests, end - earlier)))
    const window = { endsAtMs: end * TICK_MS, retries: within(retries, end), allowed: ratio * counted + slack }
    if (window.retries - window.allowed > worst.retries - worst.allowed) worst = window
  }
  return worst
}
