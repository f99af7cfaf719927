/** Grant messages between a dispatcher and a backend server. */

/** A grant as a dispatcher sends it to a server that checks grants. */
export interface GrantRequest {
  /** Fencing token; a server refuses one lower than the highest it has seen. */
  readonly token: number
  /** Slices that the server may serve until the grant ends; omitted in a renewal, which does not change them. */
  readonly slices?: readonly number[]
  /** Incarnation of the server that reported `basis`; empty in the first message. */
  readonly boot: string
  /** The server's monotonic time, in milliseconds, as reported in its previous answer. */
  readonly basis: number
  /** Length of the grant in milliseconds, counted from `basis`. */
  readonly duration: number
}

/** Answer of a server that accepted a grant. */
export interface GrantResponse {
  /** Identifier of the incarnation of the server process. */
  readonly boot: string
  /** The server's monotonic time in milliseconds. */
  readonly now: number
}

/** Outcome of a grant or a probe. */
export type GrantOutcome =
  | { readonly kind: 'answered', readonly answer: GrantResponse }
  | { readonly kind: 'superseded' }
  | { readonly kind: 'connection-refused' }
  | { readonly kind: 'no-answer' }

/** A grant or a probe to send. A probe goes to a server that does not check grants; any answer to it counts. */
export interface GrantAction {
  readonly server: string
  readonly address: string
  readonly checksGrants: boolean
  readonly request: GrantRequest
  readonly sentAt: number
}
