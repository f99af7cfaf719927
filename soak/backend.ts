/** Stand-in of a backend server: slots, a queue, keys under grants, and the platform's headers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Guarantees, type GuaranteeChecker } from './guarantee_checker.ts'

/** Who holds which probe key, over all servers of a service; finds keys with two holders. */
export interface KeyGrantTracker {
  readonly holders: Map<number, Map<string, { until: number, token: number }>>
  readonly highestTokens: Map<number, { server: string, token: number }>
}

/** Keys that callers use and the book watches. */
export const SOAK_KEYS: readonly number[] = Array.from({ length: 64 }, (_, index) => index * 1021)

/** A backend server. */
export interface SoakBackend {
  readonly id: string
  readonly keyed: boolean
  readonly server: Server
  /** Monotonic time from which on no new request may come, in milliseconds; Infinity while the server is listed as ready. */
  drainDeadline: number
  /** Loses everything that it holds, as a new run of the same server does. */
  reset (): void
}

/** Options of {@link createBackend}. */
export interface BackendOptions {
  readonly id: string
  readonly keyed: boolean
  readonly slots: number
  readonly checker: GuaranteeChecker
  readonly grantTracker: KeyGrantTracker
  readonly random: () => number
}

/** Requests that wait at a server besides those that run. */
const QUEUE = 16

/** Work of a request, in milliseconds. */
const WORK_MS = { least: 5, most: 40 } as const

/** A server's clock may run 2 % slow. */
const CLOCK_DRIFT = 1.02

/** How long two servers may hold a key for reasons that the pages exempt, in milliseconds. */
const OVERLAP_MS = 500

/** Creates an empty book. */
export function createKeyGrantTracker (): KeyGrantTracker {
  return { holders: new Map(SOAK_KEYS.map((key) => [key, new Map()])), highestTokens: new Map() }
}

/**
 * Creates a server; the caller makes it listen.
 *
 * @param options Identity and what is recorded.
 * @returns The server.
 */
export function createBackend (options: BackendOptions): SoakBackend {
  const { id, checker: record, grantTracker: book } = options
  const now = (): number => performance.now()
  const seen = new Map<number, number>()
  const running = new Map<number, number>()
  const waiting: Array<() => void> = []
  let busy = 0

  function keysIn (from: number, to: number): number[] {
    return SOAK_KEYS.filter((key) => key >= from && key <= to)
  }

  function holds (key: number): boolean {
    return (book.holders.get(key)?.get(id)?.until ?? 0) > now()
  }

  function checkAlone (key: number): void {
    for (const [other, hold] of book.holders.get(key) ?? []) {
      if (other !== id && hold.until > now() + OVERLAP_MS) record.reportViolation(Guarantees.oneOwner, `key ${key} is held by ${other} and granted to ${id}`)
    }
  }

  function grant (call: { readonly From: number, readonly Target: number, readonly fence: number, readonly Hold: string }): number {
    const keys = keysIn(call.From, call.Target)
    if (keys.some((key) => call.fence < (seen.get(key) ?? 0))) return 409
    for (const key of keys) {
      checkAlone(key)
      const top = book.highestTokens.get(key)
      if (top !== undefined && top.server !== id && call.fence <= top.token) record.reportViolation(Guarantees.tokensRise, `${id} takes key ${key} with ${call.fence}, ${top.server} had ${top.token}`)
      if (call.fence > (top?.token ?? 0)) book.highestTokens.set(key, { server: id, token: call.fence })
      seen.set(key, call.fence)
      book.holders.get(key)?.set(id, { until: now() + Number.parseInt(call.Hold) * CLOCK_DRIFT, token: call.fence })
    }
    return 200
  }

  async function release (call: { readonly From: number, readonly Target: number }): Promise<void> {
    const keys = keysIn(call.From, call.Target)
    for (const key of keys) book.holders.get(key)?.delete(id)
    while (keys.some((key) => (running.get(key) ?? 0) > 0)) await new Promise((resolve) => { setTimeout(resolve, 5) })
  }

  async function takeSlot (): Promise<boolean> {
    if (busy < options.slots) {
      busy++
      return true
    }
    if (waiting.length >= QUEUE) return false
    await new Promise<void>((resolve) => { waiting.push(resolve) })
    return true
  }

  function freeSlot (): void {
    const next = waiting.shift()
    if (next === undefined) busy--
    else next()
  }

  async function run (request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
    const attempt = String(request.headers['gooseberryfold-attempt-id'])
    const key = Number(request.headers['gooseberryfold-shard-key'])
    const notRun = { 'Gooseberryfold-Attempt-Id': attempt, 'Gooseberryfold-Not-Executed': '1' }
    if (request.headers['gooseberryfold-target-instance'] !== id || (options.keyed && !holds(key))) {
      response.writeHead(421, notRun).end()
      return
    }
    if (!await takeSlot()) {
      response.writeHead(503, notRun).end()
      return
    }
    try {
      if (response.destroyed) return
      if (now() > backend.drainDeadline) record.reportViolation(Guarantees.leaving, `${id} gets ${attempt} ${Math.round(now() - backend.drainDeadline)} ms after the bound`)
      record.recordStarted(attempt, id, body)
      running.set(key, (running.get(key) ?? 0) + 1)
      await new Promise((resolve) => { setTimeout(resolve, WORK_MS.least + options.random() * (WORK_MS.most - WORK_MS.least)) })
      running.set(key, (running.get(key) ?? 1) - 1)
      response.writeHead(200, { 'Gooseberryfold-Attempt-Id': attempt, 'Gooseberryfold-Backend-Signature': `signed-${id}` }).end(`done ${attempt}`)
    } finally {
      freeSlot()
    }
  }

  async function handle (request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
    if (request.url === '/-/grant' || request.url === '/-/release') {
      if (request.headers['gooseberryfold-target-instance'] !== id) response.writeHead(421)
      else if (request.url === '/-/grant') response.writeHead(grant(JSON.parse(body) as Parameters<typeof grant>[0]))
      else await release(JSON.parse(body) as Parameters<typeof release>[0])
      response.end()
      return
    }
    await run(request, response, body)
  }

  const backend: SoakBackend = {
    id,
    keyed: options.keyed,
    drainDeadline: Infinity,
    server: createServer((request, response) => {
      const parts: Buffer[] = []
      request.on('data', (part: Buffer) => { parts.push(part) })
      request.on('error', () => {})
      request.on('end', () => { handle(request, response, Buffer.concat(parts).toString()).catch((error: unknown) => { record.reportViolation(Guarantees.served, `the stand-in failed: ${String(error)}`) }) })
    }),
    reset () {
      for (const holders of book.holders.values()) holders.delete(id)
      seen.clear()
    }
  }
  return backend
}
