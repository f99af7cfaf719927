/** Records of requests and their attempts for logs and metrics. */

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
  readonly attempts: readonly AttemptRecord[]
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

/** Result of one attempt. */
export interface AttemptRecord {
  readonly server: string
  readonly outcome: string
  /** Why there was no response. */
  readonly detail?: string
  readonly durationMs: number
  /** Known requests in flight at the server, and the expected latency when it was chosen, in milliseconds. */
  readonly inFlight: number
  readonly expectedMs: number
  /** Host that relayed the request. */
  readonly relay?: string
}
