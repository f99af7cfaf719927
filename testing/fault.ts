/** Faults that a simulated cluster can inject. */

/** A fault or recovery; one that cannot be applied is ignored. */
export type Fault =
  | { readonly kind: 'kill', readonly host: number }
  | { readonly kind: 'restart', readonly host: number }
  | { readonly kind: 'pause', readonly host: number, readonly lengthMs: number }
  /** Cuts the network between `hosts` and `others`, and between `others` and `servers`; an empty `others` means every other host. */
  | { readonly kind: 'cut', readonly hosts: readonly number[], readonly others: readonly number[], readonly servers: readonly number[], readonly lengthMs: number }
  | { readonly kind: 'platform-down', readonly hosts: readonly number[], readonly lengthMs: number }
  | { readonly kind: 'lose-answers', readonly count: number }
  | { readonly kind: 'slow-network', readonly lengthMs: number }
  | { readonly kind: 'freeze-server', readonly server: number, readonly lengthMs: number }
  | { readonly kind: 'kill-server', readonly server: number }
  | { readonly kind: 'restart-server', readonly server: number }
  | { readonly kind: 'cut-server', readonly server: number, readonly hosts: readonly number[], readonly lengthMs: number }
  | { readonly kind: 'drain', readonly server: number }
  /** Kills every host and restarts them all after `lengthMs`. */
  | { readonly kind: 'power-cut', readonly lengthMs: number }

/** A fault and the delay before it, in milliseconds. */
export interface Step {
  readonly afterMs: number
  readonly fault: Fault
}
