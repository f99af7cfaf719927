/** The platform's list of live and leaving hosts. It lags, but never lists a live host as gone. */
import type { Result } from './result.ts'

/** States that the platform gives to a host. */
export const HostState = { live: 'live', leaving: 'leaving' } as const
/** One of the values of {@link HostState}. */
export type HostState = typeof HostState[keyof typeof HostState]

/** A backend server as the platform lists it. */
export interface ListedServer {
  readonly id: string
  readonly service: string
  readonly address: string
  readonly zone: string
  readonly state: HostState
}

/** An entry host as the platform lists it. */
export interface ListedHost {
  readonly host: string
  readonly zone: string
  readonly state: HostState
}

/** The whole list. */
export interface HostListing {
  readonly hosts: readonly ListedHost[]
  readonly servers: readonly ListedServer[]
}

/** Why the list could not be read. */
export interface HostListError { readonly kind: 'unavailable', readonly detail: string }

/** Port of the host list. */
export interface HostList {
  /** Reads the whole list. */
  list (): Promise<Result<HostListing, HostListError>>
}
