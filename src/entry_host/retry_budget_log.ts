/**
 * Logs when the retry budget of a service is exhausted, and when the number of
 * hosts that share the retries changes; a bounded number of lines.
 */
import type { Logger } from '../logging/mod.ts'
import type { RetryBudgetsOptions } from './retry_budgets.ts'

/** Minimum time between two lines on one service, in milliseconds: a small budget is full again after a few requests. */
const EXHAUSTED_INTERVAL_MS = 10_000

/** Minimum time between two lines on the number of hosts, in milliseconds: many join one after the other when a deployment starts. */
const HOSTS_INTERVAL_MS = 1000

/**
 * Creates the log.
 *
 * @param logger Destination of the lines.
 * @param now Monotonic time in milliseconds.
 * @returns Callbacks for the budgets of the host.
 */
export function createRetryBudgetLog (logger: Logger, now: () => number): Required<Pick<RetryBudgetsOptions, 'onRefused' | 'onHostCount'>> {
  /** When each service had its last line, and how often its budget had been exhausted and withdrawals refused by then. */
  const logged = new Map<string, { readonly at: number, readonly exhaustions: number, readonly refused: number }>()
  let loggedHosts: { readonly at: number, readonly hosts: number, readonly counted: number | null } | null = null

  return {
    onRefused (service, { tokens, maximum, refused, exhaustions, hosts, counted, hostsFrom }) {
      const last = logged.get(service)
      if (last !== undefined && (exhaustions === last.exhaustions || now() - last.at < EXHAUSTED_INTERVAL_MS)) return
      logged.set(service, { at: now(), exhaustions, refused })
      logger.warn({ service, tokens: round(tokens), maximum: round(maximum), refused: refused - (last?.refused ?? 0), hosts, counted, hostsFrom }, 'retry-budget-exhausted')
    },
    onHostCount ({ hosts, counted, hostsFrom, maximum }) {
      // The number is published several times a second, so that the last change is logged, too.
      if (loggedHosts !== null && ((hosts === loggedHosts.hosts && counted === loggedHosts.counted) || now() - loggedHosts.at < HOSTS_INTERVAL_MS)) return
      logger.info({ hosts, previous: loggedHosts?.hosts, counted, previousCounted: loggedHosts?.counted ?? undefined, hostsFrom, maximum: round(maximum) }, 'retry-hosts-changed')
      loggedHosts = { at: now(), hosts, counted }
    }
  }
}

/** Rounds to two decimal places. */
function round (value: number): number {
  return Math.round(value * 100) / 100
}
