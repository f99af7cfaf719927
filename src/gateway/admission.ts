/**
 * Admission control: sends a request to a server or refuses it immediately.
 *
 * A request whose response would come too late only takes capacity from other
 * requests. It is refused before it is sent, together with the time after
 * which the server has capacity again.
 */

/** A request and the expected performance of its server. */
export interface AdmissionQuery {
  /** Whether the server has recently refused a request because it was full. */
  readonly isFull: boolean
  /** Expected time until the response, in milliseconds. */
  readonly expectedMs: number
  /** Mean duration of a request on the idle server, in milliseconds. */
  readonly workMs: number
  /** Latency within which a response has its full value, in milliseconds. */
  readonly latencyGoalMs: number
  /** Time until the timeout of the caller or of the route, in milliseconds. */
  readonly remainingMs: number
}

/** The admission decision. */
export type Admission =
  | { readonly kind: 'admit' }
  /** `roomAfterMs` is the approximate time until the server has capacity, in milliseconds. */
  | { readonly kind: 'refuse', readonly roomAfterMs: number }

/** Share of the latency goal that the expected latency may use; the rest is a margin for requests that take longer than the mean. */
const LATENCY_GOAL_SHARE = 0.7

/** Multiple of the mean duration that the expected latency may reach on a server that is too slow for the goal. */
const WORK_FACTOR = 1.3

/** Minimum retry delay for callers, in milliseconds: about the duration of one request. */
const MINIMUM_RETRY_AFTER_MS = 100

/** Maximum retry delay as a share of the remaining time: callers ignore longer delays. */
const MAXIMUM_RETRY_AFTER_SHARE = 1 / 3

/**
 * Decides whether to admit one request.
 *
 * @param query The request and its server.
 * @returns The decision, with the retry delay if the request is refused.
 */
export function admit (query: AdmissionQuery): Admission {
  const limitMs = Math.max(query.workMs * WORK_FACTOR, query.latencyGoalMs * LATENCY_GOAL_SHARE)
  if (!query.isFull && query.expectedMs <= Math.min(limitMs, query.remainingMs)) return { kind: 'admit' }
  return { kind: 'refuse', roomAfterMs: Math.max(query.workMs, query.expectedMs - limitMs) }
}

/**
 * Limits the retry delay sent to a caller.
 *
 * @param suggestedMs Time until the server has capacity, in milliseconds.
 * @param remainingMs Time until the caller's timeout, in milliseconds.
 * @returns The retry delay in milliseconds.
 */
export function clampRetryAfterMs (suggestedMs: number, remainingMs: number): number {
  return Math.max(MINIMUM_RETRY_AFTER_MS, Math.min(suggestedMs, maximumRetryAfterMs(remainingMs)))
}

/**
 * Returns the longest retry delay that a caller waits for.
 *
 * @param remainingMs Time until the caller's timeout, in milliseconds.
 * @returns The retry delay in milliseconds.
 */
export function maximumRetryAfterMs (remainingMs: number): number {
  return remainingMs * MAXIMUM_RETRY_AFTER_SHARE
}
