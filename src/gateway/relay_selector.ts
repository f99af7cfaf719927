/** The ways that a request can take to its server, and header values that gateways and relays share. */
import type { RoutedServer } from '../routing/mod.ts'

/** A host that forwards requests of other hosts to some servers. */
export interface Relay {
  readonly host: string
  readonly address: string
  /**
   * Records that a request was sent through the relay. Returns a function that ends the request;
   * `responded` is whether there was any response.
   */
  trackRequest (request: string, expectedMs: number): (responded: boolean) => void
}

/** Way of a request to its server. */
export type ServerPath =
  | { readonly kind: 'direct' }
  | { readonly kind: 'relay', readonly relay: Relay }
  /** This host reaches no server, and no other host can be asked any more. */
  | { readonly kind: 'none' }

/** Properties of a request that its way depends on. */
export interface ServerPathQuery {
  /** Length of the body, in bytes. */
  readonly bodyBytes: number
  /** Whether the server has named a limit: only its relay knows what it gets from all hosts. */
  readonly isLimited: boolean
  /** Relays that did not forward the request. */
  readonly triedRelays: ReadonlySet<string>
  /** Whether the request could not be sent directly because this host reaches no server. */
  readonly triedDirectly: boolean
}

/** Selects the way of each request to its server. */
export interface PathSelector {
  select (server: RoutedServer, query: ServerPathQuery): ServerPath
  /** Whether this host itself is the server's relay. */
  isRelay (server: RoutedServer): boolean
  /** Whether this host reaches no server, so that a request that could not be sent directly shows nothing about its server. */
  isIsolated (): boolean
  /** Records that a relay reaches no server; it is not selected for some time. */
  recordIsolated (relay: string): void
}

/** Headers between a host and its relay. */
export const RelayHeader = {
  /** From the host: latency goal of the request, in milliseconds. */
  goalMs: 'x-gooseberryfold-goal-ms',
  /** From the host: time until the timeout of the caller, in milliseconds. */
  callerRemainingMs: 'x-gooseberryfold-caller-remaining-ms',
  /** From the host: present if a response can no longer arrive within the latency goal. */
  late: 'x-gooseberryfold-late',
  /** From the host: priority of the route; 0 is the highest. */
  priority: 'x-gooseberryfold-priority',
  /** From the host: time in which a response has its full value, counted from now, in milliseconds; may be negative. */
  goalRemainingMs: 'x-gooseberryfold-goal-remaining-ms',
  /** From the host: servers that have already got the request, separated by commas. */
  triedServers: 'x-gooseberryfold-tried',
  /** From the host: present if the request may be sent to another server, and the relay should report a server that does not respond in time. */
  reportsOverdue: 'x-gooseberryfold-reports-overdue',
  /** From hosts of earlier builds: the same, and such relays would give up the server by themselves. */
  repeatable: 'x-gooseberryfold-repeatable',
  /** From the relay: server that the request was sent to, if that is not the one that the host has named. */
  server: 'x-gooseberryfold-server',
  /** From the relay: why the request was not forwarded; one of {@link RelayRefusal}. */
  refusal: 'x-gooseberryfold-relay-refusal',
  /** From the relay: present if it has not sent the request to the server; earlier builds do not state it. */
  unsent: 'x-gooseberryfold-unsent',
  /** From the relay: time after which the caller may return, in milliseconds; present in its own refusals and, if it counts the server as full, in those of the server. */
  roomAfterMs: 'x-gooseberryfold-room-after-ms',
  /** From the relay: present if servers have ended under the request; hosts that do not know the header handle the refusal like that of a full server. */
  fatal: 'x-gooseberryfold-fatal',
  /** From the relay: present if the server marks the end of its body with that of its connection. Between hosts, each body has a length or chunks: the connections of a host that is killed are closed in order. */
  noLength: 'x-gooseberryfold-no-length'
} as const

/** Status of the interim response by which a relay reports that a server does not respond in time; the request runs on. */
export const OVERDUE_STATUS = 102

/** Maximum length of a body that is sent through a relay, in bytes: a second transfer over a slow network would take long. Longer ones are relayed only to servers that have named a limit. */
export const MAXIMUM_RELAYED_BODY_BYTES = 16 * 1024

/** Why a relay did not forward a request. */
export const RelayRefusal = {
  /** The server is full, so that the request was not sent to it. */
  full: 'full',
  /** The server has named a limit, and there is no permit for another request. */
  overLimit: 'over-limit',
  /** No connection to the server could be made. */
  unreachable: 'unreachable',
  /** The server is leaving, and the host does not know it yet. */
  leaving: 'leaving',
  /** The relay is shutting down, and the request may still be in progress when it stops. */
  stopping: 'stopping',
  /** The relay reaches no server. */
  isolated: 'isolated',
  /** The relay does not know the server. */
  unknownServer: 'unknown-server'
} as const
