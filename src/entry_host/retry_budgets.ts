/**
 * Retry budgets of one host, one for each service, sized so that all hosts
 * together stay within the limit that operators set: a ratio of the requests
 * plus a fixed number in each window. The ratio applies to each host's own
 * requests; the fixed number is divided by the number of hosts.
 *
 * In any window, a host makes at most as many retries as its budget contains
 * at the beginning, plus the ratio of its requests in the window. The budgets
 * of all hosts together must therefore never contain more than the fixed
 * number: they are empty at first, since a host that restarts has used an
 * earlier one, and only requests fill them.
 */
import { createRetryBudget, type RetryBudget, type RetryBudgetState } from '../dispatch/retry_budget.ts'
import type { HostCount } from './host_count.ts'

/** Options of {@link createRetryBudgets}. */
export interface RetryBudgetsOptions {
  /** Allowed retries per request, over all hosts. */
  readonly ratio: number
  /** Additional retries allowed in one window, over all hosts. */
  readonly slack: number
  readonly hostCount: Pick<HostCount, 'record' | 'sharing'>
  /** Random number from 0 to 1. */
  readonly random: () => number
  /** Called when a withdrawal is refused. Default: no callback. */
  readonly onRefused?: (service: string, state: RetryBudgetState & SharingHosts) => void
  /** Called when a number of hosts is recorded, changed or not. Default: no callback. */
  readonly onHostCount?: (count: SharingHosts & { readonly maximum: number }) => void
}

/** Number of hosts that share the fixed number of retries. */
export interface SharingHosts {
  readonly hosts: number
  /** Last number that was recorded, which may be smaller; `null` before there is one. */
  readonly counted: number | null
  /** Where that comes from: `assumed` before there is one, `counted` by this host as the leader, or the address of the leading host that published it. */
  readonly hostsFrom: string
}

/** State of the budgets of one host. */
export interface RetryBudgetsState extends SharingHosts {
  /** Limits over all hosts. */
  readonly ratio: number
  readonly slack: number
  readonly services: ReadonlyArray<RetryBudgetState & { readonly service: string }>
}

/** Retry budgets of one host. */
export interface RetryBudgets {
  forService (service: string): RetryBudget
  /** Records the number of hosts that the leader counts, and where it comes from. */
  recordHosts (hosts: number, hostsFrom?: string): void
  describe (): RetryBudgetsState
}

/** Share of the ratio that is used; the rest covers requests at the end of a window whose retries fall into the next one. */
const USABLE_RATIO_SHARE = 0.9

/** Share of the fixed number that is used: hosts that have not been counted yet have budgets too, and retries arrive later than they were paid for. */
const USABLE_SLACK_SHARE = 0.7

/**
 * Creates empty budgets.
 *
 * @param options Retry limits over all hosts.
 * @returns The budgets of one host.
 */
export function createRetryBudgets (options: RetryBudgetsOptions): RetryBudgets {
  const budgets = new Map<string, RetryBudget>()
  let counted: number | null = null
  let hostsFrom = 'assumed'
  let maximum = currentMaximum()

  function currentMaximum (): number {
    return options.slack * USABLE_SLACK_SHARE / options.hostCount.sharing()
  }

  function sharingHosts (): SharingHosts {
    return { hosts: options.hostCount.sharing(), counted, hostsFrom }
  }

  return {
    forService (service) {
      const existing = budgets.get(service)
      if (existing !== undefined) return existing
      const budget = createRetryBudget({ share: options.ratio * USABLE_RATIO_SHARE, maximum, initial: 0, random: options.random })
      const observed: RetryBudget = {
        ...budget,
        tryWithdraw () {
          const isWithdrawn = budget.tryWithdraw()
          if (!isWithdrawn) options.onRefused?.(service, { ...budget.describe(), ...sharingHosts() })
          return isWithdrawn
        }
      }
      budgets.set(service, observed)
      return observed
    },
    recordHosts (hosts, from = 'counted') {
      options.hostCount.record(hosts)
      counted = hosts
      hostsFrom = from
      const next = currentMaximum()
      options.onHostCount?.({ ...sharingHosts(), maximum: next })
      if (next === maximum) return
      maximum = next
      for (const budget of budgets.values()) budget.setMaximum(maximum)
    },
    describe: () => ({
      ratio: options.ratio,
      slack: options.slack,
      ...sharingHosts(),
      services: [...budgets].map(([service, budget]) => ({ service, ...budget.describe() }))
    })
  }
}
