/** Counts the ends of servers that one request can have caused, one after another. */

/** A run of a request that ended together with its server; monotonic times in milliseconds. */
export interface EndedRun {
  readonly sentAt: number
  readonly endedAt: number
}

/** Time by which a run may begin before the end of the one before it, in milliseconds: hosts notice an end at slightly different times, and their messages take different times. */
const CLOCK_TOLERANCE_MS = 30

/** Minimum time between two ends that count as two, in milliseconds. It is longer than the tolerance, so that three servers that end at the same moment are never a sequence of three. */
const MINIMUM_SEPARATION_MS = 40

/**
 * Returns the length of the longest sequence of runs of which each began after the end of the one before.
 * Servers that end at the same moment, for a cause of their own, count once, however many runs a request had there.
 *
 * @param runs Runs in any order.
 * @returns The number of runs in the sequence.
 */
export function countSequentialEnds (runs: readonly EndedRun[]): number {
  let count = 0
  let lastEndedAt = -Infinity
  for (const run of [...runs].sort((left, right) => left.endedAt - right.endedAt)) {
    if (run.sentAt < lastEndedAt - CLOCK_TOLERANCE_MS || run.endedAt < lastEndedAt + MINIMUM_SEPARATION_MS) continue
    count++
    lastEndedAt = run.endedAt
  }
  return count
}

/**
 * Returns the number of moments at which servers ended; those that end together count once.
 *
 * @param endedAt Times of the ends in any order, in milliseconds.
 * @returns The number of moments.
 */
export function countMoments (endedAt: readonly number[]): number {
  let count = 0
  let lastEndedAt = -Infinity
  for (const time of [...endedAt].sort((left, right) => left - right)) {
    if (time >= lastEndedAt + MINIMUM_SEPARATION_MS) count++
    lastEndedAt = time
  }
  return count
}
