/**
 * A member's promises to leaders. A promise is kept on the member's own
 * monotonic clock; a restarted member has forgotten its promises, so it makes
 * none to a new leader before the longest of them must have ended.
 *
 * A leader whose epoch is lower than that of a candidate that never won is
 * followed again once the promise to the candidate has ended: had the candidate
 * won, the leader's authority would have ended for good.
 */
import { CellTiming } from './timing.ts'

/** The promise in force, or the last one. */
export interface LeaderPromise {
  readonly epoch: number
  readonly host: string
  /** End of the promise on the member's clock, in milliseconds. */
  readonly until: number
}

/** Ledger of one member. */
export interface PromiseTracker {
  /** Returns the newest promise; epoch 0 where none was made. */
  current (): LeaderPromise
  /** Returns the highest epoch that was ever followed or promised. */
  highestEpoch (): number
  /** Follows a leader whose ping has arrived; returns whether the ping also renews a promise. */
  recordPing (epoch: number, host: string, now: number): 'ignored' | 'followed' | 'promised'
  /** Whether a candidate may have the promise now. */
  mayPromise (epoch: number, host: string, now: number): boolean
  /** Records a promise that was found permissible. */
  recordPromise (epoch: number, host: string, now: number): void
}

/**
 * Creates the ledger of a member that starts now.
 *
 * @param startedAt Start of the process on its monotonic clock, in milliseconds.
 * @returns An empty ledger.
 * @example
 * ```ts
 * const ledger = createPromiseLedger(0)
 * ledger.mayPromise(16, '127.0.0.1:7100', 2000)
 * ```
 */
export function createPromiseTracker (startedAt: number): PromiseTracker {
  let latest: LeaderPromise = { epoch: 0, host: '', until: startedAt + CellTiming.PROMISE_DURATION_MS }
  let highest = { epoch: 0, host: '' }

  function isFree (host: string, now: number): boolean {
    return now >= latest.until || latest.host === host
  }

  function promise (epoch: number, host: string, now: number): void {
    latest = { epoch, host, until: now + CellTiming.PROMISE_DURATION_MS }
    if (epoch > highest.epoch) highest = { epoch, host }
  }

  return {
    current: () => latest,
    highestEpoch: () => highest.epoch,
    recordPing (epoch, host, now) {
      if (!isFree(host, now)) return epoch < latest.epoch ? 'ignored' : 'followed'
      promise(epoch, host, now)
      return 'promised'
    },
    mayPromise (epoch, host, now) {
      if (epoch < highest.epoch || (epoch === highest.epoch && host !== highest.host)) return false
      return isFree(host, now)
    },
    recordPromise: promise
  }
}
