/**
 * Measures how late the process runs its work: a process without processor
 * time, or one that was suspended, reads its connections late as well.
 */

/** Monitor of one process. */
export interface LoopDelayMonitor {
  /** Records that a periodic timer has fired. */
  recordTick (): void
  /** Largest delay of the timer within the last second or so, in milliseconds. */
  delayMs (): number
}

/** Options of {@link createLoopDelayMonitor}. */
export interface LoopDelayMonitorOptions {
  /** Interval of the timer, in milliseconds. */
  readonly intervalMs: number
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Number of ticks whose delays are kept: one second of the timer for loads. */
const RETAINED_TICKS = 8

/**
 * Creates a monitor without measurements.
 *
 * @param options Interval and clock.
 * @returns The monitor.
 */
export function createLoopDelayMonitor (options: LoopDelayMonitorOptions): LoopDelayMonitor {
  const delays: number[] = []
  let tickedAt: number | null = null

  return {
    recordTick () {
      const at = options.now()
      if (tickedAt !== null) delays.push(Math.max(0, at - tickedAt - options.intervalMs))
      if (delays.length > RETAINED_TICKS) delays.shift()
      tickedAt = at
    },
    // A timer that has not fired yet is late by now.
    delayMs: () => Math.round(Math.max(0, ...delays, tickedAt === null ? 0 : options.now() - tickedAt - options.intervalMs))
  }
}
