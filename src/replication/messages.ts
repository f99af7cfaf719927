/** Messages between the leading host and the others: one text a line over TCP. */
import type { Socket } from 'node:net'
import { createInterface } from 'node:readline'
import type { ServerSample } from '../gateway/server_loads.ts'
import type { ListChange } from '../list_change/mod.ts'
import type { RelayHost } from '../relay/mod.ts'
import type { ConfigurationChange, RoutedServer, RoutingConfiguration } from '../routing/mod.ts'
import { decodeMessage, encodeMessage } from './encode_message.ts'

/** Owner of keys on the wire; times are remaining milliseconds, since clocks differ. */
export type WireOwner = string | null | { readonly unservedMs: number }

/** What the leading host knows of a server: requests in flight, work in ms, share of failures, 1 where silent, share of requests to send. */
export type WireServerView = readonly [server: string, inFlight: number, workMs: number, failureShare: number, silent: 0 | 1, admitShare: number]

/** From the leading host. */
export type Update =
  /** Sent first by every host: the identifier of its process, which tells whether an earlier one has ended. */
  | { readonly kind: 'identity', readonly holder: string }
  | { readonly kind: 'configuration', readonly configuration: RoutingConfiguration }
  | { readonly kind: 'configuration-change', readonly change: ConfigurationChange }
  | { readonly kind: 'servers', readonly servers: readonly RoutedServer[] }
  /** `from` and `to` are digests of the lists before and after the change. */
  | { readonly kind: 'servers-change', readonly from: string, readonly to: string, readonly change: ListChange<RoutedServer> }
  /** Hosts that pass requests on. */
  | { readonly kind: 'relays', readonly hosts: readonly RelayHost[] }
  | { readonly kind: 'owners', readonly service: string, readonly changes: ReadonlyArray<readonly [from: number, to: number, owner: WireOwner]> }
  /** Sent regularly; `views` holds what has changed, or everything where `complete`; `storeAgeMs` is the age of what the leader has read of the store, `lease` its lease and that row's revision; `hosts` is how many share what is bounded for all of them. */
  | { readonly kind: 'beat', readonly storeAgeMs: number, readonly lease: { readonly revision: number, readonly value: unknown }, readonly leading: boolean, readonly complete: boolean, readonly intervalMs: number, readonly hosts: number, readonly views: readonly WireServerView[] }

/** From another host. */
export type Report =
  /** Sent first; `version` is the host's configuration and `servers` the digest of its list of servers, so that it is not told what it knows; `relay` is where and how much it relays. */
  | { readonly kind: 'hello', readonly host: string, readonly zone: string, readonly version: number, readonly servers: string, readonly relay: RelayHost | null }
  /** The host is about to stop and takes nothing new to pass on. */
  | { readonly kind: 'leaving' }
  | {
    readonly kind: 'report'
    readonly samples: ReadonlyArray<readonly [server: string, sample: ServerSample]>
    readonly keys: ReadonlyArray<readonly [service: string, counts: ReadonlyArray<readonly [key: number, requests: number]>]>
  }

/**
 * Writes a message, unless the other side does not read.
 *
 * @param socket The connection.
 * @param message The message.
 */
export function writeMessage (socket: Socket, message: Update | Report): void {
  if (!socket.destroyed) socket.write(`${encodeMessage(message)}\n`)
}

/**
 * Calls `onMessage` for each message of a connection; a line that is no message ends the connection.
 *
 * @param socket The connection.
 * @param onMessage Called for each message.
 */
export function readMessages (socket: Socket, onMessage: (message: unknown) => void): void {
  const lines = createInterface({ input: socket, crlfDelay: Infinity })
  lines.on('line', (line) => {
    try {
      onMessage(decodeMessage(line))
    } catch (error) {
      socket.destroy(error instanceof Error ? error : new Error(String(error)))
    }
  })
  // Repeats the socket's error, which the socket's owner logs.
  lines.on('error', () => {})
}
