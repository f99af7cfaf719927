/** Requests that were sent to one server within the last second, as a sliding window: a bucket would allow two bursts within one second. */

/** Length of the window, in milliseconds: one second, and the time that may pass between the decision to send a request and its sending. */
export const WINDOW_MS = 1100

/** Sliding window of the requests to one server; times are monotonic, in milliseconds. */
export interface SendWindow {
  /** Time until fewer than `limit` requests are within the window; 0 if that is so now. */
  waitMs (limit: number, now: number): number
  /** Records a request that is sent now. */
  add (now: number): void
  /** Removes a request that was added at `addedAt` or right after it; returns whether it was still within the window. */
  remove (addedAt: number, now: number): boolean
  /** Number of requests within the window. */
  count (now: number): number
}

/**
 * Creates an empty window.
 *
 * @returns The window.
 */
export function createSendWindow (): SendWindow {
  /** Times of the requests, in ascending order. */
  const times: number[] = []

  function discardOld (now: number): void {
    let old = 0
    while (old < times.length && now - (times[old] ?? 0) >= WINDOW_MS) old++
    if (old > 0) times.splice(0, old)
  }

  return {
    waitMs (limit, now) {
      discardOld(now)
      const blocking = times[times.length - limit]
      return blocking === undefined ? 0 : blocking + WINDOW_MS - now
    },
    add (now) {
      discardOld(now)
      times.push(now)
    },
    remove (addedAt, now) {
      // Once the request has left the window, the next later one is another request.
      if (now - addedAt >= WINDOW_MS) return false
      discardOld(now)
      const index = times.findIndex((time) => time >= addedAt)
      if (index < 0) return false
      times.splice(index, 1)
      return true
    },
    count (now) {
      discardOld(now)
      return times.length
    }
  }
}
