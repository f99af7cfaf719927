/**
 * Estimates how long callers have been waiting.
 *
 * A caller that returns after a refusal states the time that is left to it, not
 * the time of its first attempt. First attempts of one route mostly state the
 * same time, so what a request states less than that has passed.
 */

/** Estimator of one host. */
export interface CallerDeadlines {
  /** Records the time that a request of a route states; returns the time since its caller's first attempt, in milliseconds. */
  elapsedMs (route: string, statedMs: number): number
}

/** Width of the classes of stated times, in milliseconds: the time that a connection takes varies less. */
const CLASS_WIDTH_MS = 50

/** Number of requests of a route after which the counts are halved, so that a changed deadline is learned. */
const HALVING_COUNT = 200

interface RouteDeadlines { readonly counts: Map<number, number>, total: number }

/**
 * Creates an estimator without requests.
 *
 * @returns The estimator.
 */
export function createCallerDeadlines (): CallerDeadlines {
  const routes = new Map<string, RouteDeadlines>()

  function halve (deadlines: RouteDeadlines): void {
    deadlines.total = 0
    for (const [statedClass, count] of deadlines.counts) {
      const half = Math.floor(count / 2)
      if (half === 0) deadlines.counts.delete(statedClass)
      else deadlines.counts.set(statedClass, half)
      deadlines.total += half
    }
  }

  return {
    elapsedMs (route, statedMs) {
      const deadlines = routes.get(route) ?? { counts: new Map<number, number>(), total: 0 }
      routes.set(route, deadlines)
      const statedClass = Math.round(statedMs / CLASS_WIDTH_MS)
      deadlines.counts.set(statedClass, (deadlines.counts.get(statedClass) ?? 0) + 1)
      if (++deadlines.total > HALVING_COUNT) halve(deadlines)
      let usual = statedClass
      for (const [other, count] of deadlines.counts) if (count > (deadlines.counts.get(usual) ?? 0)) usual = other
      return Math.max(0, (usual - statedClass) * CLASS_WIDTH_MS)
    }
  }
}
