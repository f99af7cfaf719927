/**
 * Forwards requests of callers to backend servers, and their responses back.
 *
 * A request is sent to one server at a time. What follows each attempt is
 * decided in decide_next.ts, and what pays for a repeat in attempt_ledger.ts.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connectionOf } from '../caller_limits/mod.ts'
import { createFingerprintSource } from '../fatal_requests/mod.ts'
import { pickTarget, RequestKind, type RoutedServer } from '../routing/mod.ts'
import { clampRetryAfterMs } from './admission.ts'
import { createAttemptLedger } from './attempt_ledger.ts'
import { createAttemptSender } from './_attempt_sender.ts'
import { createAttemptRecord, type EndedAttempt } from './attempt_record.ts'
import { createBodyReader, discardBody, isBodyUnread } from './body_reader.ts'
import { decideOnTimeout, DEFAULT_RETRY_AFTER_MS, type Exchange, type AttemptDecision } from './_exchange.ts'
import { createExchangeTimes } from './_exchange_times.ts'
import { createServerFinder } from './_find_server.ts'
import { attemptTimeoutMs } from './attempt_timeout.ts'
import { createCallerDeadlines } from './caller_deadlines.ts'
import { createServerSelector } from './_server_selector.ts'
import { requestHeaders } from './forwarded_headers.ts'
import { decideNext, type NextStep } from './decide_next.ts'
import type { GatewayOptions } from './gateway_options.ts'
import { parseKey, toLoadOutcome } from './outcomes.ts'
import type { Relay } from './relay_selector.ts'
import { reportAttempt } from './report_attempt.ts'
import type { ResponseAccount } from './response_memory.ts'
import type { Attempt, AttemptOutcome } from './send_attempt.ts'
import type { Turn } from '../server_queue/mod.ts'
import type { ServerAdmissionQuery } from './server_admission.ts'
import { forwardResponse, waitUntilSent } from './forward_response.ts'
import { pollConnections } from './poll_connections.ts'
import { watchDisconnect } from './watch_disconnect.ts'

/** Gateway of one host. */
export interface Gateway {
  handle (request: IncomingMessage, response: ServerResponse): Promise<void>
  /** Number of requests whose response has not been sent completely. */
  pending (): number
}

/** Retry delay for callers of a host that stops, in milliseconds: they come to another host over a new connection. */
const STOPPING_RETRY_AFTER_MS = 20

/** Share of the time left to the goal that is expected of a relay: a request may wait there for its turn, and overdue ones make the relay count as unresponsive. */
const RELAY_OVERDUE_SHARE = 0.4

/** Share of the remaining time after which a repeatable request is overdue at its relay, which itself reports a silent server sooner: the request may wait there for a slot. */
const RELAY_WAIT_SHARE = 0.5

/** Timeout for connecting to a relay, in milliseconds: many round trips within a region. After it, the request goes to the server directly. */
const RELAY_CONNECT_TIMEOUT_MS = 200

/**
 * Creates the gateway of a host.
 *
 * @param options Routing state, loads and connections.
 * @returns The gateway.
 */
export function createGateway (options: GatewayOptions): Gateway {
  const { routingState, loads, names, now } = options
  let pending = 0
  const times = createExchangeTimes(options)
  const { remainingMs, callerRemainingMs, goalRemainingMs, jitteredRetryAfterMs } = times
  const serverSelector = createServerSelector(options)
  const finder = createServerFinder(options, { times, serverSelector })
  const { isKeyed } = finder
  const attemptSender = createAttemptSender(options, { times, serverSelector, isKeyed })
  const bodyReader = createBodyReader()
  const callerDeadlines = createCallerDeadlines()
  /** Headers that differ between attempts with the same content. */
  const varyingHeaders: ReadonlySet<string> = new Set([names.attemptId])

  function writeLocalResponse (response: ServerResponse, status: number, retryAfterMs?: number): void {
    if (response.headersSent || response.destroyed) return
    const headers: Record<string, string> = { 'Content-Length': '0' }
    if (retryAfterMs !== undefined) headers['Retry-After'] = (retryAfterMs / 1000).toFixed(3)
    if (options.isLeaving() && connectionOf(response.req).endAfterLast(response.req)) headers.Connection = 'close'
    response.writeHead(status, headers).end()
  }

  /** Responds to a request whose body was not read, and closes the connection, on which the rest of the body may follow. */
  function refuseBody (exchange: Exchange, cause: 'too-long' | 'timed-out' | 'broken-off'): void {
    if (cause === 'broken-off' || exchange.hasCallerLeft) return finish(exchange, 0, 'caller-broke-off')
    const status = cause === 'too-long' ? 413 : 408
    if (connectionOf(exchange.request).endAfterLast(exchange.request)) exchange.response.setHeader('Connection', 'close')
    writeLocalResponse(exchange.response, status)
    finish(exchange, status, `body-${cause}`)
  }

  /** Refuses a request that may still be in progress when this host stops; other hosts can serve it at once. */
  function refuseBeforeStop (exchange: Exchange): void {
    const retryAfterMs = STOPPING_RETRY_AFTER_MS * (1 + options.random())
    writeLocalResponse(exchange.response, 503, retryAfterMs)
    finish(exchange, 503, 'stopping', retryAfterMs)
  }

  /** Whether a response of the only server can no longer arrive within the latency goal, counted from the caller's first attempt. */
  function isLate (exchange: Exchange, server: RoutedServer): boolean {
    return isKeyed(exchange) && exchange.elapsedMs > 0 && exchange.elapsedMs + now() - exchange.startedAt + loads.workMs(server) > exchange.route.latencyGoalMs
  }

  function finish (exchange: Exchange, status: number, reason: string, retryAfterMs?: number): void {
    options.onRequestEnd({
      id: exchange.id,
      route: exchange.route.name,
      service: exchange.service,
      key: exchange.key,
      status,
      reason,
      durationMs: now() - exchange.startedAt,
      attempts: exchange.attempts,
      ...(exchange.responseBody === undefined ? {} : { responseBody: exchange.responseBody }),
      isCallerConnected: !exchange.request.socket.destroyed,
      isFirstAttempt: exchange.elapsedMs === 0,
      ...(exchange.attempts.some(({ outcome }) => outcome === 'lost') ? { fingerprint: exchange.fingerprint()?.exact ?? null } : {}),
      ...(retryAfterMs === undefined ? {} : { retryAfterMs })
    })
  }

  /** Refuses a request under which servers have ended; `null` if it may be sent. */
  function refuseFatal (exchange: Exchange): AttemptDecision | null {
    const retryAfterMs = options.guard.refusalMs(exchange.fingerprint)
    return retryAfterMs === null ? null : { kind: 'refuse', reason: 'ends-servers', retryAfterMs }
  }

  async function makeAttempt (exchange: Exchange): Promise<AttemptDecision> {
    const refusal = refuseFatal(exchange)
    if (refusal !== null) return refusal
    const server = await finder.find(exchange)
    if ('kind' in server) return server
    // Another server may have ended while the request waited for an owner.
    const lateRefusal = refuseFatal(exchange)
    if (lateRefusal !== null) return lateRefusal
    const path = serverSelector.selectPath(exchange, server)
    if (path.kind === 'none') return { kind: 'refuse', reason: 'no-path', retryAfterMs: jitteredRetryAfterMs(exchange, DEFAULT_RETRY_AFTER_MS) }
    return path.kind === 'direct' ? await attemptDirectly(exchange, server) : await attemptThroughRelay(exchange, server, path.relay)
  }

  function admissionQuery (exchange: Exchange, server: RoutedServer): ServerAdmissionQuery {
    const key = isKeyed(exchange) ? exchange.key : null
    return {
      key,
      latencyGoalMs: exchange.route.latencyGoalMs,
      remainingMs: remainingMs(exchange),
      callerRemainingMs: callerRemainingMs(exchange),
      isLate: isLate(exchange, server),
      isRelay: options.relays.isRelay(server),
      // Without a relay, this host does not know all requests without a key at the server.
      ...(key === null ? { maximumOccupancy: Infinity } : {})
    }
  }

  /** Retry delay after a refusal for want of room. Callers of one key already have different ones. */
  function retryAfterFullMs (exchange: Exchange, returnAfterMs: number): number {
    return isKeyed(exchange) ? clampRetryAfterMs(returnAfterMs, callerRemainingMs(exchange)) : jitteredRetryAfterMs(exchange, returnAfterMs)
  }

  /** Continues with another server of the service after one has reached its limit. */
  function tryAnotherServer (exchange: Exchange, server: RoutedServer, availableAfterMs: number): AttemptDecision {
    options.permits.recordRefusal(server.id, availableAfterMs)
    exchange.triedServers.add(server.id)
    return { kind: 'choose-again' }
  }

  /** Waits for a slot of the server or, as its relay, of another one in its group. */
  async function takeSlot (exchange: Exchange, server: RoutedServer): Promise<Turn> {
    const query = admissionQuery(exchange, server)
    if (query.isRelay && options.queues?.isUsedFor(server) === true) {
      return await options.queues.enter({
        server, tried: exchange.triedServers, priority: exchange.route.priority, key: query.key, goalMs: query.latencyGoalMs, goalAt: now() + goalRemainingMs(exchange), deadlineAt: exchange.deadlineAt, callerRemainingMs: query.callerRemainingMs, signal: exchange.abort.signal
      })
    }
    const admission = options.admission.decide(server, query)
    return admission.kind === 'refuse' ? admission : { kind: 'send', server, waitedMs: 0, end: admission.end }
  }

  async function attemptDirectly (exchange: Exchange, named: RoutedServer): Promise<AttemptDecision> {
    if (isKeyed(exchange) && !(options.relays.isRelay(named) && options.queues?.isUsedFor(named) === true) && options.random() > loads.admitShare(named.id)) return { kind: 'refuse', reason: 'key-overloaded', retryAfterMs: clampRetryAfterMs(callerRemainingMs(exchange), callerRemainingMs(exchange)) }
    const turn = await takeSlot(exchange, named)
    if (turn.kind === 'aborted') return decideOnTimeout(exchange)
    if (turn.kind === 'unavailable') return tryAnotherServer(exchange, named, 0)
    if (turn.kind === 'refuse' && turn.isOverLimit && !isKeyed(exchange)) return tryAnotherServer(exchange, named, turn.returnAfterMs)
    if (turn.kind === 'refuse') return { kind: 'refuse', reason: turn.isCold === true ? 'server-cold' : turn.isOverLimit ? 'over-limit' : 'no-room', retryAfterMs: retryAfterFullMs(exchange, turn.returnAfterMs) }
    if (turn.waitedMs > 0) await pollConnections()
    const lateRefusal = exchange.abort.signal.aborted ? decideOnTimeout(exchange) : refuseFatal(exchange)
    if (lateRefusal !== null) {
      turn.end()
      return lateRefusal
    }
    const { server } = turn
    const expectedMs = loads.expectedMs(server)
    const inFlight = loads.inFlight(server.id)
    const sentAt = now()
    const complete = loads.trackRequest(server)
    const outcome = await attemptSender.send(exchange, { attempt: createAttempt(exchange, server), connections: { agent: options.agent, names, limits: options.limits, ...(options.statements === undefined ? {} : { statements: options.statements }), onLeaving: routingState.recordLeaving, isEvacuated: routingState.isEvacuated }, timeoutMs: attemptTimeoutMs(expectedMs) })
    const durationMs = now() - sentAt
    complete(toLoadOutcome(outcome, durationMs))
    turn.end(outcome)
    reportAttempt(options.guard, { server, fingerprint: exchange.fingerprint, sentAt, outcome })
    recordAttempt(exchange, { server: server.id, outcome, durationMs, inFlight, expectedMs })
    if (outcome.kind === 'unsent' && options.relays.isIsolated()) {
      exchange.triedDirectly = true
      return tryAnotherWay(exchange)
    }
    return continueAfter(exchange, server, outcome)
  }

  /** Sends the request through a relay, which does the admission control: it knows all requests in flight at its servers. */
  async function attemptThroughRelay (exchange: Exchange, named: RoutedServer, relay: Relay): Promise<AttemptDecision> {
    const expectedMs = loads.expectedMs(named)
    const sentAt = now()
    const completions = [relay.trackRequest(exchange.id, Math.max(expectedMs, goalRemainingMs(exchange) * RELAY_OVERDUE_SHARE)), loads.trackRelayedRequest(named, relay.host)]
    let server = named
    const outcome = await attemptSender.send(exchange, {
      attempt: {
        ...createAttempt(exchange, named),
        relay: {
          address: relay.address, priority: exchange.route.priority, goalMs: exchange.route.latencyGoalMs, goalRemainingMs: goalRemainingMs(exchange), callerRemainingMs: callerRemainingMs(exchange), isLate: isLate(exchange, named), triedServers: exchange.triedServers, isRepeatable: attemptSender.isRepeatable(exchange)
        }
      },
      connections: {
        agent: options.relayAgent, names, limits: options.limits, serverOf: routingState.server, onServer (id) { server = routingState.server(id) ?? named }, onLeaving: routingState.recordLeaving, isEvacuated: routingState.isEvacuated, connectTimeoutMs: RELAY_CONNECT_TIMEOUT_MS
      },
      timeoutMs: Math.max(attemptTimeoutMs(expectedMs), remainingMs(exchange) * RELAY_WAIT_SHARE)
    })
    for (const complete of completions) complete(!(outcome.kind === 'lost' || (outcome.kind === 'unsent' && outcome.atRelay === true)))
    recordAttempt(exchange, { server: server.id, outcome, durationMs: now() - sentAt, inFlight: loads.inFlight(server.id), expectedMs, relay: relay.host })
    if (outcome.kind === 'unsent' && outcome.atRelay === true) {
      exchange.triedRelays.add(relay.host)
      if (outcome.isRelayIsolated === true) options.relays.recordIsolated(relay.host)
      return tryAnotherWay(exchange)
    }
    return continueAfter(exchange, server, outcome)
  }

  function recordAttempt (exchange: Exchange, attempt: EndedAttempt): void {
    const record = createAttemptRecord(attempt, { earlier: exchange.attempts, withdrawals: exchange.ledger.withdrawals() })
    exchange.ledger.record(record.reach)
    exchange.attempts.push(record)
  }

  function createAttempt (exchange: Exchange, server: RoutedServer): Attempt {
    return {
      server,
      id: exchange.id,
      method: exchange.request.method ?? 'GET',
      path: exchange.request.url ?? '/',
      headers: requestHeaders(exchange.request.rawHeaders, names),
      body: exchange.body,
      memory: exchange.memory,
      deadlineMs: remainingMs(exchange),
      signal: exchange.abort.signal
    }
  }

  /** Records what the outcome shows about the server, and decides what follows. */
  function continueAfter (exchange: Exchange, server: RoutedServer, outcome: AttemptOutcome): AttemptDecision {
    if (outcome.kind === 'lost' || (outcome.kind === 'answer' && outcome.status >= 500)) exchange.mayHaveRun = true
    if (outcome.kind === 'not-admitted' && outcome.isOverLimit === true) options.permits.recordRefusal(server.id, outcome.roomAfterMs)
    // A key has one owner: another server is tried only if the cached owner is out of date or cannot be reached.
    if (!isKeyed(exchange) || outcome.kind === 'unsent' || (outcome.kind === 'not-run' && outcome.misdirected)) exchange.triedServers.add(server.id)
    const step = decideNext({
      outcome,
      isIdempotent: exchange.route.kind === RequestKind.idempotent,
      isKeyed: isKeyed(exchange),
      isReplayable: exchange.body === null || Buffer.isBuffer(exchange.body),
      isSuspect: outcome.kind === 'lost' && options.guard.isSuspect(exchange.fingerprint),
      isServerFull: loads.isFull(server.id),
      isAborted: exchange.abort.signal.aborted,
      mayHaveRun: exchange.mayHaveRun,
      tryRepeat: () => exchange.ledger.tryRepeat({ remainingMs: remainingMs(exchange), limitsUnsent: true })
    })
    if (step.kind === 'timed-out') return decideOnTimeout(exchange)
    return step.kind === 'refuse' ? { kind: 'refuse', reason: step.reason, retryAfterMs: retryAfterRefusalMs(exchange, server, step) } : step
  }

  /** Continues on another way after one has failed before any server: the ways that were tried limit such attempts. */
  function tryAnotherWay (exchange: Exchange): AttemptDecision {
    if (exchange.abort.signal.aborted) return decideOnTimeout(exchange)
    // A relay may have taken part of a streamed body before it refused the request.
    const payment = isBodyUnread(exchange.body) ? exchange.ledger.tryRepeat({ remainingMs: remainingMs(exchange), limitsUnsent: false }) : null
    return payment === null ? { kind: 'refuse', reason: 'no-path', retryAfterMs: jitteredRetryAfterMs(exchange, DEFAULT_RETRY_AFTER_MS) } : { kind: 'retry', payment }
  }

  function retryAfterRefusalMs (exchange: Exchange, server: RoutedServer, { reason, roomAfterMs }: Extract<NextStep, { readonly kind: 'refuse' }>): number {
    if (reason === 'ends-servers') return roomAfterMs ?? 0
    if (reason === 'server-unreachable') return jitteredRetryAfterMs(exchange, DEFAULT_RETRY_AFTER_MS)
    if (reason === 'owner-changed') return jitteredRetryAfterMs(exchange, loads.workMs(server) / 2)
    return retryAfterFullMs(exchange, roomAfterMs ?? options.admission.returnAfterMs(server, admissionQuery(exchange, server)))
  }

  async function runAttempts (exchange: Exchange): Promise<void> {
    let decision: AttemptDecision = { kind: 'choose-again' }
    while (decision.kind === 'retry' || decision.kind === 'choose-again') {
      await pollConnections()
      decision = remainingMs(exchange) <= 0 || exchange.abort.signal.aborted ? decideOnTimeout(exchange) : await makeAttempt(exchange)
    }
    const { response } = exchange
    if (exchange.hasCallerLeft || response.destroyed) return finish(exchange, 0, 'caller-left')
    if (decision.kind === 'refuse') {
      // 503 means that the request has not run, so it is never sent for a request that may have run, idempotent or not.
      const status = exchange.mayHaveRun ? 502 : 503
      writeLocalResponse(response, status, decision.retryAfterMs)
      return finish(exchange, status, decision.reason, decision.retryAfterMs)
    }
    if (decision.kind === 'fail') {
      writeLocalResponse(response, decision.status)
      return finish(exchange, decision.status, decision.reason)
    }
    const { isWhole, body } = await forwardResponse(response, decision.outcome, { closesConnection: options.isLeaving() && connectionOf(response.req).endAfterLast(response.req), memory: exchange.memory, signal: exchange.abort.signal })
    exchange.responseBody = body
    finish(exchange, decision.outcome.status, isWhole ? 'served' : 'answer-broke-off')
  }

  async function handleRequest (request: IncomingMessage, response: ServerResponse, memory: ResponseAccount): Promise<void> {
    const startedAt = now()
    const routes = routingState.routes()
    const id = String(request.headers[names.attemptId] ?? '')
    if (routes === null) {
      writeLocalResponse(response, 503, DEFAULT_RETRY_AFTER_MS)
      return
    }
    const route = routes.match(request.headers.host ?? '', request.url ?? '/')
    const service = route === null ? null : pickTarget(route, options.random())
    if (route === null || service === null) {
      writeLocalResponse(response, route === null ? 404 : 503, route === null ? undefined : DEFAULT_RETRY_AFTER_MS)
      return
    }
    const deadline = Number(request.headers[names.deadlineMs])
    const statedMs = Number.isFinite(deadline) && deadline > 0 ? deadline : null
    const timeoutMs = Math.min(statedMs ?? Infinity, route.timeoutMs)
    const key = parseKey(request.headers[names.key])
    const abort = new AbortController()
    const exchange: Exchange = {
      request, response, id, route, service, key, startedAt, deadlineAt: startedAt + timeoutMs, callerDeadlineAt: startedAt + (statedMs ?? timeoutMs), elapsedMs: statedMs === null ? 0 : callerDeadlines.elapsedMs(route.name, statedMs), abort, attempts: [], ledger: createAttemptLedger({ maximumAttempts: route.maximumAttempts, budget: options.retryBudgetOf(service) }), memory, triedServers: new Set(), fingerprint: createFingerprintSource(() => ({ method: request.method ?? 'GET', path: request.url ?? '/', headers: requestHeaders(request.rawHeaders, names), body: exchange.body }), varyingHeaders), body: null, mayHaveRun: false, triedRelays: new Set(), triedDirectly: false, hasCallerLeft: false
    }
    const timer = setTimeout(() => { abort.abort() }, timeoutMs)
    const endWatch = watchDisconnect(request, () => {
      exchange.hasCallerLeft = true
      abort.abort()
    })
    options.retryBudgetOf(service).deposit()
    if (key !== null && isKeyed(exchange)) options.onKeyRequested(service, key)
    try {
      const reading = await bodyReader.read(request, { maximumBytes: routingState.configuration()?.limits.bodyBytes ?? 0, signal: abort.signal })
      if (reading.kind !== 'body') return refuseBody(exchange, reading.kind)
      exchange.body = reading.body
      if (exchange.deadlineAt > options.stopsAt()) return refuseBeforeStop(exchange)
      await runAttempts(exchange)
    } finally {
      clearTimeout(timer)
      endWatch()
      discardBody(exchange.body)
    }
  }

  return {
    async handle (request, response) {
      pending++
      const memory = options.responseMemory.open()
      try {
        await handleRequest(request, response, memory)
        await waitUntilSent(response)
      } finally {
        memory.close()
        pending--
      }
    },
    pending: () => pending
  }
}
