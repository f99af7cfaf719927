/** Observes which servers hold which keys, as the rule OWNER counts it. */

/** Keys that are looked at: some in each of the ranges that a new service starts with. */
const SAMPLED_KEYS = Array.from({ length: 512 }, (_, index) => index * 128 + 64)

const INTERVAL_MS = 10

/**
 * Observes servers that are up until `stop()` is called.
 *
 * @param servers Servers; one that has ended is taken out of the set.
 * @param log Writes a line to the record.
 * @returns The observation: the longest time for which two servers held one key.
 */
export function observeOwnership (servers, log) {
  const since = new Map()
  const keys = new Set()
  let longestMs = 0
  let pair = null
  const timer = setInterval(() => {
    const now = performance.now()
    for (const key of SAMPLED_KEYS) {
      const holders = [...servers].filter((server) => server.holdsKey(key)).map(({ id }) => id)
      if (holders.length < 2) {
        since.delete(key)
        continue
      }
      if (!since.has(key)) {
        since.set(key, now)
        log(`key ${key} is held by ${holders.join(' and ')}`)
      }
      const heldMs = now - since.get(key)
      if (heldMs > 500) keys.add(key)
      if (heldMs > longestMs) [longestMs, pair] = [heldMs, holders]
    }
  }, INTERVAL_MS)
  return {
    stop () {
      clearInterval(timer)
      return { longestMs: Math.round(longestMs), pair, keys: keys.size, sampled: SAMPLED_KEYS.length }
    }
  }
}
