/**
 * Takes a request from its caller to a backend server and the answer back.
 *
 * A request is offered to one server at a time. It is offered again only if it
 * has certainly not run, or may run more than once; each offer beyond the first
 * draws on the retry budget.
 */
import type { Agent, IncomingMessage, ServerResponse } from 'node:http'
import type { RetryBudget } from '../dispatch/retry_budget.ts'
import { pickTarget, RequestKind, type RoutedServer } from '../routing/mod.ts'
import { admit, clampRetryAfterMs } from './admission.ts'
import { bodyBytes, createBodyReader } from './_body_reader.ts'
import type { Exchange, AttemptDecision } from './_exchange.ts'
import { requestHeaders } from './forwarded_headers.ts'
import { chooseServer } from './choose_server.ts'
import type { HeaderNames } from './header_names.ts'
import type { RoutingState } from './routing_state.ts'
import { outcomeLabel, parseKey, toLoadOutcome } from './outcomes.ts'
import type { Relay, RelaySelector } from './relay_selector.ts'
import type { AttemptRecord, RequestRecord } from './request_record.ts'
import { sendAttempt, type Attempt, type AttemptOutcome, type SendAttemptOptions } from './send_attempt.ts'
import type { ServerLoads } from './server_loads.ts'
import { forwardResponse } from './forward_response.ts'

/** What a gateway works with. */
export interface GatewayOptions {
  readonly routingState: RoutingState
  readonly loads: ServerLoads
  readonly agent: Agent
  /** Hosts through which requests go to servers. */
  readonly relays: RelaySelector
  /** Connections to relays. */
  readonly relayAgent: Agent
  readonly names: HeaderNames
  readonly host: string
  readonly zone: string
  readonly retryBudgetOf: (service: string) => RetryBudget
  readonly now: () => number
  readonly random: () => number
  /** Called for each key that is asked for. */
  readonly onKeyRequested: (service: string, key: number) => void
  readonly onRequestEnd: (record: RequestRecord) => void
  /** Whether connections are to be closed after their request. */
  readonly isLeaving: () => boolean
}

/** Gateway of one host. */
export interface Gateway {
  handle (request: IncomingMessage, response: ServerResponse): Promise<void>
  /** Requests that have not been answered yet. */
  pending (): number
}

/** Longest wait for the owner of a key, as a share of the latency goal. */
const OWNER_WAIT_SHARE = 0.6

/** Time after which a caller may come back where nothing tells how long it takes, in milliseconds. */
const DEFAULT_RETRY_MS = 300

/** Silence after which a request that may run more than once is offered to another server, as a multiple of the expected time. */
const SILENCE_FACTOR = 4

/** Least time that must be left for another offer, in milliseconds. */
const LEAST_OFFER_MS = 20

/** Bodies beyond this length go to their server directly, in bytes: another way over a slow link would take long. */
const RELAYED_BODY_BYTES = 16 * 1024

/** Time to connect to a relay, in milliseconds: many round trips within a region; then the request goes to the server directly. */
const RELAY_CONNECT_MS = 200

/**
 * Creates the gateway of a host.
 *
 * @param options Beliefs, loads and connections.
 * @returns The gateway.
 */
export function createGateway (options: GatewayOptions): Gateway {
  const { routingState: knowledge, loads, names, now } = options
  let pending = 0
  const bodies = createBodyReader()

  function writeOwn (response: ServerResponse, status: number, retryMs?: number): void {
    if (response.headersSent || response.destroyed) return
    const headers: Record<string, string> = { 'Content-Length': '0' }
    if (retryMs !== undefined) headers['Retry-After'] = (retryMs / 1000).toFixed(3)
    if (options.isLeaving()) headers.Connection = 'close'
    response.writeHead(status, headers).end()
  }

  function leftMs (exchange: Exchange): number {
    return exchange.deadlineAt - now()
  }

  /** When a refused caller may come back; spread, so that callers refused together do not return together. */
  function returnAfterMs (exchange: Exchange, wantedMs: number): number {
    return clampRetryAfterMs(wantedMs * (1 + options.random()), leftMs(exchange))
  }

  function finish (exchange: Exchange, status: number, reason: string, retryMs?: number): void {
    options.onRequestEnd({
      id: exchange.id,
      route: exchange.route.name,
      service: exchange.service,
      key: exchange.key,
      status,
      reason,
      durationMs: now() - exchange.startedAt,
      attempts: exchange.attempts,
      ...(retryMs === undefined ? {} : { retryAfterMs: retryMs })
    })
  }

  /** Finds the owner of a key, waiting a little while it moves. */
  async function findOwner (exchange: Exchange, key: number): Promise<RoutedServer | AttemptDecision> {
    const waitUntil = now() + Math.min(exchange.route.latencyGoalMs * OWNER_WAIT_SHARE, leftMs(exchange) / 3)
    for (;;) {
      const owner = knowledge.ownerOf(exchange.service, key)
      if (owner.kind === 'owned') {
        const server = knowledge.server(owner.server)
        if (server !== undefined && !server.leaving && !exchange.triedServers.has(server.id)) return server
      }
      if (owner.kind === 'unserved') {
        return { kind: 'refuse', reason: 'key-unserved', retryAfterMs: clampRetryAfterMs(owner.until - now(), leftMs(exchange)) }
      }
      if (now() >= waitUntil || exchange.abort.signal.aborted) {
        return { kind: 'refuse', reason: `key-${owner.kind}`, retryAfterMs: returnAfterMs(exchange, DEFAULT_RETRY_MS) }
      }
      await knowledge.waitForOwnerChange(Math.max(1, waitUntil - now()))
    }
  }

  function isKeyed (exchange: Exchange): boolean {
    return exchange.key !== null && knowledge.service(exchange.service)?.keyed === true
  }

  async function findServer (exchange: Exchange): Promise<RoutedServer | AttemptDecision> {
    if (exchange.key !== null && isKeyed(exchange)) {
      const owner = await findOwner(exchange, exchange.key)
      if ('kind' in owner) return owner
      if (loads.isUnresponsive(owner)) return { kind: 'refuse', reason: 'owner-silent', retryAfterMs: returnAfterMs(exchange, DEFAULT_RETRY_MS) }
      return owner
    }
    const server = chooseServer(knowledge.availableServers(exchange.service), { loads, tried: exchange.triedServers, zone: options.zone, host: options.host, bodyBytes: bodyBytes(exchange.body), random: options.random })
    if (server !== null) return server
    const reason = exchange.triedServers.size > 0 ? 'every-server-tried' : 'no-server'
    return { kind: 'refuse', reason, retryAfterMs: returnAfterMs(exchange, DEFAULT_RETRY_MS) }
  }

  async function offer (exchange: Exchange): Promise<AttemptDecision> {
    const server = await findServer(exchange)
    if ('kind' in server) return server
    const relay = exchange.bypassesRelays || bodyBytes(exchange.body) > RELAYED_BODY_BYTES ? null : options.relays.select(server)
    return relay === null ? await offerDirectly(exchange, server) : await offerThrough(exchange, server, relay)
  }

  async function offerDirectly (exchange: Exchange, server: RoutedServer): Promise<AttemptDecision> {
    const expectedMs = loads.expectedMs(server)
    if (isKeyed(exchange) && options.random() > loads.admitShare(server.id)) return { kind: 'refuse', reason: 'key-overloaded', retryAfterMs: clampRetryAfterMs(leftMs(exchange), leftMs(exchange)) }
    const admission = admit({ isFull: loads.isFull(server.id), expectedMs, workMs: loads.workMs(server), latencyGoalMs: exchange.route.latencyGoalMs, remainingMs: leftMs(exchange) })
    if (admission.kind === 'refuse') return { kind: 'refuse', reason: 'no-room', retryAfterMs: returnAfterMs(exchange, admission.roomAfterMs) }
    const inFlight = loads.inFlight(server.id)
    const sentAt = now()
    const end = loads.trackRequest(server)
    const outcome = await sendInTime(exchange, { attempt: attemptAt(exchange, server), connections: { agent: options.agent, names }, expectedMs })
    const durationMs = now() - sentAt
    end(toLoadOutcome(outcome, durationMs))
    note(exchange, { server: server.id, outcome, durationMs, inFlight, expectedMs })
    return judge(exchange, server, outcome)
  }

  /** The relay knows all that its server has in hand, so it decides whether there is room. */
  async function offerThrough (exchange: Exchange, server: RoutedServer, relay: Relay): Promise<AttemptDecision> {
    const expectedMs = loads.expectedMs(server)
    const sentAt = now()
    const ends = [relay.trackRequest(exchange.id, expectedMs), loads.trackRelayedRequest(server)]
    const outcome = await sendInTime(exchange, {
      attempt: { ...attemptAt(exchange, server), relay: { address: relay.address, goalMs: exchange.route.latencyGoalMs } },
      connections: { agent: options.relayAgent, names, connectTimeoutMs: RELAY_CONNECT_MS },
      expectedMs
    })
    for (const end of ends) end(!(outcome.kind === 'lost' || (outcome.kind === 'unsent' && outcome.atRelay === true)))
    note(exchange, { server: server.id, outcome, durationMs: now() - sentAt, inFlight: loads.inFlight(server.id), expectedMs, relay: relay.host })
    if (outcome.kind === 'unsent' && outcome.atRelay === true) {
      exchange.bypassesRelays = true
      return exchange.abort.signal.aborted ? giveUp(exchange) : { kind: 'again' }
    }
    return judge(exchange, server, outcome)
  }

  function note (exchange: Exchange, attempt: Omit<AttemptRecord, 'outcome'> & { readonly outcome: AttemptOutcome }): void {
    const { outcome } = attempt
    exchange.attempts.push({ ...attempt, outcome: outcomeLabel(outcome), ...('detail' in outcome ? { detail: outcome.detail } : {}), durationMs: Math.round(attempt.durationMs), expectedMs: Math.round(attempt.expectedMs) })
  }

  function attemptAt (exchange: Exchange, server: RoutedServer): Attempt {
    return {
      server,
      id: exchange.id,
      method: exchange.request.method ?? 'GET',
      path: exchange.request.url ?? '/',
      headers: requestHeaders(exchange.request.rawHeaders, names),
      body: exchange.body,
      deadlineMs: leftMs(exchange),
      signal: exchange.abort.signal
    }
  }

  /** Sends an attempt; one that may run more than once is given up when it has been silent for long, and offered to another server. */
  async function sendInTime (exchange: Exchange, { attempt, connections, expectedMs }: { readonly attempt: Attempt, readonly connections: SendAttemptOptions, readonly expectedMs: number }): Promise<AttemptOutcome> {
    if (exchange.route.kind !== RequestKind.idempotent || isKeyed(exchange)) return await sendAttempt(attempt, connections)
    const silence = new AbortController()
    const timer = setTimeout(() => { silence.abort() }, expectedMs * SILENCE_FACTOR)
    const outcome = await sendAttempt({ ...attempt, signal: AbortSignal.any([silence.signal, exchange.abort.signal]) }, connections)
    clearTimeout(timer)
    return outcome
  }

  function judge (exchange: Exchange, server: RoutedServer, outcome: AttemptOutcome): AttemptDecision {
    const repeatable = exchange.route.kind === RequestKind.idempotent
    const streamed = exchange.body !== null && !Buffer.isBuffer(exchange.body)
    if (outcome.kind === 'stream') return { kind: 'answer', outcome }
    if (outcome.kind === 'answer') {
      if (outcome.status < 500) return { kind: 'answer', outcome }
      exchange.mayHaveRun = true
      if (!isKeyed(exchange)) exchange.triedServers.add(server.id)
      return repeatable && mayOfferAgain(exchange) ? { kind: 'again' } : { kind: 'answer', outcome }
    }
    if (outcome.kind === 'lost') exchange.mayHaveRun = true
    // A key has one owner: only a wrong belief of who it is leads to another server.
    const keyed = isKeyed(exchange)
    if (!keyed || outcome.kind === 'unsent' || (outcome.kind === 'not-run' && outcome.misdirected)) exchange.triedServers.add(server.id)
    if (exchange.abort.signal.aborted) return giveUp(exchange)
    // The one owner of a key that is full stays full for a moment: its caller comes back later.
    const isFull = outcome.kind === 'not-run' && outcome.roomAfterMs !== undefined
    const hopeless = keyed && !(outcome.kind === 'not-run' && outcome.misdirected) && (isFull || loads.isFull(server.id))
    const isFree = outcome.kind === 'unsent' || (isFull && !keyed)
    const again = isFree || (!hopeless && (outcome.kind === 'not-run' || repeatable) && mayOfferAgain(exchange))
    if (again && !streamed && exchange.attempts.length < exchange.route.maximumAttempts + 2) return { kind: 'again' }
    if (exchange.mayHaveRun && (outcome.kind === 'lost' || !repeatable)) return { kind: 'fail', reason: 'outcome-unknown', status: 502 }
    const wanted = outcome.kind === 'not-run' ? outcome.roomAfterMs ?? loads.workMs(server) / 2 : DEFAULT_RETRY_MS
    return { kind: 'refuse', reason: outcome.kind === 'not-run' ? (outcome.misdirected ? 'owner-changed' : 'server-full') : 'server-unreachable', retryAfterMs: returnAfterMs(exchange, wanted) }
  }

  function mayOfferAgain (exchange: Exchange): boolean {
    const sent = exchange.attempts.filter((attempt) => attempt.outcome !== 'unsent' && attempt.outcome !== 'full').length
    return sent < exchange.route.maximumAttempts && leftMs(exchange) > LEAST_OFFER_MS && options.retryBudgetOf(exchange.service).tryWithdraw()
  }

  function giveUp (exchange: Exchange): AttemptDecision {
    if (exchange.mayHaveRun) return { kind: 'fail', reason: 'timed-out', status: 504 }
    return { kind: 'refuse', reason: 'timed-out-unsent', retryAfterMs: DEFAULT_RETRY_MS }
  }

  async function serve (exchange: Exchange): Promise<void> {
    let verdict: AttemptDecision = { kind: 'again' }
    while (verdict.kind === 'again') {
      verdict = leftMs(exchange) <= 0 || exchange.abort.signal.aborted ? giveUp(exchange) : await offer(exchange)
    }
    const { response } = exchange
    if (response.destroyed) return finish(exchange, 0, 'caller-left')
    if (verdict.kind === 'refuse') {
      // A request that may have run is never answered as if it had not, whether it may be repeated or not.
      const status = exchange.mayHaveRun ? 502 : 503
      writeOwn(response, status, verdict.retryAfterMs)
      return finish(exchange, status, verdict.reason, verdict.retryAfterMs)
    }
    if (verdict.kind === 'fail') {
      writeOwn(response, verdict.status)
      return finish(exchange, verdict.status, verdict.reason)
    }
    const isWhole = await forwardResponse(response, verdict.outcome, { method: exchange.request.method ?? 'GET', closesConnection: options.isLeaving() })
    finish(exchange, verdict.outcome.status, isWhole ? 'served' : 'answer-broke-off')
  }

  async function open (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedAt = now()
    const routes = knowledge.routes()
    const id = String(request.headers[names.attemptId] ?? '')
    if (routes === null) {
      writeOwn(response, 503, DEFAULT_RETRY_MS)
      return
    }
    const route = routes.match(request.headers.host ?? '', request.url ?? '/')
    const service = route === null ? null : pickTarget(route, options.random())
    if (route === null || service === null) {
      writeOwn(response, route === null ? 404 : 503, route === null ? undefined : DEFAULT_RETRY_MS)
      return
    }
    const deadline = Number(request.headers[names.deadlineMs])
    const allowedMs = Math.min(Number.isFinite(deadline) && deadline > 0 ? deadline : Infinity, route.timeoutMs)
    const key = parseKey(request.headers[names.key])
    const abort = new AbortController()
    const exchange: Exchange = {
      request, response, id, route, service, key, startedAt, deadlineAt: startedAt + allowedMs, abort, attempts: [], triedServers: new Set(), body: null, mayHaveRun: false, bypassesRelays: false
    }
    const timer = setTimeout(() => { abort.abort() }, allowedMs)
    const onClose = (): void => { if (!response.writableFinished) abort.abort() }
    response.on('close', onClose)
    options.retryBudgetOf(service).deposit()
    if (key !== null && isKeyed(exchange)) options.onKeyRequested(service, key)
    try {
      const body = await bodies.read(request)
      if (body === false) return finish(exchange, 0, 'caller-broke-off')
      exchange.body = body
      await serve(exchange)
    } finally {
      clearTimeout(timer)
      response.off('close', onClose)
    }
  }

  return {
    async handle (request, response) {
      pending++
      try {
        await open(request, response)
      } finally {
        pending--
      }
    },
    pending: () => pending
  }
}
