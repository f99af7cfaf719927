/** A queue of timed callbacks with a simulated clock; callbacks due at the same time run in the order in which they were scheduled. */

interface ScheduledEvent { readonly dueAt: number, readonly callback: () => void }

/** Event queue with a simulated clock, in milliseconds. */
export interface EventQueue {
  now (): number
  schedule (delayMs: number, callback: () => void): void
  /** Advances the clock by a duration and runs every callback that becomes due. */
  advance (durationMs: number): void
}

/**
 * Creates an empty queue at time 0.
 *
 * @returns The queue.
 */
export function createEventQueue (): EventQueue {
  const events: ScheduledEvent[] = []
  let currentTime = 0

  /** Returns the index of the first event that is due later than `dueAt`. */
  function insertionIndex (dueAt: number): number {
    let low = 0
    let high = events.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((events[middle]?.dueAt ?? Infinity) <= dueAt) low = middle + 1
      else high = middle
    }
    return low
  }

  return {
    now: () => currentTime,
    schedule (delayMs, callback) {
      const at = currentTime + delayMs
      events.splice(insertionIndex(at), 0, { dueAt: at, callback })
    },
    advance (durationMs) {
      const until = currentTime + durationMs
      for (;;) {
        const event = events[0]
        if (event === undefined || event.dueAt > until) break
        events.shift()
        currentTime = event.dueAt
        event.callback()
      }
      currentTime = until
    }
  }
}
