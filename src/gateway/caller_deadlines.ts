/**
 * Estimates how long callers have been waiting.
 *
 * A caller that returns after a refusal states the time that is left to it, not
 * the time of its first attempt. First attempts of one route state similar
 * times, the longest of all, so what a request states far below these has passed.
 */

/** Estimator of one host. */
export interface CallerDeadlines {
  /**
   * Records the time that a request of a route states; returns the estimated time since its
   * caller's first attempt, in milliseconds, or 0 if this may be the first attempt.
   */
  elapsedMs (route: string, statedMs: number): number
}

/** Width of the classes of stated times, in milliseconds: narrow against any deadline. */
const CLASS_WIDTH_MS = 50

/** Number of requests of a route after which the counts are halved, so that a changed deadline is learned. */
const HALVING_COUNT = 200

/** Share of the requests that may state more than the usual longest time: callers with a deadline of their own. */
const OUTLIER_SHARE = 0.05

/** Shortest time that a first attempt states, as a share of the longest, and the mean between the two: callers of one route differ by that much. */
const SHORTEST_FIRST_SHARE = 0.85
const MEAN_FIRST_SHARE = 0.925

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

  /** Returns the longest time that first attempts usually state, in milliseconds. */
  function longestMs ({ counts, total }: RouteDeadlines): number {
    let above = 0
    const classes = [...counts.keys()].sort((left, right) => right - left)
    for (const statedClass of classes) {
      above += counts.get(statedClass) ?? 0
      if (above > total * OUTLIER_SHARE) return statedClass * CLASS_WIDTH_MS
    }
    return 0
  }

  return {
    elapsedMs (route, statedMs) {
      const deadlines = routes.get(route) ?? { counts: new Map<number, number>(), total: 0 }
      routes.set(route, deadlines)
      const statedClass = Math.round(statedMs / CLASS_WIDTH_MS)
      deadlines.counts.set(statedClass, (deadlines.counts.get(statedClass) ?? 0) + 1)
      if (++deadlines.total > HALVING_COUNT) halve(deadlines)
      const longest = longestMs(deadlines)
      return statedMs >= longest * SHORTEST_FIRST_SHARE ? 0 : longest * MEAN_FIRST_SHARE - statedMs
    }
  }
}
