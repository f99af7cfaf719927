/** Stand-in for a backend server, with slots, a queue, granted keys and the platform's headers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { FATAL_HEADER } from './fatal_header.ts'
import { Guarantees, type GuaranteeChecker } from './guarantee_checker.ts'
import { sendSpoiledResponse, SPOILED_SHARE, type ResponseFault } from './spoiled_responses.ts'

/** Tracks the grants of {@link SOAK_KEYS} over all servers of a service, to find keys with two holders. */
export interface KeyGrantTracker {
  /** Servers that hold a key, with the end and the fencing token of each grant. */
  readonly holders: Map<number, Map<string, { until: number, token: number }>>
  /** Highest fencing token that any server has accepted for a key. */
  readonly highestTokens: Map<number, { server: string, token: number }>
}

/** Keys that callers request and whose grants are tracked. */
export const SOAK_KEYS: readonly number[] = Array.from({ length: 64 }, (_, index) => index * 1021)

/** A backend server. */
export interface SoakBackend {
  readonly id: string
  readonly keyed: boolean
  readonly server: Server
  /** Monotonic time after which the server must get no new requests, in milliseconds; Infinity while the server is listed as ready. */
  drainDeadline: number
  /** Monotonic time after which the server must get no requests since its zone is evacuated, in milliseconds; Infinity while it is not. */
  evacuationDeadline: number
  /** Whether it says in its responses that it is leaving. */
  saysLeaving: boolean
  /** How it spoils some of its responses; `null` if it does not. */
  responseFault: ResponseFault | null
  /** Requests per second that it names as its limit; `null` if it names none. */
  limitPerSecond: number | null
  /** Times at which requests arrived since the limit was set; monotonic time in milliseconds. */
  arrivals: number[]
  /** Share of requests that take {@link LONG_WORK_MS}, from 0 to 1. */
  longWorkShare: number
  /** Whether a request of a caller that has left for long is a violation: without other faults only. */
  checksCallersLeft: boolean
  /** Whether its process has ended: what had reached it by then has no effect any more. */
  hasEnded: boolean
  /** Called with the name of a fatal request that starts to run; `null` if there are none. */
  onFatal: ((request: string) => void) | null
  /** Discards all grants and tokens, as a restart of the server does. */
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
  /** Decides which responses a faulty server spoils. */
  readonly spoilRandom: () => number
}

/** Maximum number of requests that wait at a server, without those that run. */
const QUEUE_LENGTH = 16

/** Processing time of a request, in milliseconds. */
const WORK_MS = { minimum: 5, maximum: 40 } as const

/** Processing time of a long request, in milliseconds: most of its timeout. */
export const LONG_WORK_MS = 1000

/** Length of the body of a response that a path asks for, in bytes. */
const BODY_BYTES = /\?bytes=(\d+)$/

/** Factor by which a server extends its grants: its clock may run 2 % slow. */
const CLOCK_DRIFT_FACTOR = 1.02

/** Time after its caller has left from which a server must get no request, in milliseconds. */
const CALLER_LEFT_BOUND_MS = 500

/** Time for which two servers may hold the same key, in milliseconds, in the cases that the documentation exempts. */
const EXEMPT_OVERLAP_MS = 500

/** Creates a tracker without grants. */
export function createKeyGrantTracker (): KeyGrantTracker {
  return { holders: new Map(SOAK_KEYS.map((key) => [key, new Map()])), highestTokens: new Map() }
}

/**
 * Creates a backend server that does not listen yet.
 *
 * @param options Identity, capacity, checker and grant tracker.
 * @returns The server.
 */
export function createBackend (options: BackendOptions): SoakBackend {
  const { id, checker, grantTracker } = options
  const now = (): number => performance.now()
  const acceptedTokens = new Map<number, number>()
  const runningRequests = new Map<number, number>()
  const waiting: Array<() => void> = []
  let usedSlots = 0

  function keysIn (from: number, to: number): number[] {
    return SOAK_KEYS.filter((key) => key >= from && key <= to)
  }

  function isKeyGranted (key: number): boolean {
    return (grantTracker.holders.get(key)?.get(id)?.until ?? 0) > now()
  }

  function checkSingleHolder (key: number): void {
    for (const [other, otherGrant] of grantTracker.holders.get(key) ?? []) {
      if (other !== id && otherGrant.until > now() + EXEMPT_OVERLAP_MS) checker.reportViolation(Guarantees.oneOwner, `key ${key} is held by ${other} and granted to ${id}`)
    }
  }

  function grant (call: { readonly From: number, readonly Target: number, readonly fence: number, readonly Hold: string }): number {
    const keys = keysIn(call.From, call.Target)
    if (keys.some((key) => call.fence < (acceptedTokens.get(key) ?? 0))) return 409
    for (const key of keys) {
      checkSingleHolder(key)
      const highest = grantTracker.highestTokens.get(key)
      if (highest !== undefined && highest.server !== id && call.fence <= highest.token) checker.reportViolation(Guarantees.tokensRise, `${id} accepts key ${key} with token ${call.fence}, but ${highest.server} had token ${highest.token}`)
      if (call.fence > (highest?.token ?? 0)) grantTracker.highestTokens.set(key, { server: id, token: call.fence })
      acceptedTokens.set(key, call.fence)
      grantTracker.holders.get(key)?.set(id, { until: now() + Number.parseInt(call.Hold) * CLOCK_DRIFT_FACTOR, token: call.fence })
    }
    return 200
  }

  async function release (call: { readonly From: number, readonly Target: number }): Promise<void> {
    const keys = keysIn(call.From, call.Target)
    for (const key of keys) grantTracker.holders.get(key)?.delete(id)
    while (keys.some((key) => (runningRequests.get(key) ?? 0) > 0)) await new Promise((resolve) => { setTimeout(resolve, 5) })
  }

  async function takeSlot (): Promise<boolean> {
    if (usedSlots < options.slots) {
      usedSlots++
      return true
    }
    if (waiting.length >= QUEUE_LENGTH) return false
    await new Promise<void>((resolve) => { waiting.push(resolve) })
    return true
  }

  function freeSlot (): void {
    const next = waiting.shift()
    if (next === undefined) usedSlots--
    else next()
  }

  async function run (request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
    const attempt = String(request.headers['gooseberryfold-attempt-id'])
    const key = Number(request.headers['gooseberryfold-shard-key'])
    backend.arrivals.push(now())
    const stated: Readonly<Record<string, string>> = { ...backend.limitPerSecond === null ? {} : { 'Server-Limit': String(backend.limitPerSecond) }, ...backend.saysLeaving ? { 'Server-Leaving': '1' } : {} }
    const notRun = { 'Gooseberryfold-Attempt-Id': attempt, 'Gooseberryfold-Not-Executed': '1', ...stated }
    if (backend.checksCallersLeft && checker.leftSinceMs(attempt) > CALLER_LEFT_BOUND_MS) checker.reportViolation(Guarantees.callersLeft, `${id} gets ${attempt} ${Math.round(checker.leftSinceMs(attempt))} ms after its caller left`)
    if (request.headers['gooseberryfold-target-instance'] !== id || (options.keyed && !isKeyGranted(key))) {
      response.writeHead(421, notRun).end()
      return
    }
    if (!await takeSlot()) {
      response.writeHead(503, notRun).end()
      return
    }
    try {
      if (response.destroyed) return
      if (now() > backend.drainDeadline) checker.reportViolation(Guarantees.leaving, `${id} gets ${attempt} ${Math.round(now() - backend.drainDeadline)} ms after the drain deadline`)
      if (now() > backend.evacuationDeadline) checker.reportViolation(Guarantees.evacuated, `${id} gets ${attempt} ${Math.round(now() - backend.evacuationDeadline)} ms after the bound`)
      checker.recordStarted(attempt, id, body)
      const fatal = request.headers[FATAL_HEADER]
      if (fatal !== undefined) {
        backend.onFatal?.(String(fatal))
        return await new Promise<void>((resolve) => { response.on('close', resolve) })
      }
      runningRequests.set(key, (runningRequests.get(key) ?? 0) + 1)
      const workMs = backend.longWorkShare > 0 && options.random() < backend.longWorkShare ? LONG_WORK_MS : WORK_MS.minimum + options.random() * (WORK_MS.maximum - WORK_MS.minimum)
      await new Promise((resolve) => { setTimeout(resolve, workMs) })
      runningRequests.set(key, (runningRequests.get(key) ?? 1) - 1)
      const headers = { 'Gooseberryfold-Attempt-Id': attempt, 'Gooseberryfold-Backend-Signature': `signed-${id}`, ...stated }
      if (backend.responseFault !== null && options.spoilRandom() < SPOILED_SHARE) sendSpoiledResponse(response, backend.responseFault, { headers, body: `done ${attempt}` })
      else response.writeHead(200, headers).end(`done ${attempt}`.padEnd(Number(BODY_BYTES.exec(request.url ?? '')?.[1] ?? 0)))
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
    evacuationDeadline: Infinity,
    saysLeaving: false,
    responseFault: null,
    limitPerSecond: null,
    arrivals: [],
    longWorkShare: 0,
    checksCallersLeft: false,
    onFatal: null,
    hasEnded: false,
    server: createServer((request, response) => {
      const parts: Buffer[] = []
      request.on('data', (part: Buffer) => { parts.push(part) })
      request.on('error', () => {})
      request.on('end', () => {
        if (backend.hasEnded) {
          response.destroy()
          return
        }
        handle(request, response, Buffer.concat(parts).toString()).catch((error: unknown) => { checker.reportViolation(Guarantees.served, `the stand-in for a backend server failed: ${String(error)}`) })
      })
    }),
    reset () {
      for (const holders of grantTracker.holders.values()) holders.delete(id)
      acceptedTokens.clear()
    }
  }
  return backend
}
