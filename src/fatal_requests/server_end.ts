/** The unexpected end of a run of a backend server, and the requests that were lost with it. */

/** A request that was lost when its server ended. */
export interface LostRequest {
  readonly fingerprint: string
  /** When it was sent to the server; monotonic time in milliseconds. */
  readonly sentAt: number
}

/** The end of one run of a server. */
export interface ServerEnd {
  readonly server: string
  /** Start of the run, as the server states it. */
  readonly bornAt: number
  /** When its connections were lost; monotonic time in milliseconds. */
  readonly endedAt: number
  readonly requests: readonly LostRequest[]
}
