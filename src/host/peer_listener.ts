/** Listener for other entry hosts: control calls and requests to dispatch. */
import { fastifyTRPCPlugin } from '@trpc/server/adapters/fastify'
import fastify, { type FastifyInstance } from 'fastify'
import { timingSafeEqual } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { isReplayable, forwardableHeaders, type DispatchNotRun, type DispatchOutcome, type Dispatcher, type DispatchRequest } from '../dispatch/mod.ts'
import { describeProblem, type PeerClient } from '../edge/mod.ts'
import type { createControlRouter } from './control_router.ts'
import { disconnectSignal, readRequestBody, forwardResponse, writeProblem } from './_write_outcome.ts'

/** Options of {@link createPeerListener}. */
export interface PeerListenerOptions {
  readonly secret: string
  readonly dispatcher: Dispatcher
  readonly peers: PeerClient
  readonly router: ReturnType<typeof createControlRouter>
  readonly bodyBytes: number
}

/** Delay before a request is forwarded again to a host that could not be reached, in milliseconds. */
const FORWARD_RETRY_DELAY_MS = 50

/**
 * Creates the listener without binding its address.
 *
 * @param options Secret, dispatcher and control interface.
 * @returns The HTTP server.
 */
export async function createPeerListener (options: PeerListenerOptions): Promise<FastifyInstance> {
  const app = fastify({ forceCloseConnections: 'idle', return503OnClosing: false, exposeHeadRoutes: false, bodyLimit: Number.MAX_SAFE_INTEGER })
  app.addHook('onRequest', async (request, reply) => {
    if (!hasSecret(request.raw, options.secret)) await reply.code(403).send({ error: 'The secret of the entry hosts is missing or wrong' })
  })
  app.get('/alive', async () => ({}))
  await app.register(fastifyTRPCPlugin, { prefix: '/control', trpcOptions: { router: options.router } })
  await app.register(async (scope) => {
    scope.removeAllContentTypeParsers()
    scope.addContentTypeParser('*', (_request, _payload, done) => { done(null) })
    scope.route({
      method: ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'],
      url: '/dispatch/*',
      handler: async (request, reply) => {
        reply.hijack()
        const id = headerValue(request.raw, 'gooseberryfold-request-id')
        const outcome = await dispatch(request.raw, { id, signal: disconnectSignal(reply.raw) })
        if (outcome.kind === 'answer') {
          forwardResponse(reply.raw, outcome, { 'gooseberryfold-outcome': 'answer', 'gooseberryfold-server': outcome.server })
        } else writeProblem(reply.raw, describeProblem(outcome, id), outcomeHeaders(outcome))
      }
    })
  })

  async function dispatch (
    request: IncomingMessage,
    context: { readonly id: string, readonly signal: AbortSignal }
  ): Promise<DispatchOutcome> {
    try {
      const bodyResult = await readRequestBody(request, options.bodyBytes)
      if (bodyResult.kind === 'too-large') return { kind: 'not-run', reason: 'body-too-large' }
      const decoded = decodeRequest(request, { ...context, body: bodyResult.body })
      const outcome = await options.dispatcher.dispatch(decoded)
      return canForward(outcome, decoded, request) ? await forward(outcome.dispatcher, decoded) : outcome
    } catch {
      return { kind: 'not-run', reason: 'caller-gone' }
    }
  }

  /** Retries until the body has been read from, since the host that sent it cannot send it again. */
  async function forward (host: string, request: DispatchRequest): Promise<DispatchOutcome> {
    for (;;) {
      const outcome = await options.peers.dispatch(host, request, { isForwarded: true })
      const isLast = outcome.kind !== 'not-run' || !isReplayable(request.body) || performance.now() + FORWARD_RETRY_DELAY_MS > request.deadline
      if (isLast || request.signal.aborted) return outcome
      await delay(FORWARD_RETRY_DELAY_MS)
    }
  }

  return app
}

type RedirectedOutcome = DispatchNotRun & { readonly dispatcher: string }

/** Whether this host forwards the request to its dispatcher: at most once, and only with a streamed body, which the edge cannot send again. */
function canForward (outcome: DispatchOutcome, decoded: DispatchRequest, request: IncomingMessage): outcome is RedirectedOutcome {
  const isStream = decoded.body !== null && !Buffer.isBuffer(decoded.body)
  return outcome.kind === 'not-run' && outcome.dispatcher !== undefined && isStream && isReplayable(decoded.body) &&
    request.headers['gooseberryfold-forwarded'] === undefined
}

function decodeRequest (
  request: IncomingMessage,
  context: Pick<DispatchRequest, 'id' | 'signal' | 'body'>
): DispatchRequest {
  const slice = request.headers['gooseberryfold-slice']
  const claimKey = request.headers['gooseberryfold-claim-key']
  return {
    ...context,
    service: headerValue(request, 'gooseberryfold-service'),
    slice: typeof slice === 'string' ? Number(slice) : null,
    method: request.method ?? 'GET',
    path: (request.url ?? '/').slice('/dispatch'.length),
    headers: { ...forwardableHeaders(request.headers), host: request.headers.host },
    deadline: performance.now() + Number(headerValue(request, 'gooseberryfold-deadline-ms')),
    isIdempotent: headerValue(request, 'gooseberryfold-idempotent') === 'true',
    claimKey: typeof claimKey === 'string' ? decodeURIComponent(claimKey) : null
  }
}

function outcomeHeaders (outcome: Exclude<DispatchOutcome, { readonly kind: 'answer' }>): Record<string, string> {
  const headers: Record<string, string> = { 'gooseberryfold-outcome': outcome.kind, 'gooseberryfold-reason': outcome.reason }
  if (outcome.kind === 'not-run' && outcome.dispatcher !== undefined) headers['gooseberryfold-dispatcher'] = outcome.dispatcher
  return headers
}

function headerValue (request: IncomingMessage, name: string): string {
  const value = request.headers[name]
  return typeof value === 'string' ? value : ''
}

function hasSecret (request: IncomingMessage, secret: string): boolean {
  const given = Buffer.from(headerValue(request, 'gooseberryfold-secret'))
  const expected = Buffer.from(secret)
  return given.length === expected.length && timingSafeEqual(given, expected)
}
