/** Sends a request to one backend server and reports whether it has run, has not run, or may have run. */
import { request as startRequest, type Agent, type ClientRequest, type IncomingMessage } from 'node:http'
import { pipeline } from 'node:stream'
import { createBodyBlocks, describeInvalidStatus, resetConnection, tryStart, watchInterimResponses } from '../http_call/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import type { RequestBody, StreamedBody } from './body_reader.ts'
import type { HeaderNames } from './header_names.ts'
import { pollConnections } from './poll_connections.ts'
import { hasAnsweredAttempt, recordAnsweredAttempt } from './_answered_attempts.ts'
import { OVERDUE_STATUS, RelayHeader, RelayRefusal } from './relay_selector.ts'
import type { RequestLimits } from './request_limits.ts'
import { openResponseBody, type ResponseBody } from './response_body.ts'
import { BodyEnd, BodyFraming, type BodyMark, type PartialBody } from './response_body_record.ts'
import type { ResponseAccount } from './response_memory.ts'
import type { ServerStatements } from './server_statements.ts'

/** Relay that a request is sent through, and what it needs to admit the request; times are in milliseconds. */
export interface RelayTerms {
  readonly address: string
  readonly priority: number
  /** Latency goal of the route. */
  readonly goalMs: number
  /** Time until the goal has passed, counted from the caller's first attempt; may be negative. */
  readonly goalRemainingMs: number
  readonly callerRemainingMs: number
  /** Whether a response can no longer arrive within the latency goal. */
  readonly isLate: boolean
  /** Servers that have already got the request. */
  readonly triedServers: ReadonlySet<string>
  /** Whether the relay should report a server that does not respond in time, since the request may be sent to another one. */
  readonly isRepeatable: boolean
}

/** A request that is sent to one server. */
export interface Attempt {
  readonly server: RoutedServer
  readonly id: string
  readonly method: string
  readonly path: string
  /** Headers as alternating names and values. */
  readonly headers: readonly string[]
  readonly body: RequestBody
  /** What this host keeps of the response. */
  readonly memory: ResponseAccount
  readonly deadlineMs: number
  readonly signal: AbortSignal
  /** Relay that the request is sent through; if absent, the request goes to the server directly. */
  readonly relay?: RelayTerms
}

/** Outcome of an attempt. */
export type AttemptOutcome =
  /** Complete response of the server; `mark` is how its end was marked here, `serverFraming` how the server had marked it. */
  | { readonly kind: 'answer', readonly mark: BodyMark, readonly serverFraming: BodyFraming, readonly status: number, readonly headers: readonly string[], readonly body: Buffer }
  /** Response of the server of which only the beginning, `start`, has been received. */
  | { readonly kind: 'stream', readonly mark: BodyMark, readonly serverFraming: BodyFraming, readonly status: number, readonly headers: readonly string[], readonly start: Buffer, readonly rest: ResponseBody }
  /** The server reports that it has not run the request; `roomAfterMs` is set if its relay counts it as full, and is the time after which the caller may return. */
  | { readonly kind: 'not-run', readonly status: number, readonly misdirected: boolean, readonly roomAfterMs?: number }
  /** The relay reports that the server is full or has reached its limit (`isOverLimit`), or that servers end under the request (`isFatal`). `isUnsent` is whether it has certainly not sent the request to the server. `roomAfterMs` is the time after which the caller may return. */
  | { readonly kind: 'not-admitted', readonly isUnsent: boolean, readonly roomAfterMs: number, readonly isOverLimit?: boolean, readonly isFatal?: boolean }
  /** The request has not been sent to the server. `atRelay` is set if the relay failed before the server was tried, `isRelayIsolated` if it reaches no server, `wasConnected` if the connection was closed after it had been established, `isEvacuated` if the zone of the server was evacuated before the request could be sent, `wasAborted` if the router gave up before there was a connection. */
  | { readonly kind: 'unsent', readonly detail: string, readonly refused: boolean, readonly isEvacuated?: boolean, readonly atRelay?: boolean, readonly wasConnected?: boolean, readonly wasAborted?: boolean, readonly isRelayIsolated?: boolean }
  /** The request was sent and may have run. `isReset` is whether its connection was reset, so that nothing shows that the server responds. `partialBody` is set if a response of the server had begun. */
  | { readonly kind: 'lost', readonly detail: string, readonly aborted: boolean, readonly isReset?: boolean, readonly partialBody?: PartialBody }

/** Options of {@link sendAttempt}. */
export interface SendAttemptOptions {
  readonly agent: Agent
  readonly names: HeaderNames
  /** Records the limits that servers state in their responses. */
  readonly limits: Pick<RequestLimits, 'record'>
  /** Records the load that servers state in their responses. Default: it is not recorded. */
  readonly statements?: Pick<ServerStatements, 'record'>
  /** Finds the server that a relay has sent the request to. Default: none is known. */
  readonly serverOf?: (id: string) => RoutedServer | undefined
  /** Called with the server that a relay has sent the request to, if that is another one than the attempt names. Default: no callback. */
  readonly onServer?: (id: string) => void
  /** Called when a response shows that the server is leaving. Default: no callback. */
  readonly onLeaving?: (server: RoutedServer) => void
  /** Called when the relay reports that the server does not respond in time. Default: no callback. */
  readonly onOverdue?: () => void
  /** Called when a response of the server has begun. Default: no callback. */
  readonly onResponse?: () => void
  /** Whether the server's zone is evacuated; checked just before the request is sent. Default: never. */
  readonly isEvacuated?: (server: RoutedServer) => boolean
  /** Timeout for connecting, in milliseconds. Default: 400, many round trips within a region. */
  readonly connectTimeoutMs?: number
}

/** Maximum length of the body of a refusal, in bytes, and the time in which it must end, in milliseconds; then its connection is closed. */
const MAXIMUM_REFUSAL_BYTES = 16 * 1024
const REFUSAL_BODY_MS = 300

/**
 * Sends a request.
 *
 * @param attempt The request and its server.
 * @param options Agent and header names.
 * @returns The outcome; never rejects.
 */
export async function sendAttempt (attempt: Attempt, options: SendAttemptOptions): Promise<AttemptOutcome> {
  return await sendOnConnection(attempt, options, options.agent) ?? await sendOnConnection(attempt, options, false) ?? { kind: 'unsent', detail: 'A new connection had been used before', refused: false }
}

/** Sends a request on a connection of the agent, or on a new one if it is `false`; returns `null` if nothing was sent, because a response could not be attributed on that connection. */
function sendOnConnection (attempt: Attempt, options: SendAttemptOptions, agent: Agent | false): Promise<AttemptOutcome | null> {
  return new Promise((resolve) => {
    const { names } = options
    const { relay } = attempt
    const [host, port] = (relay?.address ?? attempt.server.address).split(':')
    const headers = [...attempt.headers, names.deadlineMs, String(Math.max(1, Math.floor(attempt.deadlineMs))), names.targetServer, attempt.server.id]
    if (Buffer.isBuffer(attempt.body)) headers.push('Content-Length', String(attempt.body.length))
    else if (attempt.body !== null) headers.push(...framingHeaders(attempt.body))
    if (relay !== undefined) headers.push(...relayHeaders(relay))
    /** Whether the connection is established; a request that fails then shows that its address responds. */
    let connected = false
    /** Whether the request has been handed to the connection. */
    let sent = false
    /** When that was; monotonic time in milliseconds. */
    let sentAt = 0
    let settled = false
    let responseBody: ResponseBody | null = null
    const started = tryStart(() => startRequest({ agent, host, port, method: attempt.method, path: attempt.path, headers: headers as unknown as Record<string, string>, setHost: false }))
    if (started instanceof Error) return resolve({ kind: 'unsent', detail: started.message, refused: false })
    const request = started
    const connectTimer = setTimeout(() => { if (!connected) request.destroy(new Error('Connection timed out')) }, options.connectTimeoutMs ?? 400)

    function settle (outcome: AttemptOutcome | null): void {
      if (settled) return
      settled = true
      clearTimeout(connectTimer)
      attempt.signal.removeEventListener('abort', abort)
      resolve(outcome?.kind === 'lost' && responseBody !== null ? { ...outcome, partialBody: { ...responseBody.mark, receivedBytes: responseBody.receivedBytes() } } : outcome)
    }
    function abort (): void {
      settle(sent ? { kind: 'lost', detail: 'The router aborted the attempt', aborted: true } : { kind: 'unsent', detail: 'The router aborted the attempt', refused: false, wasAborted: true })
      // Without a reset, data delayed by a partition would still reach the server later.
      if (sent && request.socket !== null) resetConnection(request.socket)
      request.destroy()
    }

    request.on('error', (error: NodeJS.ErrnoException) => {
      // Invalid bytes: they may follow a whole response, and the body's own end shows whether it is whole.
      if (responseBody !== null && !isSystemError(error)) return
      settle(sent ? { kind: 'lost', detail: error.message, aborted: false, ...(isSystemError(error) ? { isReset: true } : {}) } : { kind: 'unsent', detail: error.message, refused: error.code === 'ECONNREFUSED', wasConnected: connected, ...(relay === undefined ? {} : { atRelay: true }) })
    })
    attempt.signal.addEventListener('abort', abort)
    if (attempt.signal.aborted) return abort()
    function send (): void {
      // The attempt may have been aborted while the connection was established.
      if (settled || request.destroyed) return
      if (options.isEvacuated?.(attempt.server) === true) {
        settle({ kind: 'unsent', detail: 'The zone of the server is evacuated', refused: false, isEvacuated: true })
        request.destroy()
        return
      }
      sent = true
      sentAt = performance.now()
      if (attempt.body === null || Buffer.isBuffer(attempt.body)) request.end(attempt.body ?? undefined)
      else pipeline(attempt.body.stream, request, () => {})
    }
    /** Sends once a streamed body has begun: the head leaves with its first bytes, and the server's zone may be evacuated by then. */
    function sendWithBody (): void {
      if (attempt.body !== null && !Buffer.isBuffer(attempt.body) && attempt.body.stream.readableLength === 0) attempt.body.stream.once('readable', send)
      else send()
    }
    function onConnected (): void {
      connected = true
      clearTimeout(connectTimer)
    }
    if (attempt.body !== null && !Buffer.isBuffer(attempt.body)) {
      attempt.body.stream.on('error', (error) => {
        responseBody?.stop(BodyEnd.requestBrokeOff)
        request.destroy(error)
      })
    }
    request.on('socket', (socket) => {
      if (!socket.connecting) {
        onConnected()
        if (hasAnsweredAttempt(socket, attempt.id)) {
          settle(null)
          request.destroy()
          return
        }
        return sendWithBody()
      }
      socket.once('connect', () => {
        onConnected()
        // The caller may have left while the process waited for the connection.
        pollConnections().then(sendWithBody, (error: unknown) => { request.destroy(error instanceof Error ? error : new Error(String(error))) })
      })
    })
    request.on('information', ({ statusCode }) => { if (relay !== undefined && statusCode === OVERDUE_STATUS) options.onOverdue?.() })
    watchInterimResponses(request, (detail) => {
      settle({ kind: 'lost', detail, aborted: false })
      request.destroy()
    })
    request.on('response', (response) => {
      response.on('error', (error) => { settle({ kind: 'lost', detail: error.message, aborted: false }) })
      const refusal = relay === undefined ? null : parseRelayRefusal(response, names)
      if (refusal !== null) {
        settle(refusal)
        return discardResponse(request, response)
      }
      const invalidReason = describeInvalidResponse(response, { id: attempt.id, isFirstOnConnection: !request.reusedSocket, names })
      if (invalidReason !== null) {
        settle({ kind: 'lost', detail: invalidReason, aborted: false })
        request.destroy()
        return
      }
      if (relay === undefined) recordAnsweredAttempt(response.socket, attempt.id)
      const server = relay === undefined ? attempt.server : relayedServer(response, attempt.server, options)
      // A response with status 421 comes from another server at the address.
      if (server !== undefined && response.headers[names.leaving] === '1' && response.statusCode !== 421) options.onLeaving?.(server)
      const load = response.headers[names.load]
      if (server !== undefined && typeof load === 'string' && response.statusCode !== 421) options.statements?.record(server, load)
      const limit = response.headers[names.requestLimit]
      const isNotRun = response.headers[names.notRun] !== undefined || response.statusCode === 421
      // The end of a limit shows in responses to requests that have run; others may be created before a server knows its load.
      if (server !== undefined && (limit !== undefined || !isNotRun)) options.limits.record(server, { value: limit === undefined ? undefined : String(limit), sentAt })
      if (isNotRun) {
        const roomAfterMs = relay === undefined ? undefined : response.headers[RelayHeader.roomAfterMs]
        settle({ kind: 'not-run', status: response.statusCode ?? 0, misdirected: response.statusCode === 421, ...(roomAfterMs === undefined ? {} : { roomAfterMs: Number(roomAfterMs) }) })
        return discardResponse(request, response)
      }
      options.onResponse?.()
      const body = openResponseBody(response, { request, isRelayed: relay !== undefined })
      responseBody = body
      // Relays of earlier versions pass on such a body as it is; the connections of one that is killed are closed in order.
      if (relay !== undefined && body.mark.framing === BodyFraming.connectionEnd) {
        settle({ kind: 'lost', detail: 'The relay has marked no end of the response', aborted: false })
        request.destroy()
        return
      }
      attempt.memory.begin(attempt.server.id, () => {
        settle({ kind: 'lost', detail: 'The responses that this host keeps took too much memory', aborted: false })
        body.stop(BodyEnd.memory)
      })
      readResponse(response, { body, memory: attempt.memory }, settle)
    })
  })
}

function relayHeaders (relay: RelayTerms): string[] {
  const headers = [
    RelayHeader.priority, String(relay.priority), RelayHeader.goalMs, String(relay.goalMs), RelayHeader.goalRemainingMs, String(Math.round(relay.goalRemainingMs)), RelayHeader.callerRemainingMs, String(Math.round(relay.callerRemainingMs))
  ]
  if (relay.isLate) headers.push(RelayHeader.late, '1')
  if (relay.isRepeatable) headers.push(RelayHeader.reportsOverdue, '1')
  if (relay.triedServers.size > 0) headers.push(RelayHeader.triedServers, [...relay.triedServers].join())
  return headers
}

/** The server that a relay has sent the request to; `undefined` if this host does not know it. */
function relayedServer (response: IncomingMessage, named: RoutedServer, options: SendAttemptOptions): RoutedServer | undefined {
  const id = response.headers[RelayHeader.server]
  if (typeof id !== 'string' || id === named.id) return named
  options.onServer?.(id)
  return options.serverOf?.(id)
}

function framingHeaders (body: StreamedBody): string[] {
  return body.contentLength === undefined ? ['Transfer-Encoding', 'chunked'] : ['Content-Length', body.contentLength]
}

/** Whether the operating system reported the error; others concern the content of a response. */
function isSystemError (error: NodeJS.ErrnoException): boolean {
  return error.syscall !== undefined || error.code === 'ECONNRESET'
}

/** Outcome of a request that a relay did not forward; `null` if the response is the server's. */
function parseRelayRefusal (response: IncomingMessage, names: HeaderNames): AttemptOutcome | null {
  const refusal = response.headers[RelayHeader.refusal]
  // Relays of earlier builds pass on a server's own header of this name; their refusals have status 503 and no signature.
  if (refusal === undefined || response.statusCode !== 503 || response.headers[names.signature] !== undefined) return null
  if (refusal === RelayRefusal.full || refusal === RelayRefusal.overLimit) {
    const isOverLimit = refusal === RelayRefusal.overLimit
    // Earlier builds report a server as full also after it has rejected the request itself.
    const isUnsent = isOverLimit || response.headers[RelayHeader.unsent] !== undefined
    return { kind: 'not-admitted', isUnsent, roomAfterMs: Number(response.headers[RelayHeader.roomAfterMs] ?? 0), isOverLimit, isFatal: response.headers[RelayHeader.fatal] !== undefined }
  }
  if (refusal === RelayRefusal.leaving) return { kind: 'unsent', detail: 'The server is about to leave', refused: false }
  return { kind: 'unsent', detail: `The relay refused: ${String(refusal)}`, refused: false, atRelay: true, ...(refusal === RelayRefusal.isolated ? { isRelayIsolated: true } : {}) }
}

/** Why a response is not a valid response of the server to this attempt; `null` if it is valid. */
function describeInvalidResponse (response: IncomingMessage, { id, isFirstOnConnection, names }: { readonly id: string, readonly isFirstOnConnection: boolean, readonly names: HeaderNames }): string | null {
  const echoedId = response.headers[names.attemptId]
  if (echoedId !== undefined && echoedId !== id) return `The response belongs to attempt ${String(echoedId)}`
  const status = response.statusCode ?? 0
  const invalidStatus = describeInvalidStatus(status)
  if (invalidStatus !== null) return invalidStatus
  if (response.headers[names.notRun] !== undefined || status === 421) {
    // Without an identifier, only the first response on a connection certainly belongs to the attempt.
    return echoedId !== undefined || isFirstOnConnection ? null : `The refusal with status ${status} has no attempt identifier`
  }
  if (echoedId === undefined) return `The response with status ${status} has no attempt identifier`
  if (response.headers[names.signature] === undefined) return `The response with status ${status} has no signature`
  if (response.headers['content-encoding'] !== undefined) return 'The response has a content encoding'
  return null
}

/** Reads the rest of a refusal, so that its connection can be used again, unless the rest is long or comes slowly. */
function discardResponse (request: ClientRequest, response: IncomingMessage): void {
  let bytes = 0
  const timer = setTimeout(() => { request.destroy() }, REFUSAL_BODY_MS)
  response.on('close', () => { clearTimeout(timer) })
  response.on('data', (part: Buffer) => {
    bytes += part.length
    if (bytes > MAXIMUM_REFUSAL_BYTES) request.destroy()
  })
}

/** Reads a response until it ends or becomes too long to be buffered. */
function readResponse (response: IncomingMessage, { body, memory }: { readonly body: ResponseBody, readonly memory: ResponseAccount }, settle: (outcome: AttemptOutcome) => void): void {
  const head = { mark: body.mark, serverFraming: body.serverFraming, status: response.statusCode ?? 0, headers: response.rawHeaders }
  const blocks = createBodyBlocks()
  body.read((part) => {
    blocks.add(part)
    memory.set(blocks.allocatedBytes())
    if (memory.mayBuffer()) return
    body.pause()
    settle({ kind: 'stream', ...head, start: blocks.takeAll(), rest: body })
  })
  body.ending.then((ending) => {
    settle(ending.kind === 'whole' ? { kind: 'answer', ...head, body: blocks.takeAll() } : { kind: 'lost', detail: ending.detail, aborted: false })
  }, () => {})
}
