/** The listener for callers, and the one that tells whether this host takes new connections. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { CallerLimits } from '../routing/mod.ts'

/** Options of {@link createCallerServer}. */
export interface CallerServerOptions {
  readonly limits: CallerLimits
  readonly maximumConnections: number
  readonly handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>
  readonly onError: (error: unknown) => void
}

/** How much longer than a caller an idle connection is kept, in milliseconds, so that the caller gives it up first. */
const IDLE_MARGIN_MS = 1000

/**
 * Creates the listener for callers; the host makes it listen.
 *
 * @param options Limits and the handler of requests.
 * @returns The HTTP server.
 */
export function createCallerServer (options: CallerServerOptions): Server {
  const { limits } = options
  const server = createServer({
    maxHeaderSize: limits.headerBytes,
    headersTimeout: limits.headerTimeoutMs,
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
  server.maxConnections = options.maximumConnections
  return server
}
