/** Counts events in a sliding window. */

/**
 * Returns the largest number of events within any span of a given length.
 *
 * @param times Times of the events, in ascending order.
 * @param windowMs Length of the span, in the unit of the times.
 * @returns The number of events.
 */
export function countWithin (times: readonly number[], windowMs: number): number {
  let most = 0
  let first = 0
  for (const [index, time] of times.entries()) {
    while (time - (times[first] ?? time) > windowMs) first++
    most = Math.max(most, index - first + 1)
  }
  return most
}
