/**
 * A member's promises to follow a leader. They expire by the member's own
 * monotonic clock. A restarted member has lost its promises, so it makes none
 * until any promise from before the restart must have expired.
 *
 * After a promise to a candidate expires, the member may again follow a leader
 * with a lower epoch. That leader is still active only if the candidate lost: if
 * the candidate had won, the leader's authority would have ended permanently.
 */
import { CellTiming } from './timing.ts'

/** The active promise, or the last one that expired. */
export interface LeaderPromise {
  readonly epoch: number
  readonly host: string
  /** End of the promise, in milliseconds of the member's monotonic clock. */
  readonly until: number
}

/** Promises of one member. */
export interface PromiseTracker {
  /** Returns the newest promise; its epoch is 0 before the first. */
  current (): LeaderPromise
  /** Returns the highest epoch for which a promise was made. */
  highestEpoch (): number
  /** Processes a leader's ping; returns whether it is ignored, accepted or also renews the promise. */
  recordPing (epoch: number, host: string, now: number): 'ignored' | 'followed' | 'promised'
  /** Whether the member may now make a promise to a candidate. */
  mayPromise (epoch: number, host: string, now: number): boolean
  /** Records a promise; the caller has checked {@link mayPromise}. */
  recordPromise (epoch: number, host: string, now: number): void
}

/**
 * Creates the promise tracker of a member that has just started.
 *
 * @param startedAt Start of the process on its monotonic clock, in milliseconds.
 * @returns The tracker; it allows no promise until one promise duration has passed.
 * @example
 * ```ts
 * const tracker = createPromiseTracker(0)
 * tracker.mayPromise(16, '127.0.0.1:7100', 2000)
 * ```
 */
export function createPromiseTracker (startedAt: number): PromiseTracker {
  let latest: LeaderPromise = { epoch: 0, host: '', until: startedAt + CellTiming.PROMISE_DURATION_MS }
  let highest = { epoch: 0, host: '' }

  function mayFollow (host: string, now: number): boolean {
    return now >= latest.until || latest.host === host
  }

  function recordPromise (epoch: number, host: string, now: number): void {
    latest = { epoch, host, until: now + CellTiming.PROMISE_DURATION_MS }
    if (epoch > highest.epoch) highest = { epoch, host }
  }

  return {
    current: () => latest,
    highestEpoch: () => highest.epoch,
    recordPing (epoch, host, now) {
      if (!mayFollow(host, now)) return epoch < latest.epoch ? 'ignored' : 'followed'
      recordPromise(epoch, host, now)
      return 'promised'
    },
    mayPromise (epoch, host, now) {
      if (epoch < highest.epoch || (epoch === highest.epoch && host !== highest.host)) return false
      return mayFollow(host, now)
    },
    recordPromise
  }
}
