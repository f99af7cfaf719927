/** Retry budget: limits retries to a share of the requests, so that retries cannot amplify an outage. */

/** Options of {@link createRetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries that each request adds. Default: 0.1. */
  readonly share?: number
  /** Maximum number of retries that can accumulate. Default: 20. */
  readonly maximum?: number
}

/** Budget of one host. */
export interface RetryBudget {
  /** Adds the share of one request to the budget; call it on the first attempt. */
  deposit (): void
  /** Withdraws one retry; returns `false` if the budget is exhausted. */
  tryWithdraw (): boolean
  /** Changes the maximum number of retries that can accumulate. */
  setMaximum (maximum: number): void
}

/**
 * Creates a full budget.
 *
 * @param options Share and maximum.
 * @returns The budget.
 * @example
 * ```ts
 * createRetryBudget({ maximum: 1 }).tryWithdraw() // true
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
    setMaximum (newMaximum) {
      maximum = newMaximum
      tokens = Math.min(tokens, maximum)
    }
  }
}
