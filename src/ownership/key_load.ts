/** Load of single keys, as an exponentially decaying count of requests. */

/** Time in which a count loses half of its weight, in milliseconds: short, because busy keys change within seconds, and long enough for loads to rest on many requests. */
const HALF_LIFE_MS = 4000

/** Counts below this share of a request are forgotten. */
const LEAST_COUNT = 0.02

/** Load of the keys of one service. */
export interface KeyLoad {
  add (key: number, requests: number): void
  /** Ages the counts to `now` and returns them. */
  read (now: number): ReadonlyMap<number, number>
}

/**
 * Creates a load without requests.
 *
 * @param now Monotonic time, in milliseconds.
 * @returns The load.
 */
export function createKeyLoad (now: number): KeyLoad {
  const counts = new Map<number, number>()
  let agedAt = now
  return {
    add (key, requests) { counts.set(key, (counts.get(key) ?? 0) + requests) },
    read (time) {
      const factor = 0.5 ** (Math.max(0, time - agedAt) / HALF_LIFE_MS)
      agedAt = time
      for (const [key, count] of counts) {
        if (count * factor < LEAST_COUNT) counts.delete(key)
        else counts.set(key, count * factor)
      }
      return counts
    }
  }
}
