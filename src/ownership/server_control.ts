/** Port for granting key ranges to backend servers and releasing them. */
import type { RoutedServer } from '../routing/mod.ts'

/** Keys to grant or release; both bounds are inclusive. */
export interface KeySpan {
  readonly from: number
  readonly to: number
  /** Fencing token; a server refuses grants with a token below the highest that it has seen for a key. */
  readonly token: number
}

/** A grant of keys to a server. */
export interface GrantCall extends KeySpan {
  /** How long the server may serve the keys, counted from the arrival of the call, in milliseconds. */
  readonly grantDurationMs: number
  /** Handover data that the previous holder left for the next one; `null` if there is none. */
  readonly handover: string | null
}

/** Outcome of a call. */
export type ControlOutcome =
  /** The call succeeded; `handover` is set if a release returned handover data. */
  | { readonly kind: 'done', readonly handover: string | null }
  /** The server has seen a higher fencing token. */
  | { readonly kind: 'superseded' }
  /** Another server responds at the address, so the intended server has ended. */
  | { readonly kind: 'replaced' }
  /** The connection was refused; nothing was sent. */
  | { readonly kind: 'refused' }
  /** No usable response; the call may still be carried out later. */
  | { readonly kind: 'silent', readonly detail: string }

/** Calls to a backend server that grant and release keys. */
export interface ServerControl {
  grant (server: RoutedServer, call: GrantCall): Promise<ControlOutcome>
  /** Releases keys; the server responds when its work on them has ended. */
  release (server: RoutedServer, span: KeySpan): Promise<ControlOutcome>
  /** Probes a server by releasing keys that it does not hold, so that the response does not wait for work to end. */
  probe (server: RoutedServer, span: KeySpan): Promise<ControlOutcome>
}
