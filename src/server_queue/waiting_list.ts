/**
 * Requests that wait for a slot, and the order in which they get one.
 *
 * Answers the load in which kinds of requests with different priorities
 * compete for one service. Requests that can still be answered within their
 * latency goal go before those that cannot, then the more urgent ones, then
 * those whose goal is next. Two loads would break this order: urgent requests
 * that alone fill the servers, and one key that gets most of the requests. So
 * each priority keeps a part of its proportional share, and a key that holds
 * most of its server's slots lets the other keys go first.
 */

/** Urgency of a request. */
export interface WaitingRequest {
  /** 0 is the most urgent. */
  readonly priority: number
  /** Its key, if its service is keyed. */
  readonly key: number | null
  /** Latency goal of its route, in milliseconds. */
  readonly goalMs: number
  /** When a response loses its full value; monotonic time in milliseconds. */
  readonly goalAt: number
  /** When the caller or the route gives up; monotonic time in milliseconds. */
  readonly deadlineAt: number
}

/** State that the order depends on. */
export interface OrderOptions {
  /** Monotonic time in milliseconds. */
  readonly now: number
  /** Usual duration of a request, in milliseconds. */
  readonly workMs: number
  /** Whether requests of a key already hold most slots of its server. */
  readonly isKeyBusy: (key: number) => boolean
}

/** Waiting requests. */
export interface WaitingList<Entry extends WaitingRequest> {
  add (entry: Entry, now: number): void
  /** Removes a request; returns whether it was waiting. */
  remove (entry: Entry): boolean
  /** Returns the request that is sent next; `null` if none is waiting. */
  peekNext (options: OrderOptions): Entry | null
  /** Removes a request that is sent. */
  markSent (entry: Entry, now: number): void
  /** Records that a request was sent without waiting. */
  recordSent (priority: number, now: number): void
  /** Records that a request was refused when it arrived. */
  recordRefused (priority: number, now: number): void
  /** Share of the slots that requests of a priority get at least, from 0 to 1. */
  guaranteedShare (priority: number, now: number): number
  /** Number of waiting requests that are sent before a request. */
  countAhead (request: WaitingRequest, options: OrderOptions): number
  /** Requests per millisecond that arrive, are not refused and are more urgent than the priority; all of them for `Infinity`. */
  arrivalsPerMs (moreUrgentThan: number, now: number): number
  /** Removes and returns the requests that can no longer be answered before their deadline. */
  takeExpired (options: Pick<OrderOptions, 'now' | 'workMs'>): Entry[]
  /** Number of waiting requests. */
  size (): number
}

/** Share of its proportional part of the slots that a priority keeps at least. Callers need each kind to be served at least a quarter as often as all; the rest is a margin. */
const MINIMUM_SHARE = 0.35

/** Time over which arrivals and sent requests are counted, in milliseconds: long enough that a rare priority counts, and short enough that a burst shows within a second. */
const RATE_WINDOW_MS = 4000

/**
 * Multiple of the usual duration that must fit before the goal of a request. With the mean
 * alone, an overloaded server would run each request at the last moment, and half of them
 * would miss their goal.
 */
const GOAL_MARGIN = 1.5

/**
 * Largest part of the goal that counts as the duration of a request. Servers are measured over all
 * kinds of requests, and an urgent kind may take a fraction of the time of the others.
 */
const MAXIMUM_GOAL_SHARE = 0.6

/**
 * Returns the time before its goal at which a request must be sent at the latest.
 *
 * @param request The request.
 * @param workMs Usual duration of a request on the server, in milliseconds.
 * @returns The time in milliseconds.
 */
export function goalMarginMs (request: Pick<WaitingRequest, 'goalMs'>, workMs: number): number {
  return Math.min(workMs * GOAL_MARGIN, request.goalMs * MAXIMUM_GOAL_SHARE)
}

/** Share of the usual duration that a request may take at least: one with less time left would run in vain. */
const MINIMUM_WORK_SHARE = 0.5

/** Counts that decay exponentially. */
interface Rates { arrivals: number, refused: number, sent: number, updatedAt: number }

/**
 * Creates an empty list.
 *
 * @returns The list.
 */
export function createWaitingList<Entry extends WaitingRequest> (): WaitingList<Entry> {
  const entries = new Set<Entry>()
  const ratesByPriority = new Map<number, Rates>()

  function ratesOf (priority: number, now: number): Rates {
    const rates = ratesByPriority.get(priority) ?? { arrivals: 0, refused: 0, sent: 0, updatedAt: now }
    ratesByPriority.set(priority, rates)
    const retained = Math.exp((rates.updatedAt - now) / RATE_WINDOW_MS)
    rates.arrivals *= retained
    rates.refused *= retained
    rates.sent *= retained
    rates.updatedAt = now
    return rates
  }

  /** Share of all requests, sent and refused ones included, that have the priority. */
  function demandShare (priority: number, now: number): number {
    let demand = 0
    for (const known of ratesByPriority.keys()) {
      const rates = ratesOf(known, now)
      demand += rates.arrivals + rates.refused
    }
    const own = ratesOf(priority, now)
    return demand > 0 ? (own.arrivals + own.refused) / demand : 0
  }

  function guaranteedShare (priority: number, now: number): number {
    return MINIMUM_SHARE * demandShare(priority, now)
  }

  /** Whether a priority has got less than the share that it keeps. */
  function isNeglected (priority: number, now: number): boolean {
    let sent = 0
    for (const known of ratesByPriority.keys()) sent += ratesOf(known, now).sent
    // Another request of the priority must fit: with few requests, none of a priority is no neglect.
    return ratesOf(priority, now).sent + 1 <= sent * guaranteedShare(priority, now)
  }

  return {
    add (entry, now) {
      entries.add(entry)
      ratesOf(entry.priority, now).arrivals++
    },
    remove: (entry) => entries.delete(entry),
    peekNext ({ now, workMs, isKeyBusy }) {
      if (entries.size === 0) return null
      const neglected = ratesByPriority.size < 2 ? NONE : new Set([...ratesByPriority.keys()].filter((priority) => isNeglected(priority, now)))
      let best: Entry | null = null
      for (const entry of entries) {
        if (best === null || compare(entry, best, { now, workMs, isKeyBusy, neglected }) < 0) best = entry
      }
      return best
    },
    markSent (entry, now) {
      entries.delete(entry)
      ratesOf(entry.priority, now).sent++
    },
    recordSent (priority, now) {
      const rates = ratesOf(priority, now)
      rates.arrivals++
      rates.sent++
    },
    recordRefused (priority, now) { ratesOf(priority, now).refused++ },
    guaranteedShare,
    countAhead (request, options) {
      let ahead = 0
      for (const entry of entries) if (compare(entry, request, { ...options, neglected: NONE }) <= 0) ahead++
      return ahead
    },
    arrivalsPerMs (moreUrgentThan, now) {
      let arrivals = 0
      for (const priority of ratesByPriority.keys()) if (priority < moreUrgentThan) arrivals += ratesOf(priority, now).arrivals
      return arrivals / RATE_WINDOW_MS
    },
    takeExpired ({ now, workMs }) {
      const expired = [...entries].filter((entry) => now + workMs * MINIMUM_WORK_SHARE > entry.deadlineAt)
      for (const entry of expired) entries.delete(entry)
      return expired
    },
    size: () => entries.size
  }
}

const NONE: ReadonlySet<number> = new Set()

/** Below 0 if the first request is sent before the second. */
function compare (left: WaitingRequest, right: WaitingRequest, { now, workMs, isKeyBusy, neglected }: OrderOptions & { readonly neglected: ReadonlySet<number> }): number {
  const isLate = (request: WaitingRequest): boolean => now + goalMarginMs(request, workMs) > request.goalAt
  const rank = (request: WaitingRequest): number => neglected.has(request.priority) ? -1 : isLate(request) ? 1 : 0
  const byRank = rank(left) - rank(right)
  if (byRank !== 0) return byRank
  if (left.priority !== right.priority) return left.priority - right.priority
  if (left.key !== right.key) {
    const byKey = Number(left.key !== null && isKeyBusy(left.key)) - Number(right.key !== null && isKeyBusy(right.key))
    if (byKey !== 0) return byKey
  }
  return isLate(left) ? left.deadlineAt - right.deadlineAt : left.goalAt - right.goalAt
}
