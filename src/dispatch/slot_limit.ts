/**
 * How many requests a backend server gets at once. The limit starts low after
 * a cold start, grows while requests succeed and shrinks when the server
 * sheds load; shedding is load, not death.
 */

/** Options of {@link createSlotLimit}. */
export interface SlotLimitOptions {
  /** Slots that the service's configuration gives a server. */
  readonly slots: number
  /** Share of the slots that a new server starts with. Default: 0.5. */
  readonly startShare?: number
}

/** Limit of one server. */
export interface SlotLimit {
  /** Requests that may be in flight at once; at least 1. */
  limit (): number
  inFlight (): number
  hasRoom (): boolean
  begin (): void
  /** Ends a request after `durationMs`, or with the server's refusal for load. */
  end (outcome: { readonly kind: 'done', readonly durationMs: number } | { readonly kind: 'shed' } | { readonly kind: 'failed' }): void
  /** Exponentially weighted mean of the time a request takes, in milliseconds. */
  meanDurationMs (): number
}

const SHRINK_FACTOR = 0.7
const MEAN_WEIGHT = 0.1
const FIRST_MEAN_MS = 5

/**
 * Creates the limit of a server that has just been met.
 *
 * @param options Configured slots.
 * @returns The limit.
 * @example
 * ```ts
 * createSlotLimit({ slots: 6 }).limit() // 3
 * ```
 */
export function createSlotLimit (options: SlotLimitOptions): SlotLimit {
  let limit = Math.max(1, options.slots * (options.startShare ?? 0.5))
  let inFlight = 0
  let mean = FIRST_MEAN_MS

  function whole (): number {
    return Math.max(1, Math.floor(limit))
  }

  return {
    limit: whole,
    inFlight: () => inFlight,
    hasRoom: () => inFlight < whole(),
    begin () { inFlight++ },
    end (outcome) {
      inFlight--
      if (outcome.kind === 'shed') limit = Math.max(1, limit * SHRINK_FACTOR)
      if (outcome.kind !== 'done') return
      limit = Math.min(options.slots, limit + 1 / whole())
      mean += (outcome.durationMs - mean) * MEAN_WEIGHT
    },
    meanDurationMs: () => mean
  }
}
