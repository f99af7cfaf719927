/** A budget that keeps retries to a share of the requests, so that they cannot multiply an outage. */

/** Options of {@link createRetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries that each request adds. Default: 0.1. */
  readonly share?: number
  /** Most retries that can be saved up. Default: 20. */
  readonly maximum?: number
}

/** Budget of one host. */
export interface RetryBudget {
  /** Counts a first try. */
  deposit (): void
  /** Takes one retry from the budget; returns whether there was one. */
  tryWithdraw (): boolean
  /** Changes how many retries can be saved up. */
  setMaximum (maximum: number): void
}

/**
 * Creates a full budget.
 *
 * @param options Share and maximum.
 * @returns The budget.
 * @example
 * ```ts
 * createRetryBudget({ maximum: 1 }).spend() // true
 * ```
 */
export function createRetryBudget (options: RetryBudgetOptions = {}): RetryBudget {
  const share = options.share ?? 0.1
  let maximum = options.maximum ?? 20
  let tokens = maximum
  return {
    deposit () { tokens = Math.min(maximum, tokens + share) },
    tryWithdraw () {
      if (tokens < 1) return false
      tokens--
      return true
    },
    setMaximum (saved) {
      maximum = saved
      tokens = Math.min(tokens, maximum)
    }
  }
}
