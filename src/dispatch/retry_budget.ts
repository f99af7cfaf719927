/** Retry budget: limits retries to a share of the requests, so that retries cannot amplify an outage. */

/** Options of {@link createRetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries that each request adds. Default: 0.1. */
  readonly share?: number
  /** Maximum number of retries that can accumulate; may be less than one. Default: 20. */
  readonly maximum?: number
  /** Retries that the budget contains at first. Default: the maximum. */
  readonly initial?: number
  /** Random number from 0 to 1, for budgets whose maximum is less than one. Default: `Math.random`. */
  readonly random?: () => number
}

/** State of a budget. */
export interface RetryBudgetState {
  /** Retries that may be withdrawn; a fraction of one allows none yet, unless the maximum is less than one. */
  readonly tokens: number
  readonly maximum: number
  /** Withdrawals that were refused since the budget was created. */
  readonly refused: number
  /** How often it was exhausted; it counts again only after it was full. */
  readonly exhaustions: number
}

/** Budget of one host. */
export interface RetryBudget {
  /** Adds the share of one request to the budget; call it on the first attempt. */
  deposit (): void
  /**
   * Withdraws one retry; returns `false` if the budget is exhausted. A budget that can never
   * contain a whole retry is emptied, and allows one with the probability of the part that it contained.
   */
  tryWithdraw (): boolean
  /** Changes the maximum number of retries that can accumulate. */
  setMaximum (maximum: number): void
  describe (): RetryBudgetState
}

/**
 * Creates a budget.
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
  const random = options.random ?? Math.random
  let maximum = options.maximum ?? 20
  let tokens = options.initial ?? maximum
  let refused = 0
  let exhaustions = 0
  let isExhausted = false

  function withdraw (): boolean {
    if (tokens >= 1) {
      tokens--
      return true
    }
    if (maximum >= 1) return false
    // Many hosts that each round their part of a retry up would exceed the limit over all hosts; rounded down, none would ever retry.
    const isAllowed = random() < tokens
    tokens = 0
    return isAllowed
  }

  return {
    deposit () {
      tokens = Math.min(maximum, tokens + share)
      if (tokens === maximum) isExhausted = false
    },
    tryWithdraw () {
      if (withdraw()) return true
      refused++
      if (!isExhausted) exhaustions++
      isExhausted = true
      return false
    },
    setMaximum (newMaximum) {
      maximum = newMaximum
      tokens = Math.min(tokens, maximum)
    },
    describe: () => ({ tokens, maximum, refused, exhaustions })
  }
}
