/**
 * Agent for the connections to backend servers.
 *
 * A connection has one request at a time. A connection that receives data while
 * it is idle is closed: the data belongs to no request and would be mistaken
 * for the response to the next one.
 */
import { Agent, type AgentOptions, type ClientRequest } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Socket } from 'node:net'

/** Idle timeout of a connection whose server does not state one, in milliseconds: below the shortest common timeout of 5 s. */
const DEFAULT_IDLE_TIMEOUT_MS = 4500

/** How long before the server's stated timeout an idle connection is closed, in milliseconds. */
const IDLE_MARGIN_MS = 700

/** Maximum idle connections to one server; all hosts together stay far below the number that a server accepts. */
const MAXIMUM_IDLE_CONNECTIONS = 3

/** Options of Node's agent that its types do not declare. */
interface PoolOptions extends AgentOptions { readonly scheduling: 'lifo' }

interface IdleSocketState { readonly onData: () => void, readonly timer: NodeJS.Timeout }

/** Agent that closes idle connections on their timeout or on unexpected data. */
class ServerAgent extends Agent {
  readonly #idleSockets = new WeakMap<Duplex, IdleSocketState>()

  /** Called by Node when a connection becomes idle; returns whether to keep it open. */
  override keepSocketAlive (socket: Socket): boolean {
    if (socket.readableLength > 0) return false
    const onData = (): void => { socket.destroy() }
    const timer = setTimeout(() => { socket.destroy() }, idleTimeoutMs(socket))
    timer.unref()
    this.#idleSockets.set(socket, { onData, timer })
    socket.on('data', onData)
    socket.resume()
    socket.setKeepAlive(true, 1000)
    return true
  }

  /** Called by Node before an idle connection is reused. */
  override reuseSocket (socket: Socket, request: ClientRequest): void {
    const state = this.#idleSockets.get(socket)
    if (state !== undefined) {
      clearTimeout(state.timer)
      socket.off('data', state.onData)
      this.#idleSockets.delete(socket)
    }
    super.reuseSocket(socket, request)
  }
}

function idleTimeoutMs (socket: Socket): number {
  const { _httpMessage: request } = socket as unknown as { readonly _httpMessage?: { readonly res?: { readonly headers: Readonly<Record<string, unknown>> } } }
  const statedSeconds = /timeout=(\d+)/.exec(String(request?.res?.headers['keep-alive'] ?? ''))?.[1]
  return statedSeconds === undefined ? DEFAULT_IDLE_TIMEOUT_MS : Math.max(0, Number(statedSeconds) * 1000 - IDLE_MARGIN_MS)
}

/**
 * Creates the agent for connections to backend servers.
 *
 * @returns The agent.
 */
export function createServerAgent (): Agent {
  const options: PoolOptions = { keepAlive: true, maxSockets: Infinity, maxFreeSockets: MAXIMUM_IDLE_CONNECTIONS, scheduling: 'lifo' }
  return new ServerAgent(options)
}
