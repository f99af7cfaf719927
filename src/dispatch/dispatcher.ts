/** Interface, options and events of a dispatcher. */
import type { ServiceConfiguration } from '../configuration/mod.ts'
import type { BackendClient } from './backend_client.ts'
import type { ClaimStore } from './claim_store.ts'
import type { DispatchOutcome, DispatchRequest } from './dispatch_types.ts'
import type { GrantManager } from './grant_manager.ts'
import type { Suspect, SuspectRegistry } from './suspect_registry.ts'

/** Which host dispatches for a slice or for a service without keys. */
export type Placement =
  | { readonly kind: 'here' }
  | { readonly kind: 'elsewhere', readonly dispatcher: string }
  | { readonly kind: 'unknown' }

/** Options of {@link createDispatcher}. */
export interface DispatcherOptions {
  readonly host: string
  readonly grantManager: GrantManager
  readonly client: BackendClient
  readonly claims: ClaimStore
  readonly service: (name: string) => ServiceConfiguration | undefined
  readonly placement: (service: string, slice: number | null) => Placement
  /** Sends suspects to the other hosts; resolves once they have received them, or after its own time limit. */
  readonly publishSuspects: (suspects: readonly Suspect[]) => Promise<void>
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  readonly onEvent?: (event: DispatchEvent) => void
}

/** An event for metrics and logs. */
export type DispatchEvent =
  | { readonly kind: 'sent', readonly service: string, readonly server: string, readonly waitMs: number }
  | { readonly kind: 'ended', readonly service: string, readonly server: string, readonly outcome: string, readonly durationMs: number }
  | { readonly kind: 'retried', readonly service: string, readonly reason: string }
  | { readonly kind: 'crash', readonly server: string, readonly suspects: number }

/** The dispatcher of one host. */
export interface Dispatcher {
  dispatch (request: DispatchRequest): Promise<DispatchOutcome>
  /** Starts queued requests that can be sent now; call it after views or grants change, and periodically. */
  processQueue (): void
  readonly suspects: SuspectRegistry
  /** Returns the number of requests of each slice since the last call, by service. */
  takeLoads (): Record<string, Record<string, number>>
  queued (): number
  inFlight (): number
}
