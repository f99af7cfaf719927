/** Listener for callers: plain HTTP/1.1 that streams requests and responses. */
import fastify, { type FastifyInstance } from 'fastify'
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { NotRunReason, forwardableHeaders, type DispatchOutcome } from '../dispatch/mod.ts'
import { describeProblem, type Edge } from '../edge/mod.ts'
import { disconnectSignal, readRequestBody, forwardResponse, writeProblem } from './_write_outcome.ts'

/** Options of {@link createCallerListener}. */
export interface CallerListenerOptions {
  readonly edge: Edge
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly maximumConnections: number
  readonly requestTimeoutMs: number
  /** Whether to close each connection after its current request. */
  readonly isLeaving: () => boolean
  /** Called once for each request, with the time until its outcome was known, in milliseconds. */
  readonly onRequestEnd: (id: string, outcome: DispatchOutcome, durationMs: number) => void
}

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._-]{1,128}$/

/** HTTP methods that callers may use. */
const ALLOWED_METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const

/**
 * Creates the listener without binding its address.
 *
 * @param options Edge, limits and hooks.
 * @returns The HTTP server.
 */
export function createCallerListener (options: CallerListenerOptions): FastifyInstance {
  const app = fastify({
    bodyLimit: Number.MAX_SAFE_INTEGER,
    connectionTimeout: 0,
    requestTimeout: options.requestTimeoutMs,
    keepAliveTimeout: 30_000,
    forceCloseConnections: 'idle',
    return503OnClosing: false,
    exposeHeadRoutes: false,
    http: { maxHeaderSize: options.headerBytes, headersTimeout: Math.min(options.requestTimeoutMs, 10_000), requireHostHeader: true }
  })
  app.server.maxConnections = options.maximumConnections
  app.removeAllContentTypeParsers()
  app.addContentTypeParser('*', (_request, _payload, done) => { done(null) })
  app.route({
    method: [...ALLOWED_METHODS],
    url: '/*',
    handler: async (request, reply) => {
      reply.hijack()
      const startedAt = performance.now()
      const givenId = request.headers['x-request-id']
      const id = typeof givenId === 'string' && REQUEST_ID_PATTERN.test(givenId) ? givenId : randomUUID()
      const extraHeaders: Record<string, string> = { 'x-request-id': id }
      if (options.isLeaving()) extraHeaders.connection = 'close'
      const outcome = await serve(request.raw, reply.raw, id)
      if (outcome.kind === 'answer') forwardResponse(reply.raw, outcome, extraHeaders)
      else writeProblem(reply.raw, describeProblem(outcome, id), outcome.kind === 'not-run' ? extraHeaders : { ...extraHeaders, connection: 'close' })
      options.onRequestEnd(id, outcome, performance.now() - startedAt)
    }
  })

  async function serve (
    request: IncomingMessage,
    response: ServerResponse,
    id: string
  ): Promise<DispatchOutcome> {
    const signal = disconnectSignal(response)
    try {
      const bodyResult = await readRequestBody(request, options.bodyBytes)
      if (bodyResult.kind === 'too-large') return { kind: 'not-run', reason: NotRunReason.bodyTooLarge }
      return await options.edge.handle({
        id,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: { ...forwardableHeaders(request.headers), host: request.headers.host },
        body: bodyResult.body,
        signal
      })
    } catch {
      return { kind: 'not-run', reason: NotRunReason.callerGone }
    }
  }

  return app
}
