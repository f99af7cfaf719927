/** Server for connections between hosts: the leading host sends updates to the other hosts and receives their reports. */
import { createServer, type Server, type Socket } from 'node:net'
import type { ServerRun } from '../gateway/leaving_servers.ts'
import type { Logger } from '../logging/mod.ts'
import type { RelayHost } from '../relay/mod.ts'
import { encodeMessage } from './encode_message.ts'
import { OPTIONAL_KINDS, readMessages, type EvidenceMessage, type Report, type Update } from './messages.ts'

/** A host that has connected and identified itself. */
export interface ConnectedHost {
  readonly name: string
  readonly zone: string
  /** Version of its configuration; 0 if it has none. */
  readonly version: number
  /** Digest of its list of servers. */
  readonly servers: string
  /** Its relay address and weight; `null` if it is about to stop. */
  readonly relay: RelayHost | null
  /** Whether it reaches no server. */
  readonly isIsolated: boolean
  /** Optional kinds of messages that it accepts. */
  readonly accepts: readonly string[]
}

/** Options of {@link createPeerServer}. */
export interface PeerServerOptions {
  readonly logger: Logger
  /** Returns the updates to send to a host that has just connected; an update that is returned again is encoded once. */
  readonly initialUpdates: (host: ConnectedHost) => readonly Update[]
  readonly onReport: (host: ConnectedHost, report: Extract<Report, { readonly kind: 'report' }>) => void
  readonly onHostDisconnected: (host: string) => void
  /** Called when a host no longer reaches any server. */
  readonly onHostIsolated: (host: string) => void
  /** Called when a host has found out from a response that a server is leaving. */
  readonly onServerLeaving: (server: ServerRun) => void
  /** Called with evidence on fatal requests. */
  readonly onEvidence: (message: EvidenceMessage) => void
  /** Called when a host has read the store while this host's data from it is out of date. */
  readonly onStoreReachable: () => void
  /** Called when a host has claimed the lease that this host held. */
  readonly onLeaseClaimed: (lease: Extract<Report, { readonly kind: 'claimed' }>['lease']) => void
}

/** Server that other hosts connect to. */
export interface PeerServer {
  readonly server: Server
  /** Sends an update to every connected host. */
  publish (update: Update): void
  /** Closes all connections; the hosts then look for the leader again. */
  disconnect (): void
  hosts (): string[]
  /** Connected hosts that relay requests: they reach servers and are not about to stop. */
  relays (): RelayHost[]
}

/** Maximum bytes buffered for a host that does not read; beyond it the connection is closed. */
const MAXIMUM_BUFFERED_BYTES = 4 * 1024 * 1024

/**
 * Creates the peer server; its `server` does not listen yet.
 *
 * @param options Initial updates and handlers.
 * @returns The peer server.
 */
export function createPeerServer (options: PeerServerOptions): PeerServer {
  const peers = new Map<Socket, ConnectedHost>()
  /** Lines of updates that are sent to many hosts; compressing a long one takes milliseconds. */
  const encodedLines = new WeakMap<Update, string>()

  function encodeLine (update: Update): string {
    const known = encodedLines.get(update)
    if (known !== undefined) return known
    const line = `${encodeMessage(update)}\n`
    encodedLines.set(update, line)
    return line
  }

  function isAccepted (host: ConnectedHost, update: Update): boolean {
    return !(OPTIONAL_KINDS as readonly string[]).includes(update.kind) || host.accepts.includes(update.kind)
  }

  function closeConnection (socket: Socket): void {
    const host = peers.get(socket)
    peers.delete(socket)
    socket.destroy()
    if (host !== undefined) options.onHostDisconnected(host.name)
  }

  const server = createServer({ noDelay: true, keepAlive: true, keepAliveInitialDelay: 1000 }, (socket) => {
    socket.on('error', (error) => { options.logger.debug({ error: error.message }, 'peer-connection-lost') })
    socket.on('close', () => { closeConnection(socket) })
    readMessages(socket, (message) => {
      const report = message as Report
      if (report.kind === 'hello') {
        const host = { name: report.host, zone: report.zone, version: report.version, servers: report.servers, relay: report.relay, isIsolated: report.isolated === true, accepts: report.accepts ?? [] }
        peers.set(socket, host)
        for (const leaving of report.leaving ?? []) options.onServerLeaving(leaving)
        for (const update of options.initialUpdates(host)) if (!socket.destroyed && isAccepted(host, update)) socket.write(encodeLine(update))
        return
      }
      const host = peers.get(socket)
      if (host === undefined) return
      if (report.kind === 'leaving') peers.set(socket, { ...host, relay: null })
      else if (report.kind === 'reachability') {
        peers.set(socket, { ...host, isIsolated: report.isolated })
        if (report.isolated) options.onHostIsolated(host.name)
      } else if (report.kind === 'server-leaving') options.onServerLeaving(report.server)
      else if (report.kind === 'store-reachable') options.onStoreReachable()
      else if (report.kind === 'claimed') options.onLeaseClaimed(report.lease)
      else if (report.kind === 'fatal-requests') options.onEvidence(report)
      else if (report.kind === 'report') options.onReport(host, report)
      // Later builds may send kinds that this one does not know.
      else options.logger.debug({ host: host.name, kind: (report as { readonly kind?: unknown }).kind }, 'report-unknown')
    })
  })

  return {
    server,
    publish (update) {
      const line = encodeLine(update)
      for (const [socket, host] of peers) {
        if (!isAccepted(host, update)) continue
        if (socket.writableLength > MAXIMUM_BUFFERED_BYTES) closeConnection(socket)
        else socket.write(line)
      }
    },
    disconnect () { for (const [socket] of [...peers]) closeConnection(socket) },
    hosts: () => [...peers.values()].map((host) => host.name),
    relays: () => [...peers.values()].flatMap((host) => host.isIsolated ? [] : host.relay ?? [])
  }
}
