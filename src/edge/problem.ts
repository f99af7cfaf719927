/** Problem responses for requests without a complete response of a backend server. */
import { NotRunReason, UnknownReason, type DispatchNotRun, type DispatchUnknown } from '../dispatch/mod.ts'

/** A response of type `application/problem+json`. */
export interface Problem {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

/** Value of the Retry-After header, in seconds. */
const RETRY_AFTER_SECONDS = 1

const NOT_RUN_STATUS: Readonly<Partial<Record<NotRunReason, number>>> = {
  [NotRunReason.noService]: 404,
  [NotRunReason.noKey]: 400,
  [NotRunReason.idempotencyKeyMissing]: 400,
  [NotRunReason.bodyTooLarge]: 413,
  [NotRunReason.suspectedCrash]: 403,
  [NotRunReason.deadline]: 504
}

const NOT_RUN_TITLE: Readonly<Record<NotRunReason, string>> = {
  [NotRunReason.noService]: 'No service matches the host and path',
  [NotRunReason.noKey]: 'The request names no key',
  [NotRunReason.idempotencyKeyMissing]: 'The request needs an Idempotency-Key',
  [NotRunReason.bodyTooLarge]: 'The body is larger than the limit',
  [NotRunReason.overloaded]: 'The wait would outlast the deadline',
  [NotRunReason.deadline]: 'The deadline passed before the request was sent to a server',
  [NotRunReason.wrongDispatcher]: 'The slice was moving between hosts',
  [NotRunReason.noDispatcher]: 'No host dispatches for the slice at present',
  [NotRunReason.serverRefused]: 'The backend server refused the request before it began',
  [NotRunReason.serverUnreachable]: 'The backend server could not be connected to',
  [NotRunReason.peerUnreachable]: 'The entry host that dispatches for the slice could not be connected to',
  [NotRunReason.claimUnavailable]: 'The idempotency key could not be claimed at the platform',
  [NotRunReason.suspectedCrash]: 'The request was in flight when two backend servers crashed',
  [NotRunReason.shuttingDown]: 'The entry host is shutting down',
  [NotRunReason.callerGone]: 'The caller went away before the request was sent to a server'
}

const UNKNOWN_TITLE: Readonly<Record<UnknownReason, string>> = {
  [UnknownReason.connectionLost]: 'The connection to the backend server was lost after the request was sent',
  [UnknownReason.deadline]: 'The deadline passed after the request was sent',
  [UnknownReason.crossedAnswer]: "The answer bore another request's identifier",
  [UnknownReason.malformedAnswer]: 'The answer had no length by which its end could be told',
  [UnknownReason.callerGone]: 'The caller went away after the request was sent',
  [UnknownReason.alreadyClaimed]: 'An earlier request with this Idempotency-Key was begun, and its end is not known',
  [UnknownReason.alreadyRun]: 'An earlier request with this Idempotency-Key was run to its end',
  [UnknownReason.peerLost]: 'The connection to the entry host that dispatches for the slice was lost after the request was sent'
}

/**
 * Creates the problem response for an outcome without a server's response.
 *
 * @param outcome The outcome.
 * @param requestId Identifier of the request.
 * @returns Status, headers and body.
 * @example
 * ```ts
 * describeProblem({ kind: 'not-run', reason: 'no-key' }, 'r-1').status // 400
 * ```
 */
export function describeProblem (outcome: DispatchNotRun | DispatchUnknown, requestId: string): Problem {
  const headers: Record<string, string> = { 'content-type': 'application/problem+json', 'cache-control': 'no-store' }
  const status = statusOf(outcome)
  const title = outcome.kind === 'not-run' ? NOT_RUN_TITLE[outcome.reason] : UNKNOWN_TITLE[outcome.reason]
  if (outcome.kind === 'not-run' && status >= 500) headers['retry-after'] = String(RETRY_AFTER_SECONDS)
  const body = JSON.stringify({ type: `urn:gooseberryfold:${outcome.reason}`, title, status, outcome: outcome.kind, reason: outcome.reason, requestId })
  return { status, headers, body }
}

function statusOf (outcome: DispatchNotRun | DispatchUnknown): number {
  if (outcome.kind === 'not-run') return NOT_RUN_STATUS[outcome.reason] ?? 503
  if (outcome.reason === UnknownReason.alreadyClaimed || outcome.reason === UnknownReason.alreadyRun) return 409
  return outcome.reason === UnknownReason.deadline ? 504 : 502
}
