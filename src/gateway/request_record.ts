/** Records of requests for logs and metrics. */
import type { AttemptRecord } from './attempt_record.ts'
import type { ResponseBodyRecord } from './response_body_record.ts'

/** Result of one request. */
export interface RequestRecord {
  readonly id: string
  readonly route: string
  readonly service: string
  readonly key: number | null
  /** Status that was sent to the caller; 0 if the caller had left. */
  readonly status: number
  /** Why the router created the response; `served` if the response is the server's. */
  readonly reason: string
  readonly durationMs: number
  /** Time for which the request waited on this host for a slot of a server, in milliseconds; absent if it did not. */
  readonly waitedMs?: number
  readonly attempts: readonly AttemptRecord[]
  /** Body of the server's response; absent if there was none to pass on. */
  readonly responseBody?: ResponseBodyRecord
  readonly retryAfterMs?: number
  /** Whether the connection of the caller was still open when the request ended. */
  readonly isCallerConnected: boolean
  /** Whether this is probably the caller's first attempt and not one after a refusal; absent for relayed requests. */
  readonly isFirstAttempt?: boolean
  /** Fingerprint of the content of a request that was lost, `null` if it is not known; absent for other requests. */
  readonly fingerprint?: string | null
  /** Whether this host relayed the request for another host. */
  readonly isRelayed?: boolean
}
