/** What the router needs to know of services, routes and backend servers, in the project's own words. */

/** Whether a request may run more than once. */
export const RequestKind = { idempotent: 'idempotent', once: 'once' } as const
/** One of the values of {@link RequestKind}. */
export type RequestKind = typeof RequestKind[keyof typeof RequestKind]

/** A service that takes a share of a route's requests. */
export interface RouteTarget {
  readonly service: string
  /** Share of the route's requests, relative to the other targets of the route. */
  readonly weight: number
}

/** One rule for requests. */
export interface Route {
  readonly name: string
  /** Value of the `Host` header, in lower case and without a port. */
  readonly host: string
  /** Start of the paths; begins and ends with a slash. */
  readonly prefix: string
  readonly kind: RequestKind
  /** Time within which an answer earns its full worth, in milliseconds. */
  readonly latencyGoalMs: number
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number
  /** Most backend servers that one request may be sent to. */
  readonly maximumAttempts: number
  /** Rank of the route; 0 goes first. */
  readonly priority: number
  readonly targets: readonly RouteTarget[]
}

/** A service as the operators configure it. */
export interface RoutedService {
  readonly name: string
  /** Whether a server serves only the keys that it has been granted. */
  readonly keyed: boolean
  /** Connections that one server accepts from all hosts together. */
  readonly maximumConnections: number
  /** How long keys that arrive without their handover are slow, in milliseconds. */
  readonly coldKeyMs: number
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One version of the configuration, complete. */
export interface RoutingConfiguration {
  readonly version: number
  readonly limits: CallerLimits
  readonly routes: readonly Route[]
  readonly services: readonly RoutedService[]
}

/** A backend server that may be sent requests. */
export interface RoutedServer {
  readonly id: string
  /** When this run of the server began, in Unix milliseconds; 0 where it is unknown. */
  readonly bornAt: number
  readonly service: string
  readonly address: string
  readonly zone: string
  /** Requests that it runs at the same time. */
  readonly slots: number
  /** Whether it is about to leave and takes no new work. */
  readonly leaving: boolean
  /** How much longer it stays slow after its start, in milliseconds, when the list was read. */
  readonly warmUpLeftMs: number
}

/** Size of the space of keys: keys are whole numbers from 0 to `KEY_SPACE - 1`. */
export const KEY_SPACE = 65_536
