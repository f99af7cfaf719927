/**
 * Account of the attempts of one request: whether it may be sent again, and
 * what pays for that.
 *
 * Every arrival of a request at a server after its first one counts as a
 * retry, also if the server rejects it. An attempt that has not reached a
 * server leaves the next one to be the same arrival, so that repeat is free.
 * A repeat after any other attempt is paid from the retry budget.
 */
import type { RetryBudget } from '../dispatch/retry_budget.ts'
import { AttemptReach } from './attempt_record.ts'

/** Attempts of a request, as far as another one depends on them. */
export interface RepeatQuery {
  /** Reach of each attempt so far, in order; at least one. */
  readonly reaches: readonly AttemptReach[]
  /** Maximum number of servers that the request may be sent to. */
  readonly maximumAttempts: number
  /** Time until the timeout of the caller or of the route, in milliseconds. */
  readonly remainingMs: number
  /** Whether the number of attempts that reach no server is limited too. */
  readonly limitsUnsent: boolean
}

/** What a repeat draws on; `refused` if the request is not sent again. */
export type RepeatTerms = 'free' | 'paid' | 'refused'

/** What has paid for a repeat. */
export type RepeatPayment = Exclude<RepeatTerms, 'refused'>

/** Account of one request. */
export interface AttemptLedger {
  /** Records that an attempt has ended. */
  record (reach: AttemptReach): void
  /**
   * Asks for another attempt, and pays for it from the retry budget if it is not free.
   *
   * @param query The time that remains and the limits that apply.
   * @returns What has paid for the attempt, or `null` if it must not be made.
   */
  tryRepeat (query: Pick<RepeatQuery, 'remainingMs' | 'limitsUnsent'>): RepeatPayment | null
  /**
   * Pays for another attempt while the last one is in progress. The next `tryRepeat()` uses the payment.
   *
   * @param query The time that remains and the limits that apply.
   * @returns Whether another attempt may be made and is paid for.
   */
  reserveRepeat (query: Pick<RepeatQuery, 'remainingMs' | 'limitsUnsent'>): boolean
  /** Number of withdrawals from the retry budget. */
  withdrawals (): number
}

/** Minimum remaining time for a paid repeat, in milliseconds: a shorter one would rarely be answered. */
const MINIMUM_ATTEMPT_MS = 20

/** Number of attempts, in addition to the maximum, for those that reach no server. */
const ADDITIONAL_ATTEMPTS = 2

/**
 * Decides what another attempt draws on.
 *
 * @param query The attempts so far.
 * @returns The terms.
 * @example
 * ```ts
 * repeatTerms({ reaches: ['certain'], maximumAttempts: 2, remainingMs: 500, limitsUnsent: true }) // 'paid'
 * ```
 */
export function repeatTerms ({ reaches, maximumAttempts, remainingMs, limitsUnsent }: RepeatQuery): RepeatTerms {
  if (limitsUnsent && reaches.length >= maximumAttempts + ADDITIONAL_ATTEMPTS) return 'refused'
  if (reaches.filter((reach) => reach !== AttemptReach.none).length >= maximumAttempts) return 'refused'
  if (reaches.at(-1) === AttemptReach.none) return 'free'
  return remainingMs > MINIMUM_ATTEMPT_MS ? 'paid' : 'refused'
}

/**
 * Opens the account of a request that has not been sent.
 *
 * @param options Limit of its route, and the budget of its service.
 * @returns The account.
 */
export function createAttemptLedger ({ maximumAttempts, budget }: { readonly maximumAttempts: number, readonly budget: Pick<RetryBudget, 'tryWithdraw'> }): AttemptLedger {
  const reaches: AttemptReach[] = []
  let withdrawals = 0
  let isReserved = false

  function withdraw (): boolean {
    if (!budget.tryWithdraw()) return false
    withdrawals++
    return true
  }

  return {
    record (reach) { reaches.push(reach) },
    reserveRepeat (query) {
      isReserved ||= repeatTerms({ ...query, reaches: [...reaches, AttemptReach.possible], maximumAttempts }) === 'paid' && withdraw()
      return isReserved
    },
    tryRepeat (query) {
      if (isReserved) {
        isReserved = false
        return 'paid'
      }
      const terms = repeatTerms({ ...query, reaches, maximumAttempts })
      if (terms === 'refused') return null
      if (terms === 'free') return terms
      return withdraw() ? terms : null
    },
    withdrawals: () => withdrawals
  }
}
