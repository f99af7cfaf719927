/** Puts all connections of an HTTP server under the limits for callers. */
import type { Server, ServerResponse, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { CallerAccount } from './caller_account.ts'
import { CONNECTION_BYTES } from './costs.ts'
import { CHECK_INTERVAL_MS, CONNECTION_SHARE, MAXIMUM_CHECK_MS } from './default_limits.ts'
import { limitConnection, type LimitedConnection } from './limit_connection.ts'
import { createParseTurns } from './parse_turns.ts'

/** Options of {@link limitCallers}. */
export interface LimitCallersOptions {
  readonly account: CallerAccount
  readonly maximumConnections: number
  /** Monotonic time in milliseconds. Default: that of the process. */
  readonly now?: () => number
}

/** Connections of each listener with limits. */
const connectionsOf = new WeakMap<Server, ReadonlyMap<Socket, LimitedConnection>>()

/** Responses to bytes that are no request, by the runtime's code; as the runtime sends them. */
const INVALID_REQUEST_RESPONSES: ReadonlyMap<string | undefined, string> = new Map([
  ['HPE_HEADER_OVERFLOW', 'HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n\r\n'],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 'HTTP/1.1 413 Payload Too Large\r\nConnection: close\r\n\r\n']
])
const BAD_REQUEST_RESPONSE = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n'

/** Connections above the maximum that the runtime may accept before one of them is closed. */
const CONNECTION_MARGIN = 16

/**
 * Puts the connections of a server under limits. Its `headersTimeout` and
 * `keepAliveTimeout` apply as they are at each moment; the runtime's own check
 * of the head must be disabled, since it closes new connections that are idle.
 * Its `closeIdleConnections()`, which `close()` calls, closes them in order.
 *
 * @param server The server, before it listens.
 * @param options Account and number of connections.
 */
export function limitCallers (server: Server, options: LimitCallersOptions): void {
  const { account, now = () => performance.now() } = options
  const turns = createParseTurns({ now })
  const connections = new Map<Socket, LimitedConnection>()
  const maximumConnections = Math.max(1, Math.min(options.maximumConnections, Math.floor(account.describe().capacityBytes * CONNECTION_SHARE / CONNECTION_BYTES)))
  server.maxConnections = maximumConnections + CONNECTION_MARGIN
  connectionsOf.set(server, connections)
  let isStopping = false
  server.closeIdleConnections = () => {
    isStopping = true
    for (const connection of connections.values()) connection.endIdle()
  }
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const connection = connections.get(socket as Socket)
    if (connection === undefined || error.code === 'ECONNRESET') socket.destroy()
    else connection.refuse(INVALID_REQUEST_RESPONSES.get(error.code) ?? BAD_REQUEST_RESPONSE)
  })

  server.on('connection', (socket) => {
    if (connections.size >= maximumConnections && !account.endIdlest(server)) {
      socket.destroy()
      return
    }
    // The server reads the connection through its listener for data, which gets parts from here instead.
    const [parse] = socket.listeners('data') as Array<(part: Buffer) => void>
    if (parse === undefined) throw new Error('The HTTP server does not read its connection through a listener for data')
    connections.set(socket, limitConnection(socket, {
      account, listener: server, parse, turns, isStopping: () => isStopping, timeouts: () => ({ headMs: server.headersTimeout, idleMs: server.keepAliveTimeout })
    }))
    socket.off('data', parse)
    socket.once('close', () => { connections.delete(socket) })
  })
  server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
    connections.get(request.socket)?.onRequest(request, response)
  })

  let checkedAt = now()
  const timer = setInterval(() => {
    const elapsedMs = Math.min(now() - checkedAt, MAXIMUM_CHECK_MS)
    checkedAt = now()
    for (const connection of connections.values()) connection.check(elapsedMs)
    account.makeRoom()
  }, CHECK_INTERVAL_MS)
  timer.unref()
  server.once('close', () => { clearInterval(timer) })
}

/**
 * Counts the connections of a listener that are closed here and not by their callers yet, who may not have read everything.
 *
 * @param server The listener.
 * @returns The number of connections; 0 for a listener without limits.
 */
export function countClosingConnections (server: Server): number {
  return [...connectionsOf.get(server)?.values() ?? []].filter((connection) => connection.isClosing()).length
}
