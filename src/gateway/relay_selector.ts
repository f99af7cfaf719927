/** What a gateway knows of hosts that pass requests for keys on. */
import type { RoutedServer } from '../routing/mod.ts'

/** A host that passes requests for some servers on. */
export interface Relay {
  readonly host: string
  readonly address: string
  /** Notes that a request was sent through it; ends it with whether anything was said. */
  trackRequest (request: string, expectedMs: number): (answered: boolean) => void
}

/** Choice of relays. */
export interface RelaySelector {
  /** The relay for a server; `null` where requests go to the server directly. */
  select (server: RoutedServer): Relay | null
}

/** Headers between a host and its relay. */
export const RelayHeader = {
  /** From the host: latency goal of the request, in milliseconds. */
  goalMs: 'x-gooseberryfold-goal-ms',
  /** From the relay: why the request was not passed on; one of {@link RelayRefusal}. */
  refusal: 'x-gooseberryfold-relay-refusal',
  /** From the relay: time after which there is room, in milliseconds. */
  roomAfterMs: 'x-gooseberryfold-room-after-ms'
} as const

/** Why a relay did not pass a request on. */
export const RelayRefusal = {
  /** The server has no room. */
  full: 'full',
  /** No connection to the server could be made. */
  unreachable: 'unreachable',
  /** The server is about to leave, which the host has not heard of yet. */
  leaving: 'leaving',
  /** The relay does not know the server. */
  unknownServer: 'unknown-server'
} as const
