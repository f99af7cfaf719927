/**
 * Decides what follows an attempt: its response is forwarded, the request is
 * sent again, or the router responds itself.
 *
 * A request is sent again only if it has certainly not run or is idempotent.
 * The ledger of the request decides whether that is allowed and who pays.
 */
import type { RepeatPayment } from './attempt_ledger.ts'
import type { BackendResponse } from './forward_response.ts'
import type { AttemptOutcome } from './send_attempt.ts'

/** An attempt that has ended, and what its continuation depends on. */
export interface AttemptSituation {
  readonly outcome: AttemptOutcome
  readonly isIdempotent: boolean
  /** Whether the request has a key that only one server may serve. */
  readonly isKeyed: boolean
  /** Whether the body can be sent again. */
  readonly isReplayable: boolean
  /** Whether a server may have ended under the request. */
  readonly isSuspect: boolean
  /** Whether the server is known to be full. */
  readonly isServerFull: boolean
  /** Whether the time for the request has ended, or its caller has left. */
  readonly isAborted: boolean
  /** Whether a server may have run the request in this attempt or an earlier one. */
  readonly mayHaveRun: boolean
  /** Asks for another attempt and pays for it; returns `null` if it must not be made. */
  readonly tryRepeat: () => RepeatPayment | null
}

/** What follows an attempt. */
export type NextStep =
  | { readonly kind: 'answer', readonly outcome: BackendResponse }
  | { readonly kind: 'retry', readonly payment: RepeatPayment }
  /** The time for the request has ended. */
  | { readonly kind: 'timed-out' }
  /** A server may have run the request, and there is no response to forward. */
  | { readonly kind: 'fail', readonly reason: 'outcome-unknown', readonly status: 502 }
  /** The router refuses the request; `roomAfterMs` is the time after which the server has room, in milliseconds, if that is known. */
  | { readonly kind: 'refuse', readonly reason: NextRefusal, readonly roomAfterMs?: number }

/** Why a request is refused after an attempt. */
export type NextRefusal = 'ends-servers' | 'server-unreachable' | 'owner-changed' | 'over-limit' | 'server-full'

/**
 * Decides what follows an attempt.
 *
 * @param attempt The attempt and its request.
 * @returns The next step.
 */
export function decideNext (attempt: AttemptSituation): NextStep {
  const { outcome, isIdempotent, isKeyed } = attempt
  const isRepeatable = attempt.isReplayable && !attempt.isSuspect
  if (outcome.kind === 'stream') return { kind: 'answer', outcome }
  if (outcome.kind === 'answer') {
    const payment = outcome.status >= 500 && isIdempotent && isRepeatable ? attempt.tryRepeat() : null
    return payment === null ? { kind: 'answer', outcome } : { kind: 'retry', payment }
  }
  if (outcome.kind === 'not-admitted' && outcome.isFatal === true) return { kind: 'refuse', reason: 'ends-servers', roomAfterMs: outcome.roomAfterMs }
  if (attempt.isAborted) return { kind: 'timed-out' }
  const roomAfterMs = outcome.kind === 'not-admitted' || outcome.kind === 'not-run' ? outcome.roomAfterMs : undefined
  const isMisdirected = outcome.kind === 'not-run' && outcome.misdirected
  // The only owner of a key stays full for a moment if it is full: the caller retries later.
  const isOwnerFull = isKeyed && !isMisdirected && outcome.kind !== 'unsent' && (roomAfterMs !== undefined || attempt.isServerFull)
  const hasCertainlyNotRun = outcome.kind !== 'lost'
  // The budget is asked last, so that nothing is spent on a request that is not sent again.
  const payment = isRepeatable && !isOwnerFull && (hasCertainlyNotRun || isIdempotent) ? attempt.tryRepeat() : null
  if (payment !== null) return { kind: 'retry', payment }
  if (attempt.mayHaveRun && (outcome.kind === 'lost' || !isIdempotent)) return { kind: 'fail', reason: 'outcome-unknown', status: 502 }
  if (outcome.kind === 'unsent' || outcome.kind === 'lost') return { kind: 'refuse', reason: 'server-unreachable' }
  if (isMisdirected) return { kind: 'refuse', reason: 'owner-changed' }
  return { kind: 'refuse', reason: outcome.kind === 'not-admitted' && outcome.isOverLimit === true ? 'over-limit' : 'server-full', ...(roomAfterMs === undefined ? {} : { roomAfterMs }) }
}
