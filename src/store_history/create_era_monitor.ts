/** Tracks the era of the store, from the eras that its responses and other hosts state. */
import { FIRST_ERA } from './store_position.ts'

/** Era monitor of one host. */
export interface EraMonitor {
  /** Records an era; returns whether it is later than every era recorded before. */
  record (era: number): boolean
  /** Latest recorded era; {@link FIRST_ERA} before the first. */
  era (): number
  /** When the latest era was first recorded, in milliseconds of the monotonic clock: the restore that began it is no later. `Infinity` before the first record. */
  firstSeenAt (): number
}

/**
 * Creates a monitor that has recorded no era.
 *
 * @param now Monotonic time in milliseconds.
 * @returns The monitor.
 */
export function createEraMonitor (now: () => number): EraMonitor {
  let latest: { readonly era: number, readonly firstSeenAt: number } | null = null

  return {
    record (era) {
      if (latest !== null && era <= latest.era) return false
      latest = { era, firstSeenAt: now() }
      return true
    },
    era: () => latest?.era ?? FIRST_ERA,
    firstSeenAt: () => latest?.firstSeenAt ?? Infinity
  }
}
