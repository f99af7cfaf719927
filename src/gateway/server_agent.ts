/**
 * Connections to backend servers.
 *
 * A connection serves one request at a time. One that receives bytes while no
 * request is waiting is closed: the bytes belong to no request, and would be
 * taken for the answer to the next.
 */
import { Agent, type AgentOptions, type ClientRequest } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Socket } from 'node:net'

/** Idle time of a connection whose server does not state one, in milliseconds: below the shortest usual limit of 5 s. */
const IDLE_MS = 4500

/** How long before the server's stated limit an idle connection is given up, in milliseconds. */
const IDLE_MARGIN_MS = 700

/** Idle connections to one server that are kept; all hosts together stay far below what a server accepts. */
const IDLE_CONNECTIONS = 3

/** Options that node's agent reads and its types leave out. */
interface PoolOptions extends AgentOptions { readonly scheduling: 'lifo' }

interface IdleState { readonly onData: () => void, readonly timer: NodeJS.Timeout }

/** Agent that watches its idle connections. */
class ServerAgent extends Agent {
  readonly #idle = new WeakMap<Duplex, IdleState>()

  /** Called by node when a connection becomes idle; returns whether it is kept. */
  override keepSocketAlive (socket: Socket): boolean {
    if (socket.readableLength > 0) return false
    const onData = (): void => { socket.destroy() }
    const timer = setTimeout(() => { socket.destroy() }, idleLimitMs(socket))
    timer.unref()
    this.#idle.set(socket, { onData, timer })
    socket.on('data', onData)
    socket.resume()
    socket.setKeepAlive(true, 1000)
    return true
  }

  /** Called by node before an idle connection is used again. */
  override reuseSocket (socket: Socket, request: ClientRequest): void {
    const state = this.#idle.get(socket)
    if (state !== undefined) {
      clearTimeout(state.timer)
      socket.off('data', state.onData)
      this.#idle.delete(socket)
    }
    super.reuseSocket(socket, request)
  }
}

function idleLimitMs (socket: Socket): number {
  const { _httpMessage: request } = socket as unknown as { readonly _httpMessage?: { readonly res?: { readonly headers: Readonly<Record<string, unknown>> } } }
  const stated = /timeout=(\d+)/.exec(String(request?.res?.headers['keep-alive'] ?? ''))?.[1]
  return stated === undefined ? IDLE_MS : Math.max(0, Number(stated) * 1000 - IDLE_MARGIN_MS)
}

/**
 * Creates the agent of one process.
 *
 * @returns The agent.
 */
export function createServerAgent (): Agent {
  const options: PoolOptions = { keepAlive: true, maxSockets: Infinity, maxFreeSockets: IDLE_CONNECTIONS, scheduling: 'lifo' }
  return new ServerAgent(options)
}
