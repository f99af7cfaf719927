/** Names of the headers that the router reads and sets; adapters say what they are on the wire. */

/** Names in lower case. */
export interface HeaderNames {
  /** Identifies one attempt of a caller; echoed by servers. */
  readonly attemptId: string
  /** Milliseconds that the caller, or the router, will wait. */
  readonly deadlineMs: string
  /** Identifier of the only server that may run the request. */
  readonly targetServer: string
  /** Key of the request. */
  readonly key: string
  /** Borne by answers to requests that were not run. */
  readonly notRun: string
  /** Borne by answers that a server made. */
  readonly signature: string
  /** Identifier of the server that answered. */
  readonly answeringServer: string
}
