/** Names of the headers that the router reads and sets; platform adapters define their values. */

/** Header names in lower case. */
export interface HeaderNames {
  /** Identifies one attempt of a caller; echoed by servers. */
  readonly attemptId: string
  /** Milliseconds until the timeout of the caller or of the router. */
  readonly deadlineMs: string
  /** Identifier of the only server that may run the request. */
  readonly targetServer: string
  /** Key of the request. */
  readonly key: string
  /** Set on responses to requests that were not run. */
  readonly notRun: string
  /** Set on responses that a server created. */
  readonly signature: string
  /** Identifier of the server that responded. */
  readonly respondingServer: string
  /** Set to `1` on every response of a server that is leaving. */
  readonly leaving: string
  /** Requests per second that a server takes from all hosts together; set on responses for as long as that holds. */
  readonly requestLimit: string
  /** Load of a server, as `parseServerStatement()` reads it; set by servers of some services. */
  readonly load: string
}
