/** Port of the platform's list of live and leaving hosts. The list may be outdated, but never omits a live host. */
import type { Result } from './result.ts'

/** States of a host in the platform's list. */
export const HostState = { live: 'live', leaving: 'leaving' } as const
/** One of the values of {@link HostState}. */
export type HostState = typeof HostState[keyof typeof HostState]

/** A backend server in the platform's list. */
export interface ListedServer {
  readonly id: string
  readonly service: string
  readonly address: string
  readonly zone: string
  readonly state: HostState
}

/** An entry host in the platform's list. */
export interface ListedHost {
  readonly host: string
  readonly zone: string
  readonly state: HostState
}

/** The complete list of hosts and servers. */
export interface HostListing {
  readonly hosts: readonly ListedHost[]
  readonly servers: readonly ListedServer[]
}

/** Error of a failed read of the list. */
export interface HostListError { readonly kind: 'unavailable', readonly detail: string }

/** Port of the host list. */
export interface HostList {
  /** Reads the complete list. */
  list (): Promise<Result<HostListing, HostListError>>
}
