/** Smoothed loads of slices, from the counts of a cell's dispatchers. */

/** Requests for each slice, by service, as counted by one dispatcher. */
export type SliceCounts = Readonly<Record<string, Readonly<Record<string, number>>>>

/** Loads of the slices of a cell. */
export interface SliceLoads {
  /** Merges the counts of every dispatcher; a slice without a count had no requests. */
  merge (collection: readonly SliceCounts[]): void
  /** Increases with every collection. */
  version (): number
  byService (): Readonly<Record<string, ReadonlyMap<number, number>>>
}

/** Weight of the newest collection in the smoothed loads. */
const SMOOTHING_FACTOR = 0.5

/** Smoothed load below which a slice is removed, in requests per collection. */
const MINIMUM_LOAD = 0.01

/**
 * Creates loads that are all zero.
 *
 * @returns The loads.
 */
export function createSliceLoads (): SliceLoads {
  const loads: Record<string, Map<number, number>> = {}
  let version = 0

  function decay (): void {
    for (const slices of Object.values(loads)) {
      for (const [slice, load] of slices) {
        const decayedLoad = load * (1 - SMOOTHING_FACTOR)
        if (decayedLoad < MINIMUM_LOAD) slices.delete(slice)
        else slices.set(slice, decayedLoad)
      }
    }
  }

  return {
    version: () => version,
    merge (collection) {
      version++
      decay()
      for (const counts of collection) {
        for (const [service, slices] of Object.entries(counts)) {
          const smoothed = loads[service] ?? new Map<number, number>()
          for (const [slice, count] of Object.entries(slices)) {
            smoothed.set(Number(slice), (smoothed.get(Number(slice)) ?? 0) + count * SMOOTHING_FACTOR)
          }
          loads[service] = smoothed
        }
      }
    },
    byService: () => loads
  }
}
