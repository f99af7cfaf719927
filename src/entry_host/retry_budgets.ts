/**
 * Retries that one host may spend for each service, so that all hosts together
 * stay within what the operators allow: a share of the requests and a fixed
 * number in each window. The share follows each host's own requests; the fixed
 * number is divided by the number of hosts.
 */
import { createRetryBudget, type RetryBudget } from '../dispatch/retry_budget.ts'

/** Options of {@link createRetryBudgets}. */
export interface RetryBudgetsOptions {
  /** Retries that one request allows, over all hosts. */
  readonly ratio: number
  /** Retries that are allowed besides, over all hosts, in one window. */
  readonly slack: number
}

/** Budgets of one host. */
export interface RetryBudgets {
  forService (service: string): RetryBudget
  /** Takes in how many hosts share the fixed number. */
  setHostCount (hosts: number): void
}

/** Part of the ratio that is spent; the rest is for requests that end a window while their retries begin the next. */
const RATIO_PART = 0.9

/** Part of the fixed number that is spent: in a partition a leader counts fewer hosts than there are, while the others keep their parts. */
const SLACK_PART = 0.7

/** Hosts that are assumed before the leading host has told their number. */
const HOSTS_ASSUMED = 64

/**
 * Creates full budgets.
 *
 * @param options What all hosts together may spend.
 * @returns The budgets of one host.
 */
export function createRetryBudgets (options: RetryBudgetsOptions): RetryBudgets {
  const budgets = new Map<string, RetryBudget>()
  let saved = savedBy(HOSTS_ASSUMED)

  function savedBy (hosts: number): number {
    // A budget below one retry never allows any: with many hosts the share alone has to fill it.
    return Math.max(1, options.slack * SLACK_PART / hosts)
  }

  return {
    forService (service) {
      const known = budgets.get(service)
      if (known !== undefined) return known
      const budget = createRetryBudget({ share: options.ratio * RATIO_PART, maximum: saved })
      budgets.set(service, budget)
      return budget
    },
    setHostCount (hosts) {
      const next = savedBy(hosts)
      if (next === saved) return
      saved = next
      for (const budget of budgets.values()) budget.setMaximum(saved)
    }
  }
}
