/**
 * Whether a request is sent to a server or refused at once.
 *
 * A request that would wait so long that it is answered too late takes room
 * from others without a use. It is refused before it is sent, with the time
 * after which there is room.
 */

/** A request and what is expected of its server. */
export interface AdmissionQuery {
  /** Whether the server has just refused for want of room. */
  readonly isFull: boolean
  /** Expected time until the answer, in milliseconds. */
  readonly expectedMs: number
  /** Mean duration of a request at the idle server, in milliseconds. */
  readonly workMs: number
  /** Time within which an answer earns its full worth, in milliseconds. */
  readonly latencyGoalMs: number
  /** Time left until the caller or the route gives up, in milliseconds. */
  readonly remainingMs: number
}

/** The decision. */
export type Admission =
  | { readonly kind: 'admit' }
  /** There is room after about this time, in milliseconds. */
  | { readonly kind: 'refuse', readonly roomAfterMs: number }

/** Share of the latency goal that the mean request may be expected to use; the rest is for those that take longer. */
const GOAL_SHARE = 0.7

/** Multiple of its mean work that a request may be expected to take at a server too slow for the goal. */
const WORK_FACTOR = 1.3

/** Shortest time after which a caller is asked to come back, in milliseconds: the order of one request's work. */
const LEAST_RETRY_MS = 100

/** Longest such time as a share of the time left: callers heed no longer ones. */
const MOST_RETRY_SHARE = 1 / 3

/**
 * Decides about one request.
 *
 * @param query The request and its server.
 * @returns Whether it is sent, or when to come back.
 */
export function admit (query: AdmissionQuery): Admission {
  const bound = Math.max(query.workMs * WORK_FACTOR, query.latencyGoalMs * GOAL_SHARE)
  if (!query.isFull && query.expectedMs <= Math.min(bound, query.remainingMs)) return { kind: 'admit' }
  return { kind: 'refuse', roomAfterMs: Math.max(query.workMs, query.expectedMs - bound) }
}

/**
 * Bounds the time after which a caller is asked to come back.
 *
 * @param wantedMs Time after which there is room, in milliseconds.
 * @param leftMs Time that the caller has left, in milliseconds.
 * @returns Milliseconds.
 */
export function clampRetryAfterMs (wantedMs: number, leftMs: number): number {
  return Math.max(LEAST_RETRY_MS, Math.min(wantedMs, leftMs * MOST_RETRY_SHARE))
}
