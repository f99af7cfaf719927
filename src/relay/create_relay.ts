/**
 * Passes requests of other hosts on to the servers that this host relays for.
 *
 * The relay decides whether there is room, since it knows all that a server
 * has in hand. It never sends a request twice: what became of it is told to
 * the host that took it from its caller, which decides what is next.
 */
import type { Agent, IncomingMessage, ServerResponse } from 'node:http'
import {
  admit, outcomeLabel, parseKey, RelayHeader, RelayRefusal, requestHeaders, sendAttempt, toLoadOutcome, forwardResponse,
  type AttemptOutcome, type HeaderNames, type RoutingState, type RequestRecord, type ServerLoads
} from '../gateway/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'

/** What a relay works with. */
export interface RelayOptions {
  readonly routingState: RoutingState
  readonly loads: ServerLoads
  /** Connections to servers. */
  readonly agent: Agent
  readonly names: HeaderNames
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  readonly onEnd: (record: RequestRecord) => void
}

/** Relay of one host. */
export interface RequestRelay {
  handle (request: IncomingMessage, response: ServerResponse): Promise<void>
  /** Requests that have not been answered yet. */
  pending (): number
}

/** Requests at a server, as a multiple of its slots, beyond which it is full: all slots busy, and a queue that it surely takes. */
const FULL_OCCUPANCY = 2

/** Route's name in the records of requests that were relayed. */
const ROUTE_NAME = 'relayed'

/**
 * Creates the relay of a host.
 *
 * @param options Beliefs, loads and connections.
 * @returns The relay.
 */
export function createRelay (options: RelayOptions): RequestRelay {
  const { routingState: knowledge, loads, names, now } = options
  let pending = 0

  function refuse (response: ServerResponse, refusal: string, roomAfterMs = 0): void {
    response.writeHead(503, { 'Content-Length': '0', [RelayHeader.refusal]: refusal, [RelayHeader.roomAfterMs]: String(Math.ceil(roomAfterMs)) }).end()
  }

  /** Time after which there is room for a request, in milliseconds; `null` where there is room now. */
  function roomAfterMs (server: RoutedServer, request: { readonly goalMs: number, readonly leftMs: number }): number | null {
    const workMs = loads.workMs(server)
    const ahead = loads.inFlight(server.id) + 1 - server.slots * FULL_OCCUPANCY
    if (ahead > 0) return workMs * ahead / server.slots
    const admission = admit({ isFull: loads.isFull(server.id), expectedMs: loads.expectedMs(server), workMs, latencyGoalMs: request.goalMs, remainingMs: request.leftMs })
    return admission.kind === 'admit' ? null : admission.roomAfterMs
  }

  async function pass (request: IncomingMessage, response: ServerResponse, server: RoutedServer): Promise<void> {
    const startedAt = now()
    const leftMs = Number(request.headers[names.deadlineMs])
    const room = roomAfterMs(server, { goalMs: Number(request.headers[RelayHeader.goalMs]), leftMs })
    if (room !== null) return refuse(response, RelayRefusal.full, room)
    const abort = new AbortController()
    const timer = setTimeout(() => { abort.abort() }, leftMs)
    const onClose = (): void => { if (!response.writableFinished) abort.abort() }
    response.on('close', onClose)
    const inFlight = loads.inFlight(server.id)
    const expectedMs = loads.expectedMs(server)
    const end = loads.trackRequest(server)
    const outcome = await sendAttempt({
      server,
      id: String(request.headers[names.attemptId] ?? ''),
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: withoutRelayHeaders(requestHeaders(request.rawHeaders, names)),
      body: request.headers['content-length'] === undefined && request.headers['transfer-encoding'] === undefined ? null : request,
      deadlineMs: leftMs,
      signal: abort.signal
    }, { agent: options.agent, names })
    const durationMs = now() - startedAt
    clearTimeout(timer)
    end(toLoadOutcome(outcome, durationMs))
    await tell(response, { outcome, server, method: request.method ?? 'GET' })
    response.off('close', onClose)
    record(request, { server, outcome, durationMs, inFlight, expectedMs })
  }

  /** Tells the host what became of its request. */
  async function tell (response: ServerResponse, { outcome, server, method }: { readonly outcome: AttemptOutcome, readonly server: RoutedServer, readonly method: string }): Promise<void> {
    if (outcome.kind === 'answer' || outcome.kind === 'stream') {
      await forwardResponse(response, outcome, { method, closesConnection: false })
    } else if (outcome.kind === 'unsent') {
      refuse(response, RelayRefusal.unreachable)
    } else if (outcome.kind === 'lost') {
      // The host must not take this for an answer of the server: the request may have run.
      response.destroy()
    } else if (!outcome.misdirected && loads.isFull(server.id)) {
      refuse(response, RelayRefusal.full, loads.workMs(server))
    } else {
      response.writeHead(outcome.status, { 'Content-Length': '0', [names.notRun]: 'true' }).end()
    }
  }

  function record (request: IncomingMessage, attempt: { readonly server: RoutedServer, readonly outcome: AttemptOutcome, readonly durationMs: number, readonly inFlight: number, readonly expectedMs: number }): void {
    const { server, outcome, durationMs, inFlight } = attempt
    options.onEnd({
      id: String(request.headers[names.attemptId] ?? ''),
      route: ROUTE_NAME,
      service: server.service,
      key: parseKey(request.headers[names.key]),
      status: outcome.kind === 'answer' || outcome.kind === 'stream' ? outcome.status : 0,
      reason: outcome.kind === 'answer' || outcome.kind === 'stream' ? 'served' : outcome.kind,
      durationMs,
      isRelayed: true,
      attempts: [{ server: server.id, outcome: outcomeLabel(outcome), ...('detail' in outcome ? { detail: outcome.detail } : {}), durationMs: Math.round(durationMs), inFlight, expectedMs: Math.round(attempt.expectedMs) }]
    })
  }

  return {
    async handle (request, response) {
      const server = knowledge.server(String(request.headers[names.targetServer]))
      if (server === undefined) return refuse(response, RelayRefusal.unknownServer)
      if (server.leaving) return refuse(response, RelayRefusal.leaving)
      pending++
      try {
        await pass(request, response, server)
      } finally {
        pending--
      }
    },
    pending: () => pending
  }
}

function withoutRelayHeaders (headers: readonly string[]): string[] {
  return headers.filter((_, index) => headers[index - index % 2]?.toLowerCase() !== RelayHeader.goalMs)
}
