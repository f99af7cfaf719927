/**
 * Adaptive concurrency limit of a backend server. The limit starts low after
 * a cold start, grows while requests succeed and shrinks when the server
 * sheds load. Shedding signals overload and is not counted as a failure.
 */

/** Options of {@link createSlotLimit}. */
export interface SlotLimitOptions {
  /** Slots per server in the service's configuration. */
  readonly slots: number
  /** Share of the slots that a new server starts with. Default: 0.5. */
  readonly startShare?: number
}

/** Limit of one server. */
export interface SlotLimit {
  /** Requests that may be in flight at once; at least 1. */
  limit (): number
  inFlight (): number
  hasFreeSlot (): boolean
  begin (): void
  /** Records that a request ended: after `durationMs`, shed by the server, or failed. */
  end (outcome: { readonly kind: 'done', readonly durationMs: number } | { readonly kind: 'shed' } | { readonly kind: 'failed' }): void
  /** Exponentially weighted mean of request durations, in milliseconds. */
  meanDurationMs (): number
}

const SHRINK_FACTOR = 0.7
const MEAN_DURATION_WEIGHT = 0.1
const INITIAL_MEAN_DURATION_MS = 5

/**
 * Creates the limit of a new server.
 *
 * @param options Configured slots and initial share.
 * @returns The limit.
 * @example
 * ```ts
 * createSlotLimit({ slots: 6 }).limit() // 3
 * ```
 */
export function createSlotLimit (options: SlotLimitOptions): SlotLimit {
  let limit = Math.max(1, options.slots * (options.startShare ?? 0.5))
  let inFlight = 0
  let meanDuration = INITIAL_MEAN_DURATION_MS

  function wholeLimit (): number {
    return Math.max(1, Math.floor(limit))
  }

  return {
    limit: wholeLimit,
    inFlight: () => inFlight,
    hasFreeSlot: () => inFlight < wholeLimit(),
    begin () { inFlight++ },
    end (outcome) {
      inFlight--
      if (outcome.kind === 'shed') limit = Math.max(1, limit * SHRINK_FACTOR)
      if (outcome.kind !== 'done') return
      limit = Math.min(options.slots, limit + 1 / wholeLimit())
      meanDuration += (outcome.durationMs - meanDuration) * MEAN_DURATION_WEIGHT
    },
    meanDurationMs: () => meanDuration
  }
}
