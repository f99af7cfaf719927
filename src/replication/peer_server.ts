/** The leading host's side: connections of the other hosts, updates to them, reports from them. */
import { createServer, type Server, type Socket } from 'node:net'
import type { Logger } from '../logging/mod.ts'
import type { RelayHost } from '../relay/mod.ts'
import { encodeMessage } from './encode_message.ts'
import { readMessages, writeMessage, type Report, type Update } from './messages.ts'

/** A host that has said who it is. */
export interface ConnectedHost {
  readonly name: string
  readonly zone: string
  /** Version of the configuration that it has; 0 for none. */
  readonly version: number
  /** Digest of its list of servers. */
  readonly servers: string
  /** How it passes requests on; `null` where it is about to stop. */
  readonly relay: RelayHost | null
}

/** Options of {@link createPeerServer}. */
export interface PeerServerOptions {
  readonly logger: Logger
  /** What a host that has just connected is told first. */
  readonly initialUpdates: (host: ConnectedHost) => readonly Update[]
  readonly onReport: (host: ConnectedHost, report: Extract<Report, { readonly kind: 'report' }>) => void
  readonly onHostDisconnected: (host: string) => void
}

/** Connections of the other hosts. */
export interface PeerServer {
  readonly server: Server
  /** Sends an update to every connected host. */
  publish (update: Update): void
  /** Ends every connection; hosts then look for the leader again. */
  disconnect (): void
  hosts (): string[]
  /** Hosts that pass requests on. */
  relays (): RelayHost[]
}

/** Bytes that may wait for a host that does not read before its connection is given up. */
const MAXIMUM_WAITING_BYTES = 4 * 1024 * 1024

/**
 * Creates the hub; the host makes its server listen.
 *
 * @param options Greeting and handlers.
 * @returns The hub.
 */
export function createPeerServer (options: PeerServerOptions): PeerServer {
  const peers = new Map<Socket, ConnectedHost>()

  function drop (socket: Socket): void {
    const host = peers.get(socket)
    peers.delete(socket)
    socket.destroy()
    if (host !== undefined) options.onHostDisconnected(host.name)
  }

  const server = createServer({ noDelay: true, keepAlive: true, keepAliveInitialDelay: 1000 }, (socket) => {
    socket.on('error', (error) => { options.logger.debug({ error: error.message }, 'peer-connection-lost') })
    socket.on('close', () => { drop(socket) })
    readMessages(socket, (message) => {
      const report = message as Report
      if (report.kind === 'hello') {
        const host = { name: report.host, zone: report.zone, version: report.version, servers: report.servers, relay: report.relay }
        peers.set(socket, host)
        for (const update of options.initialUpdates(host)) writeMessage(socket, update)
        return
      }
      const host = peers.get(socket)
      if (host === undefined) return
      if (report.kind === 'leaving') peers.set(socket, { ...host, relay: null })
      else options.onReport(host, report)
    })
  })

  return {
    server,
    publish (update) {
      const text = `${encodeMessage(update)}\n`
      for (const [socket] of peers) {
        if (socket.writableLength > MAXIMUM_WAITING_BYTES) drop(socket)
        else socket.write(text)
      }
    },
    disconnect () { for (const [socket] of [...peers]) drop(socket) },
    hosts: () => [...peers.values()].map((host) => host.name),
    relays: () => [...peers.values()].flatMap((host) => host.relay ?? [])
  }
}
