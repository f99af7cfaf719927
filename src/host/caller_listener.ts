/** The callers' listener: plain HTTP/1.1, streaming both ways. */
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
  /** Whether connections are to be closed after their request. */
  readonly isLeaving: () => boolean
  /** Called once for each request, with the time it took in milliseconds. */
  readonly onRequestEnd: (id: string, outcome: DispatchOutcome, durationMs: number) => void
}

const IDENTIFIER = /^[A-Za-z0-9._-]{1,128}$/

/** Methods that callers may use. */
const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const

/**
 * Creates the listener; the host makes it listen.
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
    method: [...METHODS],
    url: '/*',
    handler: async (request, reply) => {
      reply.hijack()
      const startedAt = performance.now()
      const given = request.headers['x-request-id']
      const id = typeof given === 'string' && IDENTIFIER.test(given) ? given : randomUUID()
      const extra: Record<string, string> = { 'x-request-id': id }
      if (options.isLeaving()) extra.connection = 'close'
      const outcome = await serve(request.raw, reply.raw, id)
      if (outcome.kind === 'answer') forwardResponse(reply.raw, outcome, extra)
      else writeProblem(reply.raw, describeProblem(outcome, id), outcome.kind === 'not-run' ? extra : { ...extra, connection: 'close' })
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
      const taken = await readRequestBody(request, options.bodyBytes)
      if (taken.kind === 'too-large') return { kind: 'not-run', reason: NotRunReason.bodyTooLarge }
      return await options.edge.handle({
        id,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: { ...forwardableHeaders(request.headers), host: request.headers.host },
        body: taken.body,
        signal
      })
    } catch {
      return { kind: 'not-run', reason: NotRunReason.callerGone }
    }
  }

  return app
}
