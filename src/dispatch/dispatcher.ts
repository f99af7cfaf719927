/** A dispatcher: what it offers, what it works with and what it tells about its work. */
import type { ServiceConfiguration } from '../configuration/mod.ts'
import type { BackendClient } from './backend_client.ts'
import type { ClaimStore } from './claim_store.ts'
import type { DispatchOutcome, DispatchRequest } from './dispatch_types.ts'
import type { GrantManager } from './grant_manager.ts'
import type { Suspect, SuspectRegistry } from './suspect_registry.ts'

/** Where a slice or a service without keys is dispatched. */
export type Placement =
  | { readonly kind: 'here' }
  | { readonly kind: 'elsewhere', readonly dispatcher: string }
  | { readonly kind: 'unknown' }

/** What a dispatcher works with. */
export interface DispatcherOptions {
  readonly host: string
  readonly grantManager: GrantManager
  readonly client: BackendClient
  readonly claims: ClaimStore
  readonly service: (name: string) => ServiceConfiguration | undefined
  readonly placement: (service: string, slice: number | null) => Placement
  /** Tells the other hosts of suspects; resolves when they know, or after its own time limit. */
  readonly publishSuspects: (suspects: readonly Suspect[]) => Promise<void>
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  readonly onEvent?: (event: DispatchEvent) => void
}

/** Something that an operator would want to count or read. */
export type DispatchEvent =
  | { readonly kind: 'sent', readonly service: string, readonly server: string, readonly waitMs: number }
  | { readonly kind: 'ended', readonly service: string, readonly server: string, readonly outcome: string, readonly durationMs: number }
  | { readonly kind: 'retried', readonly service: string, readonly reason: string }
  | { readonly kind: 'crash', readonly server: string, readonly suspects: number }

/** The dispatcher of one host. */
export interface Dispatcher {
  dispatch (request: DispatchRequest): Promise<DispatchOutcome>
  /** Starts what can start; to be called after views, grants and time have moved. */
  processQueue (): void
  readonly suspects: SuspectRegistry
  /** Requests of each slice since the last call, by service. */
  takeLoads (): Record<string, Record<string, number>>
  queued (): number
  inFlight (): number
}
