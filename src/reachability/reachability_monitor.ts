/**
 * Detects that this host has lost its paths to the backend servers.
 *
 * A request that gets no response is evidence on the path between this host and
 * a server, not on the server. If several servers stop responding to this host
 * at once, it probes others. If none of them can be reached either, the host is
 * isolated: its requests go through other hosts, and what it has seen says
 * nothing about any server.
 */
import type { RoutedServer } from '../routing/mod.ts'
import { ProbeResult, type ConnectProbe } from './connect_probe.ts'

/** What a request that this host sent to a server itself shows about the path. */
export const PathResult = {
  /** Data from the server arrived. */
  responded: 'responded',
  /** No response arrived before the request was aborted. */
  unanswered: 'unanswered',
  /** A connection was refused, reset or not established in time. */
  unreachable: 'unreachable'
} as const
export type PathResult = typeof PathResult[keyof typeof PathResult]

/** What a host knows of its paths to servers. */
export const Reachability = {
  reachable: 'reachable',
  /** Several servers do not respond, and others are being probed. */
  suspected: 'suspected',
  isolated: 'isolated'
} as const
export type Reachability = typeof Reachability[keyof typeof Reachability]

/** Isolation of this host; `isSilent` is whether connections hang, as opposed to being refused. */
export interface Isolation { readonly isSilent: boolean }

/** Options of {@link createReachabilityMonitor}. */
export interface ReachabilityMonitorOptions {
  /** Availability zone of this host; one of the probed servers is in it. */
  readonly zone: string
  /** Backend servers that accept connections. */
  readonly servers: () => readonly RoutedServer[]
  readonly probe: ConnectProbe
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Random number from 0 to 1. */
  readonly random: () => number
  /** Called when the host becomes isolated, and when it reaches servers again (`null`). */
  readonly onChange: (isolation: Isolation | null) => void
}

/** Reachability monitor of one host. */
export interface ReachabilityMonitor {
  /** Records that a request was sent to a server over a connection of this host; returns a function that ends it. */
  trackRequest (server: string, expectedMs: number): (result: PathResult) => void
  /** Present isolation; `null` if this host reaches servers, or may. */
  isolation (): Isolation | null
  /** Whether a missing response is evidence on a server: this host neither is isolated nor may be. */
  isTrusted (): boolean
  /** Since when it has been so; monotonic time in milliseconds. */
  trustedSince (): number
  /** Probes servers unless one has just responded; resolves with whether this host reaches servers. */
  verify (): Promise<boolean>
  /** Looks at the requests in flight and starts the probes that are due; called regularly. Resolves when the probes have ended. */
  check (): Promise<void>
}

interface Pending { readonly server: string, readonly startedAt: number, readonly overdueAt: number }

/** Servers that must stop responding at the same time before others are probed: a single one may have a fault of its own. */
const FAILED_SERVER_THRESHOLD = 2

/** Multiple of the expected time after which a request is overdue, and the minimum in milliseconds: a lost packet is retransmitted within it. */
const OVERDUE_FACTOR = 2
const MINIMUM_OVERDUE_MS = 250

/** Time for which a connection that could not be made counts, in milliseconds. */
const UNREACHABLE_WINDOW_MS = 1000

/** Time since the last response within which a host reaches servers without a probe, in milliseconds. */
const RECENT_RESPONSE_MS = 250

/** Number of servers that are probed at once: a single one may be down. */
const PROBED_SERVERS = 3

/** Time after a successful probe within which servers are not probed again, in milliseconds: each probe is a connection for a server to accept. */
const PROBE_PAUSE_MS = 1000

/** Time between two probes of an isolated host, in milliseconds. */
const ISOLATED_PROBE_INTERVAL_MS = 200

/** Successful probes in a row after which a host is no longer isolated: a path that comes and goes would move requests each time. */
const REQUIRED_SUCCESSES = 2

/**
 * Creates a monitor of a host that is taken to reach servers.
 *
 * @param options Servers, probe and clock.
 * @returns The monitor.
 */
export function createReachabilityMonitor (options: ReachabilityMonitorOptions): ReachabilityMonitor {
  const { now } = options
  const pending = new Set<Pending>()
  /** When the last overdue request to a server was sent that ended without a response. */
  const unanswered = new Map<string, number>()
  /** When a connection to a server was last refused, reset or not established. */
  const unreachable = new Map<string, number>()
  let state: Reachability = Reachability.reachable
  let isolation: Isolation | null = null
  let lastResponseAt = -Infinity
  let trustedSince = -Infinity
  let nextProbeAt = -Infinity
  let successes = 0
  let isProbing = false

  /** Servers that have failed to respond to this host since any server last responded, or could not be connected to. */
  function failedServers (): Set<string> {
    const failed = new Set<string>()
    for (const { server, startedAt, overdueAt } of pending) if (startedAt > lastResponseAt && overdueAt <= now()) failed.add(server)
    for (const [server, sentAt] of unanswered) {
      if (sentAt > lastResponseAt) failed.add(server)
      else unanswered.delete(server)
    }
    for (const [server, at] of unreachable) {
      if (now() - at <= UNREACHABLE_WINDOW_MS) failed.add(server)
      else unreachable.delete(server)
    }
    return failed
  }

  /** Chooses servers to probe, the first in the zone of this host; those without known failures come first. */
  function selectTargets (failed: ReadonlySet<string>): RoutedServer[] {
    const ranked = options.servers().map((server) => ({ server, rank: (failed.has(server.id) ? 1 : 0) + options.random() })).sort((left, right) => left.rank - right.rank).map(({ server }) => server)
    const sameZone = ranked.find((server) => server.zone === options.zone)
    const others = ranked.filter((server) => server !== sameZone)
    return [...sameZone === undefined ? [] : [sameZone], ...others].slice(0, PROBED_SERVERS)
  }

  function becomeReachable (): void {
    const wasIsolated = state === Reachability.isolated
    state = Reachability.reachable
    isolation = null
    trustedSince = now()
    nextProbeAt = now() + PROBE_PAUSE_MS
    unanswered.clear()
    unreachable.clear()
    if (wasIsolated) options.onChange(null)
  }

  function becomeIsolated (isSilent: boolean): void {
    state = Reachability.isolated
    isolation = { isSilent }
    successes = 0
    pending.clear()
    options.onChange(isolation)
  }

  async function probe (targets: readonly RoutedServer[]): Promise<void> {
    isProbing = true
    const results = await Promise.all(targets.map(async (server) => await options.probe(server.address)))
    isProbing = false
    const isConnected = results.includes(ProbeResult.connected)
    nextProbeAt = now() + ISOLATED_PROBE_INTERVAL_MS
    if (state === Reachability.suspected) return isConnected ? becomeReachable() : becomeIsolated(results.includes(ProbeResult.timedOut))
    successes = isConnected ? successes + 1 : 0
    if (successes >= REQUIRED_SUCCESSES) becomeReachable()
  }

  return {
    trackRequest (server, expectedMs) {
      const startedAt = now()
      const request = { server, startedAt, overdueAt: startedAt + Math.max(MINIMUM_OVERDUE_MS, expectedMs * OVERDUE_FACTOR) }
      pending.add(request)
      return (result) => {
        pending.delete(request)
        if (result === PathResult.responded) {
          lastResponseAt = now()
          unreachable.delete(server)
        } else if (result === PathResult.unreachable) unreachable.set(server, now())
        else if (request.overdueAt <= now()) unanswered.set(server, startedAt)
      }
    },
    isolation: () => isolation,
    isTrusted: () => state === Reachability.reachable,
    trustedSince: () => trustedSince,
    async verify () {
      if (state === Reachability.reachable && !isProbing && now() - lastResponseAt > RECENT_RESPONSE_MS && now() >= nextProbeAt) {
        const targets = selectTargets(failedServers())
        if (targets.length > 0) {
          state = Reachability.suspected
          await probe(targets)
        }
      }
      return isolation === null
    },
    async check () {
      if (isProbing || now() < nextProbeAt) return
      const failed = failedServers()
      if (state === Reachability.reachable && failed.size < FAILED_SERVER_THRESHOLD) return
      const targets = selectTargets(failed)
      if (targets.length === 0) return
      if (state === Reachability.reachable) state = Reachability.suspected
      await probe(targets)
    }
  }
}
