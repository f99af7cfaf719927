/** Creates the HTTP server that callers connect to. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { CAPACITY_BYTES, createCallerAccount, limitCallers, type CallerAccount } from '../caller_limits/mod.ts'
import type { CallerLimits } from '../routing/mod.ts'

/** Options of {@link createCallerServer}. */
export interface CallerServerOptions {
  readonly limits: CallerLimits
  readonly maximumConnections: number
  /** Account of what callers make the host hold. Default: one of this server alone. */
  readonly account?: CallerAccount
  readonly handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>
  readonly onError: (error: unknown) => void
}

/** Time added to the callers' idle timeout, in milliseconds, so that the caller closes an idle connection first. */
const IDLE_MARGIN_MS = 1000

/** Longest interval of the runtime's timers, in milliseconds. */
const MAXIMUM_INTERVAL_MS = 2 ** 31 - 1

/**
 * Creates the HTTP server for callers. It does not listen yet; the host starts it.
 *
 * @param options Limits and the request handler.
 * @returns The HTTP server.
 */
export function createCallerServer (options: CallerServerOptions): Server {
  const { limits } = options
  const server = createServer({
    maxHeaderSize: limits.headerBytes,
    headersTimeout: limits.headerTimeoutMs,
    // The limits for callers check the head; the runtime would also close new connections that are idle.
    connectionsCheckingInterval: MAXIMUM_INTERVAL_MS,
    requestTimeout: 0,
    keepAliveTimeout: limits.idleTimeoutMs + IDLE_MARGIN_MS,
    noDelay: true
  }, (request, response) => {
    response.on('error', options.onError)
    options.handle(request, response).catch((error: unknown) => {
      options.onError(error)
      response.destroy()
    })
  })
  limitCallers(server, { account: options.account ?? createCallerAccount({ capacityBytes: CAPACITY_BYTES.maximum }), maximumConnections: options.maximumConnections })
  return server
}
