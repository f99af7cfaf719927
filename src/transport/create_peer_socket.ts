/** UDP socket for the messages between hosts of a cell. */
import { createSocket } from 'node:dgram'
import type { CellMessage } from '../cell/mod.ts'
import { hashText } from '../slices/mod.ts'
import { decodeMessage, encodeMessage } from './encode_message.ts'

/** Number and size of the datagrams that a socket has sent and received; sizes include IP and UDP headers. */
export interface PeerTraffic {
  sentMessages: number
  sentBytes: number
  receivedMessages: number
  receivedBytes: number
}

/** A bound UDP socket. */
export interface PeerSocket {
  send (to: string, message: CellMessage): void
  readonly traffic: Readonly<PeerTraffic>
  close (): Promise<void>
}

/** Options of {@link createPeerSocket}. */
export interface PeerSocketOptions {
  /** Address to bind, such as `10.0.0.1:7100`; also the sender's name. */
  readonly address: string
  readonly secret: string
  readonly onMessage: (from: string, message: CellMessage) => void
}

/** Bytes of IP and UDP headers per datagram. */
const HEADER_BYTES = 28

/**
 * Binds a UDP socket.
 *
 * @param options Address, secret and message handler.
 * @returns The bound socket.
 * @throws {Error} If the address cannot be bound.
 */
export async function createPeerSocket (options: PeerSocketOptions): Promise<PeerSocket> {
  const socket = createSocket('udp4')
  const secret = hashText(options.secret)
  const traffic: PeerTraffic = { sentMessages: 0, sentBytes: 0, receivedMessages: 0, receivedBytes: 0 }
  socket.on('message', (datagram, remote) => {
    traffic.receivedMessages++
    traffic.receivedBytes += datagram.length + HEADER_BYTES
    const message = decodeMessage(secret, datagram)
    if (message !== null) options.onMessage(`${remote.address}:${remote.port}`, message)
  })
  const { host, port } = splitAddress(options.address)
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject)
    socket.bind(port, host, () => {
      socket.off('error', reject)
      socket.on('error', () => {})
      resolve()
    })
  })
  return {
    traffic,
    send (to, message) {
      const datagram = encodeMessage(secret, message)
      const target = splitAddress(to)
      traffic.sentMessages++
      traffic.sentBytes += datagram.length + HEADER_BYTES
      socket.send(datagram, target.port, target.host)
    },
    close: async () => { await new Promise<void>((resolve) => { socket.close(() => { resolve() }) }) }
  }
}

/** Splits an address such as `10.0.0.1:7100` into host and port. */
export function splitAddress (address: string): { readonly host: string, readonly port: number } {
  const separatorIndex = address.lastIndexOf(':')
  return { host: address.slice(0, separatorIndex), port: Number(address.slice(separatorIndex + 1)) }
}
