/**
 * Stand-in of a backend server: slots, grants, drain, cold start, shedding,
 * freezing and crashing, and a record of every request it ran.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { randomUUID } from 'node:crypto'
import { setTimeout as delay } from 'node:timers/promises'
import { countBytes } from './count_bytes.ts'

/** How the stand-in behaves; every field can be changed while it runs. */
export interface BackendBehaviour {
  slots: number
  /** Mean time of work on a request, in milliseconds. */
  workMs: number
  checksGrants: boolean
  /** Work takes three times as long in the first this many milliseconds. */
  coldStartMs: number
  /** What the health and load endpoints say, whatever is true. */
  saysHealthy: boolean
  saysLoad: number
  draining: boolean
  /** Requests whose path holds this text crash the process. */
  crashOn: string
  /** Requests whose path holds this text get an answer that is cut short. */
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
  /** What a crash does. Default: ends the process. */
  readonly crash?: () => void
}

/** The stand-in and its records. */
export interface BackendServer {
  readonly server: Server
  readonly behaviour: BackendBehaviour
  readonly records: RunRecord[]
}

/** Grant of the stand-in, on its own monotonic clock. */
interface GrantState { highest: number, ownedSince: Map<number, number>, until: number }

/**
 * Creates the stand-in; the caller makes it listen.
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
  const grant: GrantState = { highest: 0, ownedSince: new Map(), until: 0 }
  let busy = 0

  function refusal (request: IncomingMessage): string | null {
    if (behaviour.draining) return 'draining'
    if (busy >= behaviour.slots) return 'shedding'
    return grantRefusal(request)
  }

  function grantRefusal (request: IncomingMessage): string | null {
    if (!behaviour.checksGrants) return null
    if (Number(request.headers['gooseberryfold-token']) !== grant.highest) return 'stale-token'
    return ownsSince(request, performance.now()) ? null : 'not-owner'
  }

  /** Whether the slice of a request has been owned without a gap since a time. */
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

  async function takeGrant (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = JSON.parse(await readBody(request)) as { token: number, slices?: number[], boot: string, basis: number, duration: number }
    if (body.token < grant.highest) {
      response.writeHead(409).end()
      return
    }
    const now = performance.now()
    if (body.slices === undefined && body.token !== grant.highest) return sendJson(response, { boot, now })
    const until = body.boot === boot ? body.basis + body.duration : 0
    const kept = now < grant.until ? grant.ownedSince : new Map<number, number>()
    grant.until = body.token === grant.highest ? Math.max(grant.until, until) : until
    grant.highest = body.token
    const slices = body.slices ?? [...grant.ownedSince.keys()]
    grant.ownedSince = new Map(slices.map((slice) => [slice, kept.get(slice) ?? now]))
    sendJson(response, { boot, now: performance.now() })
  }

  async function work (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url ?? '/'
    const refused = refusal(request)
    if (refused !== null) {
      request.resume()
      refuse(response, refused)
      return
    }
    if (behaviour.crashOn !== '' && path.includes(behaviour.crashOn)) {
      (options.crash ?? (() => { process.exit(9) }))()
      return
    }
    busy++
    const startedAt = Date.now()
    const begunAt = performance.now()
    try {
      let size = 0
      for await (const chunk of request) size += (chunk as Buffer).length
      const cold = performance.now() - bornAt < behaviour.coldStartMs ? 3 : 1
      await delay(behaviour.workMs * cold * (0.5 + Math.random()))
      const isStillOwner = ownsSince(request, begunAt)
      note(request, { startedAt, committed: isStillOwner })
      if (!isStillOwner) refuse(response, 'grant-ended')
      else answer(request, response, size)
    } catch {
      note(request, { startedAt, committed: false })
      response.destroy()
    } finally {
      busy--
    }
  }

  function note (request: IncomingMessage, run: { readonly startedAt: number, readonly committed: boolean }): void {
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

  function answer (request: IncomingMessage, response: ServerResponse, size: number): void {
    const text = JSON.stringify({ server: options.id, path: request.url, received: size })
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

  async function control (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/.gooseberryfold/grant') return await takeGrant(request, response)
    if (request.url === '/health') return sendJson(response, { healthy: behaviour.saysHealthy, load: behaviour.saysLoad })
    if (request.url === '/standin/traffic') return sendJson(response, { bytes: traffic() })
    if (request.url === '/standin/records') return sendJson(response, records)
    if (request.url === '/standin/behaviour') {
      Object.assign(behaviour, JSON.parse(await readBody(request)))
      return sendJson(response, behaviour)
    }
    await work(request, response)
  }

  const server = createServer((request, response) => {
    control(request, response).catch(() => { response.destroy() })
  })
  server.keepAliveTimeout = 60_000
  const traffic = countBytes(server)
  return { server, behaviour, records }
}

async function readBody (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}
