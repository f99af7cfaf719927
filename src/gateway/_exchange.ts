/** State of a request that the gateway is handling, and the decision after each attempt. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { FingerprintSource } from '../fatal_requests/mod.ts'
import type { Route } from '../routing/mod.ts'
import type { AttemptLedger, RepeatPayment } from './attempt_ledger.ts'
import type { RequestBody } from './body_reader.ts'
import type { AttemptRecord } from './attempt_record.ts'
import type { BackendResponse } from './forward_response.ts'
import type { ResponseBodyRecord } from './response_body_record.ts'
import type { ResponseAccount } from './response_memory.ts'

/** State of one request. */
export interface Exchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly id: string
  readonly route: Route
  readonly service: string
  readonly key: number | null
  readonly startedAt: number
  /** When the timeout of the caller or of the route expires, whichever is earlier; monotonic time in milliseconds. */
  readonly deadlineAt: number
  /** When the timeout of the caller expires; monotonic time in milliseconds. */
  readonly callerDeadlineAt: number
  /** Estimated time from the caller's first attempt to this one, in milliseconds. */
  readonly elapsedMs: number
  readonly abort: AbortController
  readonly attempts: AttemptRecord[]
  /** Decides whether the request may be sent again, and pays for it. */
  readonly ledger: AttemptLedger
  /** Body of the server's response, once it has ended; absent if there was none to pass on. */
  responseBody?: ResponseBodyRecord
  /** What this host keeps of the response. */
  readonly memory: ResponseAccount
  readonly triedServers: Set<string>
  /** Fingerprint of the request; called only after its body has been read. */
  readonly fingerprint: FingerprintSource
  body: RequestBody
  /** Whether a server may have run the request. */
  mayHaveRun: boolean
  /** Whether the caller has closed its connection. */
  hasCallerLeft: boolean
  /** Relays that did not forward the request. */
  readonly triedRelays: Set<string>
  /** Whether the request could not be sent directly because this host reaches no server. */
  triedDirectly: boolean
}

/** What to do after an attempt. */
export type AttemptDecision =
  | { readonly kind: 'answer', readonly outcome: BackendResponse }
  /** Another attempt, with what has paid for it. */
  | { readonly kind: 'retry', readonly payment: RepeatPayment }
  /** No attempt has been made since the last decision; a server is to be chosen. */
  | { readonly kind: 'choose-again' }
  | { readonly kind: 'refuse', readonly reason: string, readonly retryAfterMs: number }
  | { readonly kind: 'fail', readonly reason: string, readonly status: 502 | 504 }

/** Retry delay for callers when the time until recovery is unknown, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MS = 300

/** Decides what to do when the time for a request has ended. */
export function decideOnTimeout (exchange: Exchange): AttemptDecision {
  if (exchange.mayHaveRun) return { kind: 'fail', reason: 'timed-out', status: 504 }
  return { kind: 'refuse', reason: 'timed-out-unsent', retryAfterMs: DEFAULT_RETRY_AFTER_MS }
}
