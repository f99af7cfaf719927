/**
 * Stand-in for a backend server: slots, grants, drain, cold start, shedding,
 * freezing and crashing, and a record of every request that it ran.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { randomUUID } from 'node:crypto'
import { setTimeout as delay } from 'node:timers/promises'
import { countBytes } from './count_bytes.ts'

/** Behaviour of the stand-in; every field can be changed while it runs. */
export interface BackendBehaviour {
  slots: number
  /** Mean processing time of a request, in milliseconds. */
  workMs: number
  checksGrants: boolean
  /** Period after the start in which processing takes three times as long, in milliseconds. */
  coldStartMs: number
  /** Values that the health endpoint reports, independent of the actual state. */
  saysHealthy: boolean
  saysLoad: number
  draining: boolean
  /** A request whose path contains this text crashes the process. */
  crashOn: string
  /** A request whose path contains this text gets a truncated response. */
  cutOn: string
}

/** One request that the stand-in ran. Times are wall-clock milliseconds. */
export interface RunRecord {
  readonly id: string
  readonly method: string
  readonly path: string
  readonly slice: string
  readonly token: string
  readonly startedAt: number
  endedAt: number
  readonly committed: boolean
}

/** Options of {@link createBackendServer}. */
export interface BackendOptions {
  readonly id: string
  readonly behaviour?: Partial<BackendBehaviour>
  /** Called to crash. Default: exits the process. */
  readonly crash?: () => void
}

/** The stand-in and its records. */
export interface BackendServer {
  readonly server: Server
  readonly behaviour: BackendBehaviour
  readonly records: RunRecord[]
}

/** Grant of the stand-in; times are of its own monotonic clock. */
interface GrantState { highestToken: number, ownedSince: Map<number, number>, until: number }

/**
 * Creates the stand-in without starting to listen.
 *
 * @param options Identity and behaviour.
 * @returns The stand-in.
 */
export function createBackendServer (options: BackendOptions): BackendServer {
  const boot = randomUUID()
  const bornAt = performance.now()
  const behaviour: BackendBehaviour = {
    slots: 6,
    workMs: 5,
    checksGrants: true,
    coldStartMs: 0,
    saysHealthy: true,
    saysLoad: 0,
    draining: false,
    crashOn: '',
    cutOn: '',
    ...options.behaviour
  }
  const records: RunRecord[] = []
  const grant: GrantState = { highestToken: 0, ownedSince: new Map(), until: 0 }
  let activeRequests = 0

  function refusalReason (request: IncomingMessage): string | null {
    if (behaviour.draining) return 'draining'
    if (activeRequests >= behaviour.slots) return 'shedding'
    return grantRefusalReason(request)
  }

  function grantRefusalReason (request: IncomingMessage): string | null {
    if (!behaviour.checksGrants) return null
    if (Number(request.headers['gooseberryfold-token']) !== grant.highestToken) return 'stale-token'
    return ownsSince(request, performance.now()) ? null : 'not-owner'
  }

  /** Whether this server has owned the slice of a request without interruption since a time. */
  function ownsSince (request: IncomingMessage, since: number): boolean {
    const slice = request.headers['gooseberryfold-slice']
    if (!behaviour.checksGrants || slice === undefined) return true
    const ownedSince = grant.ownedSince.get(Number(slice))
    return ownedSince !== undefined && ownedSince <= since && performance.now() < grant.until
  }

  function refuse (response: ServerResponse, reason: string): void {
    response.writeHead(503, { 'gooseberryfold-outcome': 'not-run', 'gooseberryfold-reason': reason, 'content-length': 0 })
    response.end()
  }

  async function applyGrant (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = JSON.parse(await readBody(request)) as { token: number, slices?: number[], boot: string, basis: number, duration: number }
    if (body.token < grant.highestToken) {
      response.writeHead(409).end()
      return
    }
    const now = performance.now()
    if (body.slices === undefined && body.token !== grant.highestToken) return sendJson(response, { boot, now })
    const until = body.boot === boot ? body.basis + body.duration : 0
    const previouslyOwnedSince = now < grant.until ? grant.ownedSince : new Map<number, number>()
    grant.until = body.token === grant.highestToken ? Math.max(grant.until, until) : until
    grant.highestToken = body.token
    const slices = body.slices ?? [...grant.ownedSince.keys()]
    grant.ownedSince = new Map(slices.map((slice) => [slice, previouslyOwnedSince.get(slice) ?? now]))
    sendJson(response, { boot, now: performance.now() })
  }

  async function serveRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url ?? '/'
    const reason = refusalReason(request)
    if (reason !== null) {
      request.resume()
      refuse(response, reason)
      return
    }
    if (behaviour.crashOn !== '' && path.includes(behaviour.crashOn)) {
      (options.crash ?? (() => { process.exit(9) }))()
      return
    }
    activeRequests++
    const startedAt = Date.now()
    const monotonicStart = performance.now()
    try {
      let bodyBytes = 0
      for await (const chunk of request) bodyBytes += (chunk as Buffer).length
      const coldStartFactor = performance.now() - bornAt < behaviour.coldStartMs ? 3 : 1
      await delay(behaviour.workMs * coldStartFactor * (0.5 + Math.random()))
      const isStillOwner = ownsSince(request, monotonicStart)
      recordRun(request, { startedAt, committed: isStillOwner })
      if (!isStillOwner) refuse(response, 'grant-ended')
      else sendResponse(request, response, bodyBytes)
    } catch {
      recordRun(request, { startedAt, committed: false })
      response.destroy()
    } finally {
      activeRequests--
    }
  }

  function recordRun (request: IncomingMessage, run: { readonly startedAt: number, readonly committed: boolean }): void {
    records.push({
      id: String(request.headers['gooseberryfold-request-id'] ?? ''),
      method: request.method ?? '',
      path: request.url ?? '',
      slice: String(request.headers['gooseberryfold-slice'] ?? ''),
      token: String(request.headers['gooseberryfold-token'] ?? ''),
      startedAt: run.startedAt,
      endedAt: Date.now(),
      committed: run.committed
    })
  }

  function sendResponse (request: IncomingMessage, response: ServerResponse, bodyBytes: number): void {
    const text = JSON.stringify({ server: options.id, path: request.url, received: bodyBytes })
    const id = String(request.headers['gooseberryfold-request-id'] ?? '')
    const isCut = behaviour.cutOn !== '' && (request.url ?? '').includes(behaviour.cutOn)
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text) + (isCut ? 10 : 0),
      'gooseberryfold-request-id': id,
      'served-by': options.id
    })
    if (isCut) response.write(text, () => response.destroy())
    else response.end(text)
  }

  function sendJson (response: ServerResponse, value: unknown): void {
    const text = JSON.stringify(value)
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
  }

  async function routeRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/.gooseberryfold/grant') return await applyGrant(request, response)
    if (request.url === '/health') return sendJson(response, { healthy: behaviour.saysHealthy, load: behaviour.saysLoad })
    if (request.url === '/standin/traffic') return sendJson(response, { bytes: countTraffic() })
    if (request.url === '/standin/records') return sendJson(response, records)
    if (request.url === '/standin/behaviour') {
      Object.assign(behaviour, JSON.parse(await readBody(request)))
      return sendJson(response, behaviour)
    }
    await serveRequest(request, response)
  }

  const server = createServer((request, response) => {
    routeRequest(request, response).catch(() => { response.destroy() })
  })
  server.keepAliveTimeout = 60_000
  const countTraffic = countBytes(server)
  return { server, behaviour, records }
}

async function readBody (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}
