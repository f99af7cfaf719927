/** Load of the servers of one service in one availability zone, as published by the leading host. */

/** Load of one zone; unresponsive servers are left out unless all of them are. */
export interface ZoneLoad {
  readonly zone: string
  /** Number of servers. */
  readonly servers: number
  /** Requests that the servers can run concurrently. */
  readonly slots: number
  /** Requests at the servers. */
  readonly inFlight: number
  /** Requests that wait to be sent to the servers. */
  readonly waiting: number
  /** Mean duration of a request while the servers are idle, in milliseconds. */
  readonly workMs: number
  /** Whether no server of the zone responds. */
  readonly isUnresponsive: boolean
}
