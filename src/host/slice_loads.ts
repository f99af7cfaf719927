/** Smoothed loads of slices, from what the dispatchers of a cell counted themselves. */

/** Requests of each slice, by service, as one dispatcher counted them. */
export type SliceCounts = Readonly<Record<string, Readonly<Record<string, number>>>>

/** Loads of the slices of a cell. */
export interface SliceLoads {
  /** Takes in one collection from every dispatcher; slices that none names had no requests. */
  merge (collection: readonly SliceCounts[]): void
  /** Grows with every collection. */
  version (): number
  byService (): Readonly<Record<string, ReadonlyMap<number, number>>>
}

/** Share of the newest collection in the smoothed loads. */
const NEWEST_WEIGHT = 0.5

/** Smoothed load below which a slice is forgotten, in requests a collection. */
const FORGOTTEN_BELOW = 0.01

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
        const left = load * (1 - NEWEST_WEIGHT)
        if (left < FORGOTTEN_BELOW) slices.delete(slice)
        else slices.set(slice, left)
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
            smoothed.set(Number(slice), (smoothed.get(Number(slice)) ?? 0) + count * NEWEST_WEIGHT)
          }
          loads[service] = smoothed
        }
      }
    },
    byService: () => loads
  }
}
