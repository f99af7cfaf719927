/**
 * Chooses the server that runs the next request of a queue.
 *
 * Answers two loads: servers of different speed, and servers whose work takes
 * several times as long for a moment because they share their machine. A slot
 * of a server that is slow now is left free if another server is expected to
 * complete the request sooner, the wait for its slot included.
 */

/** A server of the queue as it is now. */
export interface SlotCandidate {
  readonly id: string
  /** Requests that it can run concurrently. */
  readonly slots: number
  /** Requests that it runs now. */
  readonly inFlight: number
  /** Usual duration of a request, in milliseconds. */
  readonly usualMs: number
  /** Expected duration of a request that is sent now, in milliseconds. */
  readonly expectedMs: number
  /** Share of its requests that it fails, from 0 to 1. */
  readonly failureShare: number
}

/** Multiple of the expected duration by which each failed request is counted: it has to be sent again, or fails for its caller. */
const FAILURE_COST = 4

/** Share by which a server with all but one slot busy counts as slower than an idle one. Breaks ties, and some servers slow down when they are nearly full. */
const OCCUPANCY_COST = 0.3

/** Factor by which the wait for another server must be better, since the estimates are means. */
const WAIT_GAIN = 1.2

/** Cost of a request on a server, as an equivalent duration in milliseconds. */
function cost ({ expectedMs, failureShare, inFlight, slots }: SlotCandidate): number {
  return expectedMs * (1 + FAILURE_COST * failureShare) * (1 + OCCUPANCY_COST * inFlight / slots)
}

/**
 * Lists the servers with a free slot, best first.
 *
 * @param candidates The servers of the queue that may get requests.
 * @returns Their identifiers; empty if the request should wait.
 */
export function rankSlots (candidates: readonly SlotCandidate[]): string[] {
  const free = candidates.filter((candidate) => candidate.inFlight < candidate.slots)
  const ranked = free.map((candidate) => ({ candidate, cost: cost(candidate) })).sort((left, right) => left.cost - right.cost)
  const alternative = completionOnBusyServersMs(candidates)
  return ranked.filter(({ candidate }) => candidate.expectedMs <= candidate.usualMs || candidate.expectedMs <= alternative * WAIT_GAIN).map(({ candidate }) => candidate.id)
}

/** Expected time until a request that waits for the next slot of a busy server completes, in milliseconds; `Infinity` if no server is busy. */
function completionOnBusyServersMs (candidates: readonly SlotCandidate[]): number {
  const busy = candidates.filter(({ inFlight, slots }) => inFlight >= slots)
  if (busy.length === 0) return Infinity
  const completionsPerMs = busy.reduce((sum, { slots, expectedMs }) => sum + slots / expectedMs, 0)
  const meanMs = busy.reduce((sum, { usualMs }) => sum + usualMs, 0) / busy.length
  return 1 / completionsPerMs + meanMs
}
