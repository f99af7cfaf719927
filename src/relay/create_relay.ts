/**
 * Forwards requests from other hosts to the servers that this host relays for.
 *
 * The relay does admission control, since it knows all requests in flight at a
 * server. It never retries: it reports the outcome of each request to the host
 * that received the request from its caller, and that host decides what to do.
 */
import type { Agent, IncomingMessage, ServerResponse } from 'node:http'
import {
  attemptTimeoutMs, createAttemptRecord, createBodyReader, discardBody, forwardResponse, parseKey, pollConnections, RelayHeader, RelayRefusal, reportAttempt, requestHeaders, sendAttempt, toLoadOutcome, waitUntilSent, watchDisconnect,
  type AttemptOutcome, type HeaderNames, type RequestBody, type RequestLimits, type RoutingState, type RequestRecord, type ResponseAccount, type ResponseBodyRecord, type ResponseMemory, type ServerAdmission, type ServerAdmissionQuery, type ServerLoads, type ServerStatements
} from '../gateway/mod.ts'
import { createFingerprintSource, type FingerprintSource, type RequestGuard } from '../fatal_requests/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import type { ServerQueues, Turn } from '../server_queue/mod.ts'

/** Options of {@link createRelay}. */
export interface RelayOptions {
  readonly routingState: RoutingState
  readonly loads: ServerLoads
  /** Limits that servers name; updated from their responses. */
  readonly limits: RequestLimits
  readonly admission: ServerAdmission
  /** Queues of the servers that this host relays for. Default: requests that are admitted wait at their server. */
  readonly queues?: Pick<ServerQueues, 'isUsedFor' | 'enter' | 'returnAfterMs'>
  /** Records the load that servers state in their responses. Default: it is not recorded. */
  readonly statements?: Pick<ServerStatements, 'record'>
  /** Whether this host is the server's relay; a host whose list of relays is out of date may ask another one. */
  readonly isRelay: (server: RoutedServer) => boolean
  /** Whether this host reaches no server. */
  readonly isIsolated: () => boolean
  /** Memory for the responses of servers. */
  readonly responseMemory: ResponseMemory
  /** Recognises requests that end the servers which run them. */
  readonly guard: RequestGuard
  /** Connections to servers. */
  readonly agent: Agent
  readonly names: HeaderNames
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  readonly onEnd: (record: RequestRecord) => void
  /** When this host stops, which ends all requests in progress; monotonic time in milliseconds, `Infinity` if it is not shutting down. */
  readonly stopsAt: () => number
}

/** Relay of one host. */
export interface RequestRelay {
  handle (request: IncomingMessage, response: ServerResponse): Promise<void>
  /** Number of requests in progress. */
  pending (): number
}

/** Share of the remaining time that a repeatable request may spend here: less than that after which its host sends it to another server. */
const REPEATABLE_WAIT_SHARE = 0.45

/** Route name in the records of relayed requests. */
const ROUTE_NAME = 'relayed'

/**
 * Creates the relay of a host.
 *
 * @param options Routing state, loads and connections.
 * @returns The relay.
 */
export function createRelay (options: RelayOptions): RequestRelay {
  const { routingState, loads, names, now } = options
  let pending = 0
  const bodyReader = createBodyReader()
  /** Headers that differ between attempts with the same content. */
  const varyingHeaders: ReadonlySet<string> = new Set([names.attemptId])

  function attemptIdOf (request: IncomingMessage): string {
    return String(request.headers[names.attemptId] ?? '')
  }

  /** Reports that the request has not been sent to its server. */
  function refuse (response: ServerResponse, refusal: string, { roomAfterMs = 0, isFatal = false }: { readonly roomAfterMs?: number, readonly isFatal?: boolean } = {}): void {
    response.writeHead(503, { [names.attemptId]: attemptIdOf(response.req), 'Content-Length': '0', [RelayHeader.refusal]: refusal, [RelayHeader.unsent]: '1', [RelayHeader.roomAfterMs]: String(Math.ceil(roomAfterMs)), ...(isFatal ? { [RelayHeader.fatal]: '1' } : {}) }).end()
  }

  function admissionQuery (request: IncomingMessage, server: RoutedServer): ServerAdmissionQuery {
    const remainingMs = Number(request.headers[names.deadlineMs])
    return {
      key: routingState.service(server.service)?.keyed === true ? parseKey(request.headers[names.key]) : null,
      latencyGoalMs: Number(request.headers[RelayHeader.goalMs]),
      remainingMs,
      callerRemainingMs: Number(request.headers[RelayHeader.callerRemainingMs] ?? remainingMs),
      isLate: request.headers[RelayHeader.late] !== undefined,
      isRelay: options.isRelay(server)
    }
  }

  /** Forwards a request, unless the host that sent it has closed its connection. */
  async function forward (request: IncomingMessage, response: ServerResponse, { server, memory }: { readonly server: RoutedServer, readonly memory: ResponseAccount }): Promise<void> {
    const receivedAt = now()
    const remainingMs = Number(request.headers[names.deadlineMs])
    const abort = new AbortController()
    const timer = setTimeout(() => { abort.abort() }, remainingMs)
    const endWatch = watchDisconnect(request, () => { abort.abort() })
    let body: RequestBody = null
    try {
      // The host that accepted the request has checked the length of its body.
      const reading = await bodyReader.read(request, { maximumBytes: Infinity, signal: abort.signal })
      await pollConnections()
      if (abort.signal.aborted || reading.kind !== 'body') {
        response.destroy()
        return record(request, { server, outcome: null, durationMs: now() - receivedAt })
      }
      body = reading.body
      await sendToServer(request, response, { server, body, memory, signal: abort.signal, deadlineAt: receivedAt + remainingMs })
    } finally {
      clearTimeout(timer)
      endWatch()
      discardBody(body)
    }
  }

  /** Sends a request to its server if that has room, and reports the outcome. */
  async function sendToServer (request: IncomingMessage, response: ServerResponse, { server: named, body, memory, signal, deadlineAt }: { readonly server: RoutedServer, readonly body: RequestBody, readonly memory: ResponseAccount, readonly signal: AbortSignal, readonly deadlineAt: number }): Promise<void> {
    // The order may have come while the body was read.
    if (routingState.isEvacuated(named)) return refuse(response, RelayRefusal.leaving)
    const headers = requestHeaders(request.rawHeaders, names)
    const fingerprint = createFingerprintSource(() => ({ method: request.method ?? 'GET', path: request.url ?? '/', headers, body }), varyingHeaders)
    const enteredAt = now()
    const refusalMs = options.guard.refusalMs(fingerprint)
    if (refusalMs !== null) return refuse(response, RelayRefusal.full, { roomAfterMs: refusalMs, isFatal: true })
    const query = admissionQuery(request, named)
    const turn = await takeSlot(request, named, { query, deadlineAt, signal })
    if (turn.kind === 'refuse') return refuse(response, turn.isOverLimit ? RelayRefusal.overLimit : RelayRefusal.full, { roomAfterMs: turn.returnAfterMs })
    if (turn.kind === 'unavailable') return refuse(response, RelayRefusal.leaving)
    try {
      if (turn.kind === 'send' && turn.waitedMs > 0) await pollConnections()
      if (turn.kind === 'aborted' || signal.aborted) {
        if (turn.kind === 'send') turn.end()
        response.destroy()
        return record(request, { server: named, outcome: null, durationMs: now() - enteredAt })
      }
      // Servers may have ended under the request, or the server may have begun to leave, while it waited.
      const lateRefusalMs = options.guard.refusalMs(fingerprint)
      if (lateRefusalMs !== null) {
        turn.end()
        return refuse(response, RelayRefusal.full, { roomAfterMs: lateRefusalMs, isFatal: true })
      }
      const { server } = turn
      const isQueued = mayQueue(request, named, query)
      const inFlight = loads.inFlight(server.id)
      // A request that had its turn here meets no queue at the server.
      const expectedMs = isQueued ? loads.workMs(server) : loads.expectedMs(server)
      const end = loads.trackRequest(server, { isOnlySender: isQueued })
      const sentAt = now()
      // Only the host of the caller knows whether the request can go on elsewhere.
      const overdueTimer = request.headers[RelayHeader.reportsOverdue] === undefined ? undefined : setTimeout(() => { if (!response.destroyed) response.writeProcessing() }, attemptTimeoutMs(expectedMs))
      const outcome = await sendAttempt({
        server,
        id: attemptIdOf(request),
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers,
        body,
        memory,
        deadlineMs: deadlineAt - sentAt,
        signal
      }, { agent: options.agent, names, limits: options.limits, ...(options.statements === undefined ? {} : { statements: options.statements }), onLeaving: routingState.recordLeaving, isEvacuated: routingState.isEvacuated })
      clearTimeout(overdueTimer)
      const durationMs = now() - sentAt
      end(toLoadOutcome(outcome, durationMs))
      turn.end(outcome)
      reportAttempt(options.guard, { server, fingerprint, sentAt, outcome })
      const responseBody = await sendOutcome(response, { outcome, named, server, query, memory, signal })
      record(request, { server, outcome, durationMs, waitedMs: turn.waitedMs, inFlight, expectedMs, fingerprint, responseBody })
    } finally {
      // A slot that is not freed would be lost until the host restarts; freeing it twice changes nothing.
      if (turn.kind === 'send') turn.end()
    }
  }

  /** Reports the outcome of a request to the host that sent it; returns the body of a response that was passed on. */
  async function sendOutcome (response: ServerResponse, { outcome, named, server, query, memory, signal }: { readonly outcome: AttemptOutcome, readonly named: RoutedServer, readonly server: RoutedServer, readonly query: ServerAdmissionQuery, readonly memory: ResponseAccount, readonly signal: AbortSignal }): Promise<ResponseBodyRecord | undefined> {
    if (outcome.kind === 'answer' || outcome.kind === 'stream') {
      return (await forwardResponse(response, outcome, { closesConnection: false, isToHost: true, ...(server.id === named.id ? {} : { server: server.id }), memory, signal })).body
    } else if (outcome.kind === 'unsent' || outcome.kind === 'not-admitted') {
      // That another server of the group cannot be reached shows nothing about the one that the host has named.
      const refusal = server.id === named.id ? RelayRefusal.unreachable : RelayRefusal.full
      refuse(response, outcome.kind === 'unsent' && outcome.isEvacuated === true ? RelayRefusal.leaving : options.isIsolated() ? RelayRefusal.isolated : refusal)
    } else if (outcome.kind === 'lost') {
      // The other host must not mistake this for a response of the server: the request may have run.
      response.destroy()
    } else {
      // The request has reached the server, so this is the server's refusal and not one of the relay.
      const roomAfterMs = !outcome.misdirected && loads.isFull(server.id) ? returnAfterMs(server, query) : null
      response.writeHead(outcome.status, { 'Content-Length': '0', [names.attemptId]: attemptIdOf(response.req), [names.notRun]: 'true', ...(server.id === named.id ? {} : { [RelayHeader.server]: server.id }), ...(roomAfterMs === null ? {} : { [RelayHeader.roomAfterMs]: String(Math.ceil(roomAfterMs)) }), ...(routingState.server(server.id)?.leaving === true && !routingState.isEvacuated(server) ? { [names.leaving]: '1' } : {}) }).end()
    }
  }

  function returnAfterMs (server: RoutedServer, query: ServerAdmissionQuery): number {
    return query.isRelay && options.queues?.isUsedFor(server) === true ? options.queues.returnAfterMs({ server, callerRemainingMs: query.callerRemainingMs }) : options.admission.returnAfterMs(server, query)
  }

  /** Whether the request waits in a queue. Hosts of earlier builds state no priority, and would take the response of another server for one of the server that they have named. */
  function mayQueue (request: IncomingMessage, server: RoutedServer, query: ServerAdmissionQuery): boolean {
    return options.queues?.isUsedFor(server) === true && query.isRelay && request.headers[RelayHeader.priority] !== undefined
  }

  /** Waits for a slot of the server or, as its relay, of another one in its group. */
  async function takeSlot (request: IncomingMessage, server: RoutedServer, { query, deadlineAt, signal }: { readonly query: ServerAdmissionQuery, readonly deadlineAt: number, readonly signal: AbortSignal }): Promise<Turn> {
    if (options.queues !== undefined && mayQueue(request, server, query)) {
      const isRepeatable = request.headers[RelayHeader.reportsOverdue] !== undefined || request.headers[RelayHeader.repeatable] !== undefined
      return await options.queues.enter({
        server,
        tried: new Set(String(request.headers[RelayHeader.triedServers] ?? '').split(',')),
        priority: numberOr(request.headers[RelayHeader.priority], 0),
        key: query.key,
        goalMs: query.latencyGoalMs,
        goalAt: now() + numberOr(request.headers[RelayHeader.goalRemainingMs], query.isLate ? 0 : query.latencyGoalMs),
        // Its host gives up a repeatable request after half of its time.
        deadlineAt: isRepeatable ? now() + (deadlineAt - now()) * REPEATABLE_WAIT_SHARE : deadlineAt,
        callerRemainingMs: query.callerRemainingMs,
        signal
      })
    }
    const admission = options.admission.decide(server, query)
    return admission.kind === 'refuse' ? admission : { kind: 'send', server, waitedMs: 0, end: admission.end }
  }

  /** Records a request; its outcome is `null` if it was not sent because the other host had disconnected. */
  function record (request: IncomingMessage, { server, outcome, durationMs, waitedMs, inFlight = 0, expectedMs = 0, fingerprint, responseBody }: { readonly server: RoutedServer, readonly outcome: AttemptOutcome | null, readonly durationMs: number, readonly waitedMs?: number, readonly inFlight?: number, readonly expectedMs?: number, readonly fingerprint?: FingerprintSource, readonly responseBody?: ResponseBodyRecord | undefined }): void {
    const isAnswered = outcome?.kind === 'answer' || outcome?.kind === 'stream'
    options.onEnd({
      id: attemptIdOf(request),
      route: ROUTE_NAME,
      service: server.service,
      key: parseKey(request.headers[names.key]),
      status: isAnswered ? outcome.status : 0,
      reason: outcome === null ? 'caller-left' : isAnswered ? 'served' : outcome.kind,
      durationMs,
      ...(waitedMs === undefined || waitedMs === 0 ? {} : { waitedMs }),
      isCallerConnected: !request.socket.destroyed,
      isRelayed: true,
      ...(outcome?.kind === 'lost' && fingerprint !== undefined ? { fingerprint: fingerprint()?.exact ?? null } : {}),
      attempts: outcome === null ? [] : [createAttemptRecord({ server: server.id, outcome, durationMs, inFlight, expectedMs })],
      ...(responseBody === undefined ? {} : { responseBody })
    })
  }

  return {
    async handle (request, response) {
      const server = routingState.server(String(request.headers[names.targetServer]))
      if (options.isIsolated()) return refuse(response, RelayRefusal.isolated)
      if (server === undefined) return refuse(response, RelayRefusal.unknownServer)
      if (server.leaving) return refuse(response, RelayRefusal.leaving)
      if (now() + Number(request.headers[names.deadlineMs]) > options.stopsAt()) return refuse(response, RelayRefusal.stopping)
      pending++
      const memory = options.responseMemory.open()
      try {
        await forward(request, response, { server, memory })
        await waitUntilSent(response)
      } finally {
        memory.close()
        pending--
      }
    },
    pending: () => pending
  }
}

function numberOr (value: string | string[] | undefined, otherwise: number): number {
  const number = value === undefined || value === '' ? NaN : Number(value)
  return Number.isFinite(number) ? number : otherwise
}
