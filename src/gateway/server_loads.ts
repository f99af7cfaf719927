/**
 * Load and speed of backend servers as known to this host: measured from its
 * own requests, and from the totals that the leading host publishes.
 */
import type { RoutedServer } from '../routing/mod.ts'
import { PathResult, type ReachabilityMonitor } from '../reachability/mod.ts'
import type { WarmUpTracker } from '../warm_up/mod.ts'
import { createGroupFailureDetector } from './group_failure_detector.ts'

/** Outcome of a request for the load of its server. */
export type LoadOutcome =
  | { readonly kind: 'served', readonly durationMs: number }
  /** The server responded with an error, or the connection was reset (`isReset`). */
  | { readonly kind: 'failed', readonly isReset?: boolean }
  /** The server refused the request because it was full. */
  | { readonly kind: 'shed' }
  /** The router or the caller aborted the request before the server responded. */
  | { readonly kind: 'abandoned', readonly durationMs: number }
  /** No connection could be made; `refused` is whether it was refused, `wasAborted` whether the router gave up before that was known. */
  | { readonly kind: 'lost', readonly refused: boolean, readonly wasAborted?: boolean }
  /** The outcome contains no information about the load of the server. */
  | { readonly kind: 'other' }

/** Measurements of one server since the host's last report. */
export interface ServerSample {
  readonly inFlight: number
  readonly served: number
  /** Sum of the durations of served requests, normalised to an idle server, in milliseconds. */
  readonly workMs: number
  readonly failed: number
  readonly shed: number
  readonly lost: number
  /** Requests for its keys, including those that were refused because the server was full. */
  readonly wanted: number
  /** Refused connections, which are included in `lost`. */
  readonly refused: number
  /** Start time of the latest run of the server that refused a connection, as listed; absent if none was refused. */
  readonly refusedBornAt?: number
  /** Age of the oldest request in flight, normalised to an idle server, in milliseconds; 0 if there is none. */
  readonly oldestMs: number
  /** Requests per second that the server takes from all hosts together, 0 if it names no limit any more, and how long ago it said so, in milliseconds; absent if it has named none. */
  readonly limit?: readonly [perSecond: number, ageMs: number]
}

/** Load of a server, summed over all hosts. */
export interface ServerView {
  readonly inFlight: number
  /** Mean duration of a request on the server while it is idle, in milliseconds; 0 if unknown. */
  readonly workMs: number
  /** Share of its requests that it fails, or refuses although it has capacity, from 0 to 1. */
  readonly failureShare: number
  /** Whether requests were lost and no host has received a response for some time. */
  readonly silent: boolean
  /** Share of the requests for its keys that hosts send; the rest is refused, since the total exceeds its capacity. */
  readonly admitShare: number
}

/** Loads of backend servers as known to one host. */
export interface ServerLoads {
  /** Records that a request was sent; returns a function that ends the request with its outcome. `isOnlySender` is whether this host sends all requests to the server: those that were reported as waiting are then no load of others. */
  trackRequest (server: RoutedServer, options?: { readonly isOnlySender?: boolean }): (outcome: LoadOutcome) => void
  /**
   * Records a request that a relay forwards and counts. This host uses it only to detect failures
   * of the server's zone. Returns a function that ends the request; `responded` is whether there was any response.
   */
  trackRelayedRequest (server: RoutedServer, relay: string): (responded: boolean) => void
  /** Discards what requests through a relay showed about servers, because the relay reaches none. */
  discardRelay (relay: string): void
  /** Discards what this host's own requests showed about servers, and those in flight, because the host reaches none. */
  discardOwnRequests (): void
  /**
   * Applies the totals over all hosts, minus the requests in flight that this host last reported.
   * If the views are `complete`, other servers are removed.
   */
  applyViews (views: ReadonlyMap<string, ServerView>, complete?: boolean): void
  /** Requests in flight at the server, including those of other hosts. */
  inFlight (id: string): number
  /** Mean duration of a request on the server while it is idle, in milliseconds. */
  workMs (server: RoutedServer): number
  /** Expected latency of a request that is sent now, in milliseconds. */
  expectedMs (server: RoutedServer): number
  failureShare (id: string): number
  /** Counts a request for one of the server's keys; returns the share of those requests that hosts send. */
  admitShare (id: string): number
  /** Whether the server has recently refused a request because it was full. */
  isFull (id: string): boolean
  /** Whether the server or its whole zone counts as unresponsive. */
  isUnresponsive (server: RoutedServer): boolean
  /**
   * Returns the samples since the last call, and starts new ones. Requests that wait on this host for a
   * server count as in flight there: other hosts would otherwise see a busy server as one with a short queue.
   */
  takeSamples (waiting?: ReadonlyMap<string, number>): Map<string, ServerSample>
}

interface ServerState {
  ownInFlight: number
  reportedInFlight: number
  otherInFlight: number
  viewWorkMs: number
  ownWorkMs: number
  failureShare: number
  isUnresponsiveInView: boolean
  admitShare: number
  consecutiveLosses: number
  unresponsiveUntil: number
  fullUntil: number
  readonly pending: Set<Pending>
  sample: { served: number, workMs: number, failed: number, shed: number, lost: number, refused: number, refusedBornAt?: number, wanted: number }
}

/** Lost requests that are not reported yet. */
interface Losses { lost: number, refused: number, refusedBornAt?: number }

/** A request in flight. */
interface Pending { readonly startedAt: number, readonly loadFactor: number }

/** Weight of a new sample in this host's moving average. */
const SAMPLE_WEIGHT = 0.15

/** Path of the requests that this host sends itself, for the failure detector of zones. */
const DIRECT_PATH = ''

/** Reachability of a host that is not monitored. */
const ALWAYS_REACHABLE: Pick<ReachabilityMonitor, 'trackRequest' | 'isTrusted'> = { trackRequest: () => () => {}, isTrusted: () => true }

/** Warm-up on a host without a tracker: as the list says. */
const LISTED_WARM_UP: Pick<WarmUpTracker, 'isWarmingUp' | 'recordRefusedConnection'> = { isWarmingUp: (server) => server.warmUpLeftMs > 0, recordRefusedConnection: () => {} }

/** Options of {@link createServerLoads}. */
export interface ServerLoadsOptions {
  /** Whether this host reaches servers. Default: always. */
  readonly reachability?: Pick<ReachabilityMonitor, 'trackRequest' | 'isTrusted'>
  /** Which servers warm up; notified of connections that fail. Default: as the list says. */
  readonly warmUp?: Pick<WarmUpTracker, 'isWarmingUp' | 'recordRefusedConnection'>
}

/** Number of consecutive lost requests after which a server counts as unresponsive. */
const CONSECUTIVE_LOSS_LIMIT = 2

/** How long a server counts as unresponsive before requests are sent to it again, in milliseconds. */
const UNRESPONSIVE_MS = 1000

/**
 * Maximum factor by which a duration is divided to normalise it to an idle
 * server. The length of the queue is an estimate: an underestimated duration
 * would let the queue grow further, an overestimated one lets it shrink.
 */
const MAXIMUM_LOAD_FACTOR = 2

/** Multiple of the expected duration after which an aborted request counts as lost. */
const OVERDUE_FACTOR = 4

/** How long a server counts as full after a refusal, in milliseconds: about the time until a slot is free. */
const FULL_COOLDOWN_MS = 60

/** Factor by which a request takes longer while its server warms up. */
const WARM_UP_FACTOR = 2

/**
 * Creates server loads without measurements.
 *
 * @param now Monotonic time in milliseconds.
 * @param assumedWorkMs Assumed duration of a request to a service without measurements, in milliseconds. Default: 120 for every service.
 * @param options Reachability and warm-up.
 * @returns The loads.
 */
export function createServerLoads (now: () => number, assumedWorkMs: (service: string) => number = () => 120, options: ServerLoadsOptions = {}): ServerLoads {
  const { reachability = ALWAYS_REACHABLE, warmUp = LISTED_WARM_UP } = options
  const states = new Map<string, ServerState>()
  /** Losses that are not reported yet: only a later response of any server shows that this host reaches servers, and that the loss concerns the one. */
  const unconfirmedLosses = new Map<ServerState, Losses>()
  const zoneDetector = createGroupFailureDetector(now)

  function stateOf (id: string): ServerState {
    const state = states.get(id)
    if (state !== undefined) return state
    const created: ServerState = {
      ownInFlight: 0, reportedInFlight: 0, otherInFlight: 0, viewWorkMs: 0, ownWorkMs: 0, failureShare: 0, isUnresponsiveInView: false, admitShare: 1, consecutiveLosses: 0, unresponsiveUntil: 0, fullUntil: 0, pending: new Set(), sample: emptySample()
    }
    states.set(id, created)
    return created
  }

  function idleWorkMs (state: ServerState, server: RoutedServer): number {
    return state.viewWorkMs > 0 ? state.viewWorkMs : state.ownWorkMs > 0 ? state.ownWorkMs : assumedWorkMs(server.service)
  }

  function workMs (server: RoutedServer): number {
    const state = stateOf(server.id)
    const base = idleWorkMs(state, server)
    return state.viewWorkMs === 0 && warmUp.isWarmingUp(server) ? base * WARM_UP_FACTOR : base
  }

  function expectedMs (server: RoutedServer): number {
    const state = stateOf(server.id)
    const queueLength = state.ownInFlight + state.otherInFlight + 1
    return workMs(server) * Math.max(1, queueLength / server.slots)
  }

  /** The average begins with the assumed duration, since a single request may take a small part of what others take. */
  function recordWork (state: ServerState, server: RoutedServer, workMs: number): void {
    state.sample.served++
    state.sample.workMs += workMs
    const before = state.ownWorkMs === 0 ? assumedWorkMs(server.service) : state.ownWorkMs
    state.ownWorkMs = before + (workMs - before) * SAMPLE_WEIGHT
  }

  /** The duration of an aborted request is a lower bound for the time that the server takes. */
  function recordAbandoned (state: ServerState, server: RoutedServer, workMs: number): void {
    const expected = idleWorkMs(state, server)
    if (workMs <= expected) return
    recordWork(state, server, workMs)
    if (workMs > expected * OVERDUE_FACTOR) recordLost(state)
  }

  /** `refusedBornAt` is the start time of the run that refused a connection; `undefined` if none was refused. */
  function recordLost (state: ServerState, refusedBornAt?: number): void {
    if (!reachability.isTrusted()) return
    const losses = unconfirmedLosses.get(state) ?? { lost: 0, refused: 0 }
    unconfirmedLosses.set(state, losses)
    losses.lost++
    if (refusedBornAt !== undefined) {
      losses.refused++
      losses.refusedBornAt = Math.max(losses.refusedBornAt ?? 0, refusedBornAt)
    }
    state.consecutiveLosses++
    if (state.consecutiveLosses >= CONSECUTIVE_LOSS_LIMIT) state.unresponsiveUntil = now() + UNRESPONSIVE_MS
  }

  /** Whether the server may have restarted. A timeout says nothing about it while this host may be cut off. */
  function isEvidenceOfRestart (outcome: LoadOutcome): boolean {
    return outcome.kind === 'lost' && (outcome.refused || (outcome.wasAborted !== true && reachability.isTrusted()))
  }

  function confirmLosses (): void {
    for (const [{ sample }, { lost, refused, refusedBornAt }] of unconfirmedLosses) {
      sample.lost += lost
      sample.refused += refused
      if (refusedBornAt !== undefined) sample.refusedBornAt = Math.max(sample.refusedBornAt ?? 0, refusedBornAt)
    }
    unconfirmedLosses.clear()
  }

  function recordOutcome (state: ServerState, server: RoutedServer, { outcome, loadFactor }: { readonly outcome: LoadOutcome, readonly loadFactor: number }): void {
    const { sample } = state
    const divisor = Math.min(loadFactor, MAXIMUM_LOAD_FACTOR)
    if (outcome.kind === 'other') return
    if (outcome.kind === 'abandoned') return recordAbandoned(state, server, outcome.durationMs / divisor)
    if (outcome.kind === 'lost') return recordLost(state, outcome.refused ? server.bornAt : undefined)
    if (!isReset(outcome)) confirmLosses()
    state.consecutiveLosses = 0
    state.unresponsiveUntil = 0
    if (outcome.kind === 'failed') sample.failed++
    if (outcome.kind === 'shed') sample.shed++
    // An overloaded server refuses requests or resets connections because it is full; one with free slots has another reason.
    if (outcome.kind !== 'served' && loadFactor > 1) state.fullUntil = now() + FULL_COOLDOWN_MS
    if (outcome.kind === 'served') recordWork(state, server, outcome.durationMs / divisor)
  }

  function oldestMs (state: ServerState): number {
    let oldest = 0
    for (const { startedAt, loadFactor } of state.pending) oldest = Math.max(oldest, (now() - startedAt) / loadFactor)
    return Math.round(oldest)
  }

  return {
    trackRequest (server, { isOnlySender = false } = {}) {
      const state = stateOf(server.id)
      const loadFactor = Math.max(1, (state.ownInFlight + (isOnlySender ? 0 : state.otherInFlight) + 1) / server.slots)
      state.ownInFlight++
      const pending = { startedAt: now(), loadFactor: Math.min(loadFactor, MAXIMUM_LOAD_FACTOR) }
      state.pending.add(pending)
      const endZoneRequest = zoneDetector.trackRequest({ id: server.id, group: server.zone, path: DIRECT_PATH }, expectedMs(server))
      const endPathRequest = reachability.trackRequest(server.id, expectedMs(server))
      let ended = false
      return (outcome) => {
        if (ended) return
        ended = true
        endPathRequest(toPathResult(outcome))
        if (isEvidenceOfRestart(outcome)) warmUp.recordRefusedConnection(server)
        // The request has been discarded.
        if (!state.pending.delete(pending)) return
        state.ownInFlight--
        endZoneRequest(outcome.kind !== 'lost' && outcome.kind !== 'abandoned')
        recordOutcome(state, server, { outcome, loadFactor })
      }
    },
    trackRelayedRequest: (server, relay) => zoneDetector.trackRequest({ id: server.id, group: server.zone, path: relay }, expectedMs(server)),
    discardRelay: zoneDetector.discardPath,
    discardOwnRequests () {
      zoneDetector.discardPath(DIRECT_PATH)
      unconfirmedLosses.clear()
      for (const state of states.values()) {
        state.ownInFlight -= state.pending.size
        state.pending.clear()
        state.consecutiveLosses = 0
        state.unresponsiveUntil = 0
      }
    },
    applyViews (views, complete = true) {
      for (const [id, view] of views) {
        const state = stateOf(id)
        state.otherInFlight = Math.max(0, view.inFlight - state.reportedInFlight)
        state.viewWorkMs = view.workMs
        state.failureShare = view.failureShare
        state.isUnresponsiveInView = view.silent
        state.admitShare = view.admitShare
      }
      if (!complete) return
      for (const [id, state] of states) {
        if (!views.has(id)) {
          state.otherInFlight = 0
          state.admitShare = 1
          if (state.ownInFlight === 0) states.delete(id)
        }
      }
    },
    inFlight: (id) => stateOf(id).ownInFlight + stateOf(id).otherInFlight,
    workMs,
    expectedMs,
    failureShare: (id) => stateOf(id).failureShare,
    admitShare (id) {
      const state = stateOf(id)
      state.sample.wanted++
      return state.admitShare
    },
    isFull: (id) => stateOf(id).fullUntil > now(),
    isUnresponsive: (server) => stateOf(server.id).isUnresponsiveInView || stateOf(server.id).unresponsiveUntil > now() || zoneDetector.isUnresponsive(server.zone),
    takeSamples (waiting = new Map()) {
      const samples = new Map<string, ServerSample>()
      for (const id of waiting.keys()) stateOf(id)
      for (const [id, state] of states) {
        state.reportedInFlight = state.ownInFlight + (waiting.get(id) ?? 0)
        const { sample } = state
        if (state.reportedInFlight === 0 && sample.served + sample.failed + sample.shed + sample.lost + sample.wanted === 0) continue
        samples.set(id, { inFlight: state.reportedInFlight, oldestMs: oldestMs(state), ...sample })
        state.sample = emptySample()
      }
      return samples
    }
  }
}

function isReset (outcome: LoadOutcome): boolean {
  return outcome.kind === 'failed' && outcome.isReset === true
}

/** What the outcome shows about the path to the server. */
function toPathResult (outcome: LoadOutcome): PathResult {
  if (outcome.kind === 'abandoned') return PathResult.unanswered
  return outcome.kind === 'lost' || isReset(outcome) ? PathResult.unreachable : PathResult.responded
}

function emptySample (): ServerState['sample'] {
  return { served: 0, workMs: 0, failed: 0, shed: 0, lost: 0, refused: 0, wanted: 0 }
}
