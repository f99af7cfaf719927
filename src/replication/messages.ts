/** Messages between the leading host and the other hosts: one message per line over TCP. */
import type { Socket } from 'node:net'
import split from 'split2'
import type { ServerRun } from '../gateway/leaving_servers.ts'
import type { ServerSample } from '../gateway/server_loads.ts'
import type { ObservedLease } from '../leadership/mod.ts'
import type { ListChange } from '../list_change/mod.ts'
import type { RelayHost } from '../relay/mod.ts'
import type { ColdServerNotice } from '../warm_up/mod.ts'
import type { ConfigurationChange, RoutedServer, RoutingConfiguration } from '../routing/mod.ts'
import { decodeMessage, encodeMessage } from './encode_message.ts'

/** Owner of keys on the wire; times are remaining milliseconds, because clocks differ between hosts. */
export type WireOwner = string | null | { readonly unservedMs: number }

/** The leading host's data on a server: requests in flight, work in milliseconds, share of failures, 1 if unresponsive, share of requests to admit. */
export type WireServerView = readonly [server: string, inFlight: number, workMs: number, failureShare: number, silent: 0 | 1, admitShare: number]

/** Evidence on fatal requests; times are ages in milliseconds, because clocks differ between hosts. */
export interface WireEvidence {
  readonly ends: ReadonlyArray<readonly [server: string, bornAt: number, endedAgoMs: number, requests: ReadonlyArray<readonly [fingerprint: string, sentAgoMs: number]>]>
  readonly completions: ReadonlyArray<readonly [fingerprint: string, agoMs: number]>
  readonly refusals: ReadonlyArray<readonly [fingerprint: string, refusedAgoMs: number, remainingMs: number, times: number]>
}

/** Evidence on fatal requests, in either direction; sent only to hosts that have stated that they accept it. */
export interface EvidenceMessage extends WireEvidence {
  readonly kind: 'fatal-requests'
}

/** Kinds of messages that earlier builds do not know. A host states those that it accepts in its first message, and gets no others of them. */
export const OPTIONAL_KINDS = ['fatal-requests', 'evacuations'] as const

/** Evacuated zones, with the position of each row, and the position of the store at which all of them were read. */
export interface EvacuationsMessage {
  readonly kind: 'evacuations'
  readonly era: number
  readonly revision: number
  readonly zones: ReadonlyArray<readonly [zone: string, era: number, revision: number]>
}

/** Message from the leading host. */
export type Update =
  | EvidenceMessage
  | EvacuationsMessage
  /** First message from every host: the identifier of its process, which shows whether an earlier process has ended, and the optional kinds of messages that it accepts. */
  | { readonly kind: 'identity', readonly holder: string, readonly accepts?: readonly string[] }
  | { readonly kind: 'configuration', readonly configuration: RoutingConfiguration }
  | { readonly kind: 'configuration-change', readonly change: ConfigurationChange }
  | { readonly kind: 'servers', readonly servers: readonly RoutedServer[] }
  /** `from` and `to` are digests of the lists before and after the change. */
  | { readonly kind: 'servers-change', readonly from: string, readonly to: string, readonly change: ListChange<RoutedServer> }
  /** Servers that have become cold again, which changes neither the list nor its digest; earlier builds ignore it. */
  | { readonly kind: 'cold-servers', readonly servers: readonly ColdServerNotice[] }
  /** Hosts that relay requests. */
  | { readonly kind: 'relays', readonly hosts: readonly RelayHost[] }
  | { readonly kind: 'owners', readonly service: string, readonly changes: ReadonlyArray<readonly [from: number, to: number, owner: WireOwner]> }
  /** The sender stops leading, because it shuts down, or cannot reach the store and other hosts can; its lease may be claimed at once. */
  | { readonly kind: 'resigned', readonly holder: string }
  /** The lease of the leader that has followed the sender. */
  | { readonly kind: 'successor', readonly lease: ObservedLease }
  /** Heartbeat, sent regularly. `views` holds changed entries, or all of them if `complete` is set; `storeAgeMs` is the age of the data that the leader has read from the store; `lease` is the lease as the leader last observed it; `hosts` is the number of hosts that share limits set for all of them. */
  | { readonly kind: 'beat', readonly storeAgeMs: number, readonly lease: ObservedLease | null, readonly leading: boolean, readonly complete: boolean, readonly intervalMs: number, readonly hosts: number, readonly views: readonly WireServerView[] }

/** Message to the leading host. */
export type Report =
  | EvidenceMessage
  /** First message. `version` is the version of the host's configuration and `servers` the digest of its list of servers, so that data it already has is not sent; `relay` is its relay address and weight, `isolated` whether it reaches no server, `leaving` lists servers whose responses show that they are leaving, `accepts` the optional kinds of messages that the host accepts. */
  | { readonly kind: 'hello', readonly host: string, readonly zone: string, readonly version: number, readonly servers: string, readonly relay: RelayHost | null, readonly isolated?: boolean, readonly leaving?: readonly ServerRun[], readonly accepts?: readonly string[] }
  /** A response of the server has shown that it is leaving. */
  | { readonly kind: 'server-leaving', readonly server: ServerRun }
  /** The host no longer reaches any server, or does so again. */
  | { readonly kind: 'reachability', readonly isolated: boolean }
  /** The host has read the store while the leader's own data from it is out of date. */
  | { readonly kind: 'store-reachable' }
  /** The host has claimed the lease of the leader that it reports to. */
  | { readonly kind: 'claimed', readonly lease: ObservedLease }
  /** The host is about to stop and accepts no more requests to relay. */
  | { readonly kind: 'leaving' }
  | {
    readonly kind: 'report'
    readonly samples: ReadonlyArray<readonly [server: string, sample: ServerSample]>
    readonly keys: ReadonlyArray<readonly [service: string, counts: ReadonlyArray<readonly [key: number, requests: number]>]>
  }

/** Maximum length of a line, in characters: a compressed configuration of thousands of routes has a small part of it. */
const MAXIMUM_LINE_LENGTH = 1024 * 1024

/**
 * Writes a message, unless the connection has been closed.
 *
 * @param socket The connection.
 * @param message The message.
 */
export function writeMessage (socket: Socket, message: Update | Report): void {
  if (!socket.destroyed) socket.write(`${encodeMessage(message)}\n`)
}

/**
 * Calls `onMessage` for each message of a connection. A line that is too long or not a valid message closes the connection.
 *
 * @param socket The connection.
 * @param onMessage Called for each message.
 */
export function readMessages (socket: Socket, onMessage: (message: unknown) => void): void {
  const lines = split({ maxLength: MAXIMUM_LINE_LENGTH })
  lines.on('data', (line: string) => {
    try {
      onMessage(decodeMessage(line))
    } catch (error) {
      socket.destroy(error instanceof Error ? error : new Error(String(error)))
    }
  })
  lines.on('error', (error) => { socket.destroy(error) })
  socket.pipe(lines)
}
