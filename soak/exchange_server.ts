/** Stand-in for a backend server without keys, which responds with bodies of any length, turns requests away, loses responses or is slow. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { pause } from './environment.ts'
import type { ExchangeChecker } from './exchange_checker.ts'
import { Guarantees, type GuaranteeName } from './guarantee_checker.ts'
import { summarizeBody } from './raw_caller.ts'
import { Framing, pickBodyFault, resetConnection, writeResponse } from './response_framings.ts'

/** How the servers of a service behave; shares are from 0 to 1. */
export interface ServerBehaviour {
  /** Share of the requests that are turned away before they run. */
  readonly turnedAwayShare: number
  /** Share of the responses that are lost after the request has run. */
  readonly lostShare: number
  /** Share of the requests that take {@link SLOW_WORK_MS}. */
  readonly slowShare: number
  /** Share of the responses that are broken. */
  readonly brokenShare: number
  /** Share of the uploads that get their response before the server has read them. */
  readonly earlyShare: number
  /** Whether bodies may be long; otherwise they have at most {@link SHORT_BYTES}. */
  readonly hasLongBodies: boolean
}

/** Options of {@link createExchangeServer}. */
export interface ExchangeServerOptions {
  readonly id: string
  readonly behaviour: ServerBehaviour
  readonly checker: ExchangeChecker
  readonly reportViolation: (guarantee: GuaranteeName, text: string) => void
  readonly random: () => number
}

/** Lengths of bodies by share of the requests, in bytes: mostly short ones, some longer than a host keeps whole. */
const SHORT_BYTES = 4 * 1024
const KEPT_BYTES = 512 * 1024
const BODY_BYTES = [
  { share: 0.6, minimum: 0, maximum: SHORT_BYTES },
  { share: 0.25, minimum: SHORT_BYTES, maximum: 96 * 1024 },
  { share: 0.05, minimum: 96 * 1024, maximum: KEPT_BYTES },
  { share: 0.1, minimum: KEPT_BYTES, maximum: 2 * 1024 * 1024 }
] as const

/** Processing time of a request, and of a slow one, in milliseconds: longer than a host waits for one attempt. */
const WORK_MS = { minimum: 5, maximum: 40 } as const
const SLOW_WORK_MS = { minimum: 300, maximum: 1300 } as const

/** Share of the responses with status 204. */
const NO_CONTENT_SHARE = 0.06

/** Share of the responses that are written slowly, and the pause between their parts, in milliseconds. */
const SLOWLY_WRITTEN_SHARE = 0.4
const PART_PAUSE_MS = 25

/** Picks the length of a body, in bytes. */
export function pickBodyBytes (random: () => number): number {
  let share = random()
  for (const range of BODY_BYTES) {
    if (share < range.share) return Math.floor(range.minimum + random() * (range.maximum - range.minimum))
    share -= range.share
  }
  return 0
}

/** Creates a server that does not listen yet. */
export function createExchangeServer (options: ExchangeServerOptions): Server {
  const { id, behaviour, checker, random } = options
  const framings = Object.values(Framing)
  let responseCount = 0

  async function respond (response: ServerResponse, { attempt, hasEarlyResponse }: { readonly attempt: string, readonly hasEarlyResponse: boolean }): Promise<void> {
    const signature = `${id}.${++responseCount}`
    const status = random() < NO_CONTENT_SHARE ? 204 : 200
    const length = behaviour.hasLongBodies ? pickBodyBytes(random) : Math.floor(random() * SHORT_BYTES)
    const body = status === 204 ? Buffer.alloc(0) : Buffer.alloc(length, `${signature} for ${attempt};`)
    const framing = framings[Math.floor(random() * framings.length)] ?? Framing.length
    const fault = random() < behaviour.brokenShare ? pickBodyFault(framing, random) : null
    checker.recordResponse(attempt, { signature, status, body: summarizeBody([body]), framing: hasEarlyResponse ? `${framing}, early` : framing, fault })
    const headers = { 'Gooseberryfold-Attempt-Id': attempt, 'Gooseberryfold-Backend-Signature': signature }
    await writeResponse(response, { status, headers, body, framing, fault, partPauseMs: random() < SLOWLY_WRITTEN_SHARE ? PART_PAUSE_MS : 0, random })
  }

  /** Receives the body of a request. Returns whether it is complete. */
  async function receive (request: IncomingMessage, attempt: string): Promise<boolean> {
    const parts: Buffer[] = []
    request.on('data', (part: Buffer) => { parts.push(part) })
    return await new Promise((resolve) => {
      request.on('end', () => {
        checker.recordUpload(attempt, id, summarizeBody(parts))
        resolve(true)
      })
      request.on('close', () => { resolve(false) })
    })
  }

  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const attempt = String(request.headers['gooseberryfold-attempt-id'])
    const notRun = { 'Gooseberryfold-Attempt-Id': attempt, 'Gooseberryfold-Not-Executed': '1' }
    checker.recordArrival(attempt, id)
    const received = receive(request, attempt)
    if (request.headers['gooseberryfold-target-instance'] !== id) {
      response.writeHead(421, notRun).end()
      return
    }
    if (random() < behaviour.turnedAwayShare) {
      response.writeHead(503, notRun).end()
      return
    }
    checker.recordStarted(attempt, id)
    const hasEarlyResponse = random() < behaviour.earlyShare
    if (!hasEarlyResponse && !await received) return
    const work = random() < behaviour.slowShare ? SLOW_WORK_MS : WORK_MS
    await pause(work.minimum + random() * (work.maximum - work.minimum))
    const { socket } = response
    if (socket !== null && random() < behaviour.lostShare) resetConnection(socket)
    else await respond(response, { attempt, hasEarlyResponse })
  }

  const server = createServer((request, response) => {
    request.on('error', () => {})
    response.on('error', () => {})
    handle(request, response).catch((error: unknown) => { options.reportViolation(Guarantees.served, `the stand-in for a backend server failed: ${String(error)}`) })
  })
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    // An end within a request is no other bytes.
    if (error.code?.startsWith('HPE_INVALID') === true && error.code !== 'HPE_INVALID_EOF_STATE') options.reportViolation(Guarantees.onlySentRequests, `${id} gets bytes that are no request: ${error.code}`)
    socket.destroy()
  })
  return server
}
