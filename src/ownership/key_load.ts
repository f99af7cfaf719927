/** Load of each key, as an exponentially decaying count of requests. */

/** Half-life of a count, in milliseconds: short, because busy keys change within seconds, but long enough for a load to include many requests. */
const HALF_LIFE_MS = 4000

/** Counts below this share of a request are removed. */
const MINIMUM_COUNT = 0.02

/** Load of the keys of one service. */
export interface KeyLoad {
  add (key: number, requests: number): void
  /** Decays the counts to `now`, in milliseconds, and returns them. */
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
  let decayedAt = now
  return {
    add (key, requests) { counts.set(key, (counts.get(key) ?? 0) + requests) },
    read (time) {
      const factor = 0.5 ** (Math.max(0, time - decayedAt) / HALF_LIFE_MS)
      decayedAt = time
      for (const [key, count] of counts) {
        if (count * factor < MINIMUM_COUNT) counts.delete(key)
        else counts.set(key, count * factor)
      }
      return counts
    }
  }
}
