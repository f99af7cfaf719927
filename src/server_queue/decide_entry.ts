/**
 * Decides whether a request waits for a slot or is refused.
 *
 * Answers the load in which more requests arrive than the servers can run: a
 * request whose turn would come too late for its caller is refused when it
 * arrives, so that the caller can return later or ask elsewhere, and its place
 * is left to requests that can still be answered.
 */

/** A request and the state of the queue that it arrives at. */
export interface EntryQuery {
  /** Time until the caller or the route gives up, in milliseconds. */
  readonly remainingMs: number
  /** Usual duration of a request on the servers of the queue, in milliseconds. */
  readonly workMs: number
  /** Requests per millisecond that the servers complete while all slots are busy. */
  readonly completionsPerMs: number
  /** Requests waiting that will be sent before this one. */
  readonly ahead: number
  /** Requests per millisecond that arrive and are sent before this one although they arrive later. */
  readonly overtakingPerMs: number
  /** Share of the completions that requests of its kind get at least, whatever overtakes them, from 0 to 1. */
  readonly guaranteedShare: number
}

/** The decision. */
export type EntryDecision =
  /** The request waits; `turnAfterMs` is the expected wait, in milliseconds. */
  | { readonly kind: 'wait', readonly turnAfterMs: number }
  /** `roomAfterMs` is the time after which a request that arrives then could be served, in milliseconds. */
  | { readonly kind: 'refuse', readonly roomAfterMs: number }

/** Smallest share of the completions that is assumed to remain for a request: a bound for the estimate of its wait. */
const MINIMUM_COMPLETION_SHARE = 0.02

/** Multiple of the usual duration that must fit between the turn of a request and its deadline, since half of the requests take longer than the median. */
const WORK_MARGIN = 1.25

/**
 * Decides on one request.
 *
 * @param query The request and the state of the queue.
 * @returns Whether it waits, and for how long.
 */
export function decideEntry (query: EntryQuery): EntryDecision {
  const { completionsPerMs, remainingMs, workMs } = query
  if (completionsPerMs <= 0) return { kind: 'refuse', roomAfterMs: workMs }
  const ratePerMs = Math.max(completionsPerMs * Math.max(MINIMUM_COMPLETION_SHARE, query.guaranteedShare), completionsPerMs - query.overtakingPerMs)
  const turnAfterMs = (query.ahead + 1) / ratePerMs
  const excessMs = turnAfterMs + workMs * WORK_MARGIN - remainingMs
  return excessMs <= 0 ? { kind: 'wait', turnAfterMs } : { kind: 'refuse', roomAfterMs: Math.max(1 / completionsPerMs, excessMs) }
}
