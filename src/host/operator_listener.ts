/** Listener for operators: metrics, state dump, key lookup and the list of suspects. */
import fastify, { type FastifyInstance } from 'fastify'
import type { SuspectRegistry } from '../dispatch/mod.ts'
import type { HostMetrics } from './metrics.ts'

/** Options of {@link createOperatorListener}. */
export interface OperatorListenerOptions {
  readonly metrics: HostMetrics
  readonly refreshMetrics: () => void
  readonly dump: () => unknown
  readonly locate: (service: string, key: string) => unknown
  readonly suspects: SuspectRegistry
  readonly clearSuspect: (fingerprint: string) => Promise<boolean>
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/**
 * Creates the listener without binding its address.
 *
 * @param options Sources of the data it serves.
 * @returns The HTTP server.
 */
export function createOperatorListener (options: OperatorListenerOptions): FastifyInstance {
  const app = fastify({ forceCloseConnections: true })
  app.get('/metrics', async (_request, reply) => {
    options.refreshMetrics()
    await reply.type(options.metrics.registry.contentType).send(await options.metrics.registry.metrics())
  })
  app.get('/dump', async () => options.dump())
  app.get<{ Querystring: { service?: string, key?: string } }>('/locate', async (request) =>
    options.locate(request.query.service ?? '', request.query.key ?? ''))
  app.get('/suspects', async () => options.suspects.list(options.now()))
  app.delete<{ Params: { fingerprint: string } }>('/suspects/:fingerprint', async (request, reply) => {
    const cleared = await options.clearSuspect(request.params.fingerprint)
    await reply.code(cleared ? 200 : 503).send({ cleared })
  })
  return app
}
