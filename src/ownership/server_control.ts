/** Port towards a backend server's interface for the keys that it holds. */
import type { RoutedServer } from '../routing/mod.ts'

/** Keys that are granted or taken back; both ends are inclusive. */
export interface KeySpan {
  readonly from: number
  readonly to: number
  /** Fencing token; a server refuses grants below the highest that it has seen for a key. */
  readonly token: number
}

/** A grant. */
export interface GrantCall extends KeySpan {
  /** How long the server may serve the keys from when the call arrives, in milliseconds. */
  readonly grantDurationMs: number
  /** What the last holder left for the next one; `null` where there is nothing. */
  readonly handover: string | null
}

/** How a call ended. */
export type ControlOutcome =
  /** Carried out; `handover` is set after a release that left one. */
  | { readonly kind: 'done', readonly handover: string | null }
  /** A higher fencing token has been seen. */
  | { readonly kind: 'superseded' }
  /** Another server answers at the address: the one that was meant has ended. */
  | { readonly kind: 'replaced' }
  /** The connection was refused; nothing was sent. */
  | { readonly kind: 'refused' }
  /** No answer; the call may be carried out later. */
  | { readonly kind: 'silent', readonly detail: string }

/** Port of a server's grants. */
export interface ServerControl {
  grant (server: RoutedServer, call: GrantCall): Promise<ControlOutcome>
  /** Answered when the work on the keys has ended. */
  release (server: RoutedServer, span: KeySpan): Promise<ControlOutcome>
  /** Asks for a sign of life by releasing keys that the server does not hold; answered at once. */
  probe (server: RoutedServer, span: KeySpan): Promise<ControlOutcome>
}
