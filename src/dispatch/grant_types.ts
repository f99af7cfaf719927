/** Messages between a dispatcher and a backend server about grants. */

/** A grant as a dispatcher sends it to a server that checks grants. */
export interface GrantRequest {
  /** Fencing token; a server refuses one lower than the highest it has seen. */
  readonly token: number
  /** Slices that the server may serve until the grant ends; absent in a renewal, which leaves them as they are. */
  readonly slices?: readonly number[]
  /** Life of the server that `basis` belongs to; empty in the first message. */
  readonly boot: string
  /** The server's own monotonic time, in milliseconds, from its previous answer. */
  readonly basis: number
  /** Length of the grant in milliseconds, counted from `basis`. */
  readonly duration: number
}

/** Answer of a server that took a grant. */
export interface GrantAnswer {
  /** Identifier of this life of the server process. */
  readonly boot: string
  /** The server's monotonic time in milliseconds. */
  readonly now: number
}

/** How a grant or a probe ended. */
export type GrantOutcome =
  | { readonly kind: 'answered', readonly answer: GrantAnswer }
  | { readonly kind: 'superseded' }
  | { readonly kind: 'connection-refused' }
  | { readonly kind: 'no-answer' }

/** What a grant keeper wants sent. A probe is a grant to a server that does not check; any answer to it will do. */
export interface GrantAction {
  readonly server: string
  readonly address: string
  readonly checksGrants: boolean
  readonly request: GrantRequest
  readonly sentAt: number
}
