/** Stand-in for the platform: table service, object store and delayed host list, with faults on request. */
import fastify, { type FastifyInstance } from 'fastify'
import { setTimeout as delay } from 'node:timers/promises'
import { countBytes } from './count_bytes.ts'

/** Faults that the stand-in simulates. */
export interface PlatformFaults {
  /** Availability zones whose calls get no response; `*` means every zone. */
  cutZones: string[]
  /** Delay of every response, in milliseconds. */
  slowMs: number
  /** Number of following writes that take effect without a response. */
  loseWriteAnswers: number
}

/** Counts of the calls that the stand-in has served. */
export interface PlatformCounts { reads: number, writes: number, bytes: number }

interface Row { key: string, revision: number, value: unknown }
interface Write { key: string, expectedRevision: number, value: unknown }
interface ListedServer { id: string, service: string, address: string, zone: string, state: string }
interface ListedHost { host: string, zone: string, state: string }
interface Listing { hosts: ListedHost[], servers: ListedServer[] }

/** Options of {@link createPlatform}. */
export interface PlatformOptions {
  /** Delay before a change appears in the host list, in milliseconds. Default: 1500. */
  readonly lagMs?: number
}

/**
 * Creates the stand-in without starting to listen.
 *
 * @param options Delay of the host list.
 * @returns The HTTP server.
 */
export function createPlatform (options: PlatformOptions = {}): FastifyInstance {
  const lagMs = options.lagMs ?? 1500
  const rows = new Map<string, Row>()
  const objects = new Map<string, string>()
  const faults: PlatformFaults = { cutZones: [], slowMs: 0, loseWriteAnswers: 0 }
  const counts: PlatformCounts = { reads: 0, writes: 0, bytes: 0 }
  const hosts = new Map<string, ListedHost>()
  const servers = new Map<string, ListedServer>()
  const history: Array<{ at: number, listing: Listing }> = [{ at: 0, listing: { hosts: [], servers: [] } }]
  let revision = 0
  const app = fastify({ bodyLimit: 64 * 1024 * 1024 })

  app.addHook('onRequest', async (request, reply) => {
    if (request.url.startsWith('/standin')) return
    const zone = String(request.headers['x-zone'] ?? '')
    if (faults.cutZones.includes('*') || faults.cutZones.includes(zone)) {
      reply.hijack()
      request.raw.socket.on('close', () => {})
      return
    }
    if (faults.slowMs > 0) await delay(faults.slowMs)
  })

  app.get<{ Querystring: { key: string } }>('/table/row', async (request, reply) => {
    counts.reads++
    await reply.type('application/json').send(JSON.stringify(rows.get(request.query.key) ?? null))
  })
  app.get<{ Querystring: { prefix: string, since: string } }>('/table/changes', async (request) => {
    counts.reads++
    const since = Number(request.query.since)
    return { revision, rows: [...rows.values()].filter((row) => row.revision > since && row.key.startsWith(request.query.prefix)) }
  })
  app.post<{ Body: { writes: Write[] } }>('/table/write', async (request, reply) => {
    counts.writes++
    const { writes } = request.body
    const current = writes.map((write) => rows.get(write.key)).filter((row) => row !== undefined)
    const hasConflict = writes.some((write) => (rows.get(write.key)?.revision ?? 0) !== write.expectedRevision)
    if (hasConflict) return await reply.code(409).send({ rows: current })
    revision++
    for (const write of writes) rows.set(write.key, { key: write.key, revision, value: write.value })
    if (faults.loseWriteAnswers > 0) {
      faults.loseWriteAnswers--
      reply.hijack()
      request.raw.socket.destroy()
      return
    }
    return { revision }
  })
  app.get<{ Params: { name: string } }>('/objects/:name', async (request, reply) => {
    counts.reads++
    const text = objects.get(request.params.name)
    await (text === undefined ? reply.code(404).send({}) : reply.type('text/plain').send(text))
  })
  app.put<{ Params: { name: string }, Body: string }>('/objects/:name', async (request) => {
    counts.writes++
    objects.set(request.params.name, request.body)
    return {}
  })
  app.get('/hosts', async () => {
    counts.reads++
    const visible = history.filter((entry) => entry.at <= Date.now() - lagMs)
    return (visible[visible.length - 1] ?? history[0])?.listing
  })

  app.post<{ Body: Partial<PlatformFaults> }>('/standin/faults', async (request) => Object.assign(faults, request.body))
  const transferredBytes = countBytes(app.server)
  app.get('/standin/counts', async () => ({ ...counts, bytes: transferredBytes() }))
  app.get('/standin/rows', async () => [...rows.values()])
  app.post<{ Body: { hosts?: ListedHost[], servers?: ListedServer[], gone?: string[] } }>('/standin/hosts', async (request) => {
    for (const host of request.body.hosts ?? []) hosts.set(host.host, host)
    for (const server of request.body.servers ?? []) servers.set(server.id, server)
    for (const gone of request.body.gone ?? []) {
      hosts.delete(gone)
      servers.delete(gone)
    }
    history.push({ at: Date.now(), listing: { hosts: [...hosts.values()], servers: [...servers.values()] } })
    if (history.length > 200) history.splice(0, 100)
    return {}
  })
  return app
}
