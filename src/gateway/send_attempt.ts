/** Sends a request to one backend server and says, truthfully, what became of it. */
import { request as startRequest, type Agent, type ClientRequest, type IncomingMessage } from 'node:http'
import type { RoutedServer } from '../routing/mod.ts'
import type { HeaderNames } from './header_names.ts'
import { RelayHeader, RelayRefusal } from './relay_selector.ts'

/** A request as it goes to a server. */
export interface Attempt {
  readonly server: RoutedServer
  readonly id: string
  readonly method: string
  readonly path: string
  /** Headers as name, value, name, value. */
  readonly headers: readonly string[]
  /** The whole body, or the caller's stream where it is too long to keep. */
  readonly body: Buffer | IncomingMessage | null
  readonly deadlineMs: number
  readonly signal: AbortSignal
  /** The relay to send through, and the latency goal that it is told; without one the request goes to the server. */
  readonly relay?: { readonly address: string, readonly goalMs: number }
}

/** What became of an attempt. */
export type AttemptOutcome =
  /** The server's own answer, whole; `framed` is false where only the end of the connection marked its end. */
  | { readonly kind: 'answer', readonly isFramed: boolean, readonly status: number, readonly headers: readonly string[], readonly body: Buffer }
  /** The server's own answer, of which only the beginning has come yet. */
  | { readonly kind: 'stream', readonly status: number, readonly headers: readonly string[], readonly start: Buffer, readonly rest: IncomingMessage }
  /** The server, or its relay, says that the request was not run; `roomAfterMs` is set where a relay knows that the server is full. */
  | { readonly kind: 'not-run', readonly status: number, readonly misdirected: boolean, readonly roomAfterMs?: number }
  /** No connection could be made; nothing was sent. `atRelay` where the server itself has not been tried. */
  | { readonly kind: 'unsent', readonly detail: string, readonly refused: boolean, readonly atRelay?: boolean }
  /** The request was sent and may have run. */
  | { readonly kind: 'lost', readonly detail: string, readonly aborted: boolean }

/** Options of {@link sendAttempt}. */
export interface SendAttemptOptions {
  readonly agent: Agent
  readonly names: HeaderNames
  /** Time to make a connection, in milliseconds. Default: 400, many round trips within a region. */
  readonly connectTimeoutMs?: number
}

/** Longest answer that is read whole before it is passed on, in bytes; one that breaks off before can be asked for again. */
const WHOLE_ANSWER_BYTES = 512 * 1024

/**
 * Sends a request.
 *
 * @param attempt The request and its server.
 * @param options Agent and names of headers.
 * @returns What became of it; never throws.
 */
export function sendAttempt (attempt: Attempt, options: SendAttemptOptions): Promise<AttemptOutcome> {
  return new Promise((resolve) => {
    const { names } = options
    const { relay: via } = attempt
    const [host, port] = (via?.address ?? attempt.server.address).split(':')
    const headers = [...attempt.headers, names.deadlineMs, String(Math.max(1, Math.floor(attempt.deadlineMs))), names.targetServer, attempt.server.id]
    if (Buffer.isBuffer(attempt.body)) headers.push('Content-Length', String(attempt.body.length))
    else if (attempt.body !== null) headers.push(...framing(attempt.body))
    if (via !== undefined) headers.push(RelayHeader.goalMs, String(via.goalMs))
    let connected = false
    let settled = false
    const request = startRequest({ agent: options.agent, host, port, method: attempt.method, path: attempt.path, headers: headers as unknown as Record<string, string>, setHost: false })
    const connectTimer = setTimeout(() => { if (!connected) request.destroy(new Error('No connection in time')) }, options.connectTimeoutMs ?? 400)

    function settle (outcome: AttemptOutcome): void {
      if (settled) return
      settled = true
      clearTimeout(connectTimer)
      attempt.signal.removeEventListener('abort', abort)
      resolve(outcome)
    }
    function abort (): void {
      settle(connected ? { kind: 'lost', detail: 'The router gave up', aborted: true } : { kind: 'unsent', detail: 'The router gave up', refused: false })
      // Without a reset, what a partition holds up would still reach the server later.
      if (connected) request.socket?.resetAndDestroy()
      request.destroy()
    }

    request.on('error', (error: NodeJS.ErrnoException) => {
      settle(connected ? { kind: 'lost', detail: error.message, aborted: false } : { kind: 'unsent', detail: error.message, refused: error.code === 'ECONNREFUSED', ...(via === undefined ? {} : { atRelay: true }) })
    })
    attempt.signal.addEventListener('abort', abort)
    if (attempt.signal.aborted) return abort()
    request.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', () => { connected = true; clearTimeout(connectTimer) })
      else connected = true
    })
    request.on('response', (response) => {
      // After the attempt is settled, a streamed answer that breaks off is noticed by its end.
      response.on('error', (error) => { settle({ kind: 'lost', detail: error.message, aborted: false }) })
      const refusal = via === undefined ? null : readRefusal(response)
      if (refusal !== null) {
        settle(refusal)
        response.resume()
        return
      }
      const unusable = describeUnusable(response, attempt.id, names)
      if (unusable !== null) {
        settle({ kind: 'lost', detail: unusable, aborted: false })
        request.destroy()
        return
      }
      if (response.headers[names.notRun] !== undefined || response.statusCode === 421) {
        settle({ kind: 'not-run', status: response.statusCode ?? 0, misdirected: response.statusCode === 421 })
        response.resume()
        return
      }
      readAnswer(request, response, settle)
    })
    if (attempt.body === null || Buffer.isBuffer(attempt.body)) request.end(attempt.body ?? undefined)
    else attempt.body.pipe(request)
  })
}

function framing (body: IncomingMessage): string[] {
  const length = body.headers['content-length']
  return length === undefined ? ['Transfer-Encoding', 'chunked'] : ['Content-Length', length]
}

/** What a relay says where it did not pass the request on; `null` where the answer is the server's. */
function readRefusal (response: IncomingMessage): AttemptOutcome | null {
  const refusal = response.headers[RelayHeader.refusal]
  if (refusal === undefined) return null
  if (refusal === RelayRefusal.full) return { kind: 'not-run', status: 503, misdirected: false, roomAfterMs: Number(response.headers[RelayHeader.roomAfterMs] ?? 0) }
  if (refusal === RelayRefusal.leaving) return { kind: 'unsent', detail: 'The server is about to leave', refused: false }
  return { kind: 'unsent', detail: `The relay refused: ${String(refusal)}`, refused: false, atRelay: true }
}

/** Why an answer cannot be the server's own answer to this attempt; `null` where it can. */
function describeUnusable (response: IncomingMessage, id: string, names: HeaderNames): string | null {
  const echoed = response.headers[names.attemptId]
  if (echoed !== undefined && echoed !== id) return `The answer belongs to attempt ${String(echoed)}`
  const status = response.statusCode ?? 0
  if (response.headers[names.notRun] !== undefined || status === 421) return null
  if (echoed === undefined) return `The answer with status ${status} names no attempt`
  if (response.headers[names.signature] === undefined) return `The answer with status ${status} bears no signature`
  if (response.headers['content-encoding'] !== undefined) return 'The answer has a content encoding'
  return null
}

function readAnswer (request: ClientRequest, response: IncomingMessage, settle: (outcome: AttemptOutcome) => void): void {
  const status = response.statusCode ?? 0
  const { socket } = response
  // An answer without a length ends with its connection, whole only if that was closed and not reset.
  const isFramed = response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined
  const parts: Buffer[] = []
  let bytes = 0
  function onData (part: Buffer): void {
    parts.push(part)
    bytes += part.length
    if (bytes <= WHOLE_ANSWER_BYTES) return
    response.pause()
    response.off('data', onData)
    settle({ kind: 'stream', status, headers: response.rawHeaders, start: Buffer.concat(parts), rest: response })
  }
  response.on('data', onData)
  function onWhole (): void {
    settle({ kind: 'answer', isFramed: isFramed, status, headers: response.rawHeaders, body: Buffer.concat(parts) })
  }
  response.on('end', () => {
    if (isFramed) return onWhole()
    if (!request.writableFinished) return settle({ kind: 'lost', detail: 'The connection ended before the request was sent', aborted: false })
    if (socket.closed) return socket.errored === null ? onWhole() : settle({ kind: 'lost', detail: 'The connection was reset', aborted: false })
    socket.once('close', (hadError) => {
      if (hadError) settle({ kind: 'lost', detail: 'The connection was reset', aborted: false })
      else onWhole()
    })
  })
  response.on('close', () => {
    if (!response.complete) settle({ kind: 'lost', detail: 'The answer broke off', aborted: false })
  })
}
