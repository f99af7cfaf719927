/** Types of routes, services and backend servers, independent of the platform. */

/** Whether a request may run more than once. */
export const RequestKind = { idempotent: 'idempotent', once: 'once' } as const
/** Value of {@link RequestKind}. */
export type RequestKind = typeof RequestKind[keyof typeof RequestKind]

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: string
  /** Share of the route's requests, relative to the other targets of the route. */
  readonly weight: number
}

/** A rule that assigns requests to services. */
export interface Route {
  readonly name: string
  /** Value of the `Host` header, in lower case and without a port. */
  readonly host: string
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string
  readonly kind: RequestKind
  /** Latency up to which a response has its full value, in milliseconds. */
  readonly latencyGoalMs: number
  /** Maximum time until the caller receives a response, in milliseconds. */
  readonly timeoutMs: number
  /** Maximum number of backend servers that one request may be sent to. */
  readonly maximumAttempts: number
  /** Priority of the route; 0 is the highest. */
  readonly priority: number
  readonly targets: readonly RouteTarget[]
}

/** How the servers of a service warm up. */
export interface ServiceWarmUp {
  /** Time for which a server is cold after its start, in milliseconds. */
  readonly durationMs: number
  /** Requests per second that a cold server receives from all hosts together; above 0. */
  readonly requestsPerSecond: number
}

/** Configuration of a service. */
export interface RoutedService {
  readonly name: string
  /** Whether a server serves only the keys that it has been granted. */
  readonly keyed: boolean
  /** Maximum connections that one server accepts from all hosts together. */
  readonly maximumConnections: number
  /** Time for which requests for keys granted without a handover are slow, in milliseconds. */
  readonly coldKeyMs: number
  /** Warm-up of its servers; absent if they take any rate from their start. */
  readonly warmUp?: ServiceWarmUp
}

/** Limits on the size and duration of requests. */
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

/** A backend server that can receive requests. */
export interface RoutedServer {
  readonly id: string
  /** Start time of the server's process, in Unix milliseconds; 0 if unknown. */
  readonly bornAt: number
  readonly service: string
  readonly address: string
  readonly zone: string
  /** Requests that it can run concurrently. */
  readonly slots: number
  /** Whether it is about to leave and accepts no new requests. */
  readonly leaving: boolean
  /** Remaining time for which it is slow after its start, in milliseconds, counted from when the list was read. */
  readonly warmUpLeftMs: number
}

/** Size of the key space: keys are integers from 0 to `KEY_SPACE - 1`. */
export const KEY_SPACE = 65_536
