/** A request on its way through the gateway. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Route } from '../routing/mod.ts'
import type { AttemptRecord } from './request_record.ts'
import type { BackendResponse } from './forward_response.ts'

/** State of one request. */
export interface Exchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly id: string
  readonly route: Route
  readonly service: string
  readonly key: number | null
  readonly startedAt: number
  /** When the caller or the route gives up. */
  readonly deadlineAt: number
  readonly abort: AbortController
  readonly attempts: AttemptRecord[]
  readonly triedServers: Set<string>
  body: Buffer | IncomingMessage | null
  /** Whether a server may have run the request. */
  mayHaveRun: boolean
  /** Whether no relay is to be used any more. */
  bypassesRelays: boolean
}

/** What to do after an offer. */
export type AttemptDecision =
  | { readonly kind: 'answer', readonly outcome: BackendResponse }
  | { readonly kind: 'again' }
  | { readonly kind: 'refuse', readonly reason: string, readonly retryAfterMs: number }
  | { readonly kind: 'fail', readonly reason: string, readonly status: 502 | 504 }
