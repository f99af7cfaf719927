/** Creates the HTTP server that callers connect to. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { CallerLimits } from '../routing/mod.ts'

/** Options of {@link createCallerServer}. */
export interface CallerServerOptions {
  readonly limits: CallerLimits
  readonly maximumConnections: number
  readonly handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>
  readonly onError: (error: unknown) => void
}

/** Time added to the callers' idle timeout, in milliseconds, so that the caller closes an idle connection first. */
const IDLE_MARGIN_MS = 1000

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
