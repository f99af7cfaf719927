/** A queue of things to do at a time; what is due at one time is done in the order in which it was put in. */

interface Event { readonly at: number, readonly act: () => void }

/** Queue with a time of its own, in milliseconds. */
export interface EventQueue {
  now (): number
  schedule (delayMs: number, act: () => void): void
  /** Does everything that falls due within a length of time. */
  advance (lengthMs: number): void
}

/**
 * Creates an empty queue at time 0.
 *
 * @returns The queue.
 */
export function createEventQueue (): EventQueue {
  const events: Event[] = []
  let time = 0

  /** Place of the first event that is due later than `at`. */
  function placeFor (at: number): number {
    let low = 0
    let high = events.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((events[middle]?.at ?? Infinity) <= at) low = middle + 1
      else high = middle
    }
    return low
  }

  return {
    now: () => time,
    schedule (delayMs, act) {
      const at = time + delayMs
      events.splice(placeFor(at), 0, { at, act })
    },
    advance (lengthMs) {
      const until = time + lengthMs
      for (;;) {
        const event = events[0]
        if (event === undefined || event.at > until) break
        events.shift()
        time = event.at
        event.act()
      }
      time = until
    }
  }
}
