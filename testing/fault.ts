/** Faults that the fake world can be given. */

/** One fault or healing; what cannot be done is passed over. */
export type Fault =
  | { readonly kind: 'kill', readonly host: number }
  | { readonly kind: 'restart', readonly host: number }
  | { readonly kind: 'pause', readonly host: number, readonly lengthMs: number }
  /** Cuts `hosts` from `others`, and `others` from `servers`; where `others` is empty, from everyone else. */
  | { readonly kind: 'cut', readonly hosts: readonly number[], readonly others: readonly number[], readonly servers: readonly number[], readonly lengthMs: number }
  | { readonly kind: 'platform-down', readonly hosts: readonly number[], readonly lengthMs: number }
  | { readonly kind: 'lose-answers', readonly count: number }
  | { readonly kind: 'slow-network', readonly lengthMs: number }
  | { readonly kind: 'freeze-server', readonly server: number, readonly lengthMs: number }
  | { readonly kind: 'kill-server', readonly server: number }
  | { readonly kind: 'restart-server', readonly server: number }
  | { readonly kind: 'cut-server', readonly server: number, readonly hosts: readonly number[], readonly lengthMs: number }
  | { readonly kind: 'drain', readonly server: number }
  /** Kills every host and starts all of them again. */
  | { readonly kind: 'power-cut', readonly lengthMs: number }

/** A fault with the pause before it, in milliseconds. */
export interface Step {
  readonly afterMs: number
  readonly fault: Fault
}
