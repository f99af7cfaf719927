/**
 * Admission control of one server for the host that knows the requests in
 * flight at it, and the order in which refused callers may return.
 *
 * A hot key gets many times the requests that its only server can run. Requests
 * that can still be answered within their latency goal go first; those that
 * cannot only take free slots. Part of the queue is reserved
 * for the server's other keys. Refused callers are given different times to
 * return, at a rate that the server can take, up to the longest time that they
 * wait: coming back while the key is still hot would use up their retries.
 */
import type { RoutedServer } from '../routing/mod.ts'
import { NO_WARM_UP, type WarmUpTracker } from '../warm_up/mod.ts'
import { admit, maximumRetryAfterMs } from './admission.ts'
import { hasReachedServer } from './outcomes.ts'
import type { RequestLimits } from './request_limits.ts'
import type { RequestPermits } from './request_permits.ts'
import type { AttemptOutcome } from './send_attempt.ts'
import type { ServerLoads } from './server_loads.ts'

/** A request that is about to be sent to a server. */
export interface ServerAdmissionQuery {
  /** Its key, if its service is keyed. */
  readonly key: number | null
  readonly latencyGoalMs: number
  /** Time until the timeout of the caller or of the route, in milliseconds. */
  readonly remainingMs: number
  /** Time until the timeout of the caller, in milliseconds. */
  readonly callerRemainingMs: number
  /** Whether a response can no longer arrive within the latency goal. */
  readonly isLate: boolean
  /** Whether this host is the server's relay. */
  readonly isRelay: boolean
  /** Maximum requests in flight, as a multiple of the server's slots. Default: {@link MAXIMUM_OCCUPANCY}. */
  readonly maximumOccupancy?: number
}

/** The decision; `end` is called with its outcome when an admitted request has ended. Without an outcome, the request counts as received. */
export type ServerAdmissionDecision =
  | { readonly kind: 'admit', readonly end: (outcome?: AttemptOutcome) => void }
  /** `returnAfterMs` is the time after which the caller may return, in milliseconds; `isOverLimit` is whether a limit on the request rate is the reason: one that the server has named or, with `isCold`, that of a cold server. */
  | { readonly kind: 'refuse', readonly returnAfterMs: number, readonly isOverLimit: boolean, readonly isCold?: boolean }

/** Admission control of the servers that one host sends to. */
export interface ServerAdmission {
  decide (server: RoutedServer, query: ServerAdmissionQuery): ServerAdmissionDecision
  /** Returns when the caller of a request that its server refused may return, in milliseconds from now. */
  returnAfterMs (server: RoutedServer, query: Pick<ServerAdmissionQuery, 'key' | 'callerRemainingMs'>): number
}

/** Maximum requests in flight at a server, as a multiple of its slots: all slots busy and a queue that every server accepts. */
export const MAXIMUM_OCCUPANCY = 2

/** The same for a request whose response can no longer arrive within its latency goal: it takes a free slot and does not delay others. */
const LATE_OCCUPANCY = 1

/** Share of the slots that one key leaves to the other keys of its server while that is full. */
const RESERVED_SHARE = 0.5

/** Options of {@link createServerAdmission}. */
export interface ServerAdmissionOptions {
  readonly loads: ServerLoads
  readonly limits: Pick<RequestLimits, 'limitOf'>
  readonly permits: Pick<RequestPermits, 'take'>
  /** Default: no server is ever cold. */
  readonly warmUp?: Pick<WarmUpTracker, 'take' | 'returnTaken' | 'requestsPerSecond'>
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/**
 * Creates the admission control of a host.
 *
 * @param options Loads and limits of the servers, and the clock.
 * @returns The admission control.
 */
export function createServerAdmission (options: ServerAdmissionOptions): ServerAdmission {
  const { loads, limits, permits, warmUp = NO_WARM_UP, now } = options
  /** Requests in flight by server and key. */
  const keysInFlight = new Map<string, Map<number, number>>()
  /** When the next caller that a server has refused may return. */
  const nextReturnAt = new Map<string, number>()

  function trackKey (server: RoutedServer, key: number | null): () => void {
    if (key === null) return () => {}
    const keys = keysInFlight.get(server.id) ?? new Map<number, number>()
    keysInFlight.set(server.id, keys)
    keys.set(key, (keys.get(key) ?? 0) + 1)
    return () => {
      const left = (keys.get(key) ?? 1) - 1
      if (left > 0) keys.set(key, left)
      else keys.delete(key)
      if (keys.size === 0 && keysInFlight.get(server.id) === keys) keysInFlight.delete(server.id)
    }
  }

  /** Number of requests by which the server, or the key's share of it, is over its limit. */
  function excess (server: RoutedServer, query: ServerAdmissionQuery): number {
    const maximum = query.maximumOccupancy ?? MAXIMUM_OCCUPANCY
    const limit = server.slots * (query.isLate ? Math.min(LATE_OCCUPANCY, maximum) : maximum)
    const serverExcess = loads.inFlight(server.id) + 1 - limit
    if (query.key === null) return serverExcess
    const keyLimit = server.slots * (MAXIMUM_OCCUPANCY - RESERVED_SHARE)
    return Math.max(serverExcess, (keysInFlight.get(server.id)?.get(query.key) ?? 0) + 1 - keyLimit)
  }

  /** Returns the time after which a refused caller may return, given the time until the server has room. */
  function scheduleReturn (server: RoutedServer, roomAfterMs: number, query: Pick<ServerAdmissionQuery, 'key' | 'callerRemainingMs'>): number {
    // A request without a key may find room at another server.
    if (query.key === null) return roomAfterMs
    const longestMs = maximumRetryAfterMs(query.callerRemainingMs)
    // A time that is no number would stay with the server's later callers.
    const at = Math.max(now() + (Number.isFinite(roomAfterMs) ? roomAfterMs : loads.workMs(server)), nextReturnAt.get(server.id) ?? 0)
    if (at - now() >= longestMs) return longestMs
    const perSecond = Math.min(limits.limitOf(server) ?? Infinity, warmUp.requestsPerSecond(server) ?? Infinity)
    nextReturnAt.set(server.id, at + Math.max(loads.workMs(server) / server.slots, 1000 / perSecond))
    return at - now()
  }

  return {
    decide (server, query) {
      const workMs = loads.workMs(server)
      const over = excess(server, query)
      if (over > 0) return { kind: 'refuse', returnAfterMs: scheduleReturn(server, workMs * over / server.slots, query), isOverLimit: false }
      const admission = admit({ isFull: loads.isFull(server.id), expectedMs: loads.expectedMs(server), workMs, latencyGoalMs: query.latencyGoalMs, remainingMs: query.remainingMs })
      if (admission.kind === 'refuse') return { kind: 'refuse', returnAfterMs: scheduleReturn(server, admission.roomAfterMs, query), isOverLimit: false }
      // Asked last, so that no permit is spent on a request that is not sent.
      const takenAt = now()
      const warmAfterMs = warmUp.take(server)
      if (warmAfterMs !== null) return { kind: 'refuse', returnAfterMs: scheduleReturn(server, warmAfterMs, query), isOverLimit: true, isCold: true }
      const permitAfterMs = permits.take(server, query.isRelay)
      if (permitAfterMs !== null) {
        warmUp.returnTaken(server, takenAt)
        return { kind: 'refuse', returnAfterMs: scheduleReturn(server, permitAfterMs, query), isOverLimit: true }
      }
      const endKey = trackKey(server, query.key)
      return {
        kind: 'admit',
        end (outcome) {
          endKey()
          if (outcome !== undefined && !hasReachedServer(outcome)) warmUp.returnTaken(server, takenAt)
        }
      }
    },
    returnAfterMs: (server, query) => scheduleReturn(server, loads.workMs(server), query)
  }
}
