/** The unexpected end of a run of a backend server, and the requests that were lost with it. */

/** A request that was lost when its server ended. */
export interface LostRequest {
  readonly fingerprint: string
  /** When it was sent to the server; monotonic time in milliseconds. */
  readonly sentAt: number
}

/** Time after the end of a server within which requests to it are lost with it, in milliseconds: by then every host has lost its connections. Requests that were sent later show that it had not ended. */
export const SAME_END_MS = 1000

/** The end of one run of a server. */
export interface ServerEnd {
  readonly server: string
  /** Start of the run, as the server states it. */
  readonly bornAt: number
  /** When its connections were lost; monotonic time in milliseconds. */
  readonly endedAt: number
  readonly requests: readonly LostRequest[]
}
