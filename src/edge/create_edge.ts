/**
 * The edge: finds the service, key and slice of a caller's request and has it
 * dispatched by the host in charge. A stale route costs a hop, never safety.
 */
import { setTimeout as delay } from 'node:timers/promises'
import {
  createRetryBudget, isReplayable, NotRunReason, UnknownReason,
  type DispatchOutcome, type DispatchRequest, type Dispatcher, type HeaderValues, type RequestBody
} from '../dispatch/mod.ts'
import type { ServiceConfiguration } from '../configuration/mod.ts'
import { sliceOfKey } from '../slices/mod.ts'
import { extractKey, matchService } from './match_service.ts'
import type { PeerClient } from './peer_client.ts'

/** A caller's request as it came in. */
export interface CallerRequest {
  readonly id: string
  readonly method: string
  readonly path: string
  readonly headers: HeaderValues
  readonly body: RequestBody
  readonly signal: AbortSignal
}

/** Where the edge may have a request dispatched. */
export interface Routes {
  /** Hosts to try, best first; the first is the dispatcher where it is known. */
  candidates (service: string, slice: number | null): readonly string[]
}

/** What an edge works with. */
export interface EdgeOptions {
  readonly host: string
  readonly dispatcher: Dispatcher
  readonly peers: PeerClient
  readonly routes: Routes
  readonly services: () => readonly ServiceConfiguration[]
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** The edge of one host. */
export interface Edge {
  handle (request: CallerRequest): Promise<DispatchOutcome>
}

/** Pause before another host is tried, in milliseconds. */
const RETRY_PAUSE_MS = 15

/** Hints to another host that are followed without a pause. */
const FREE_HINTS = 2

/** Reasons for which another try at another moment or host may succeed. */
const PASSING_REASONS: ReadonlySet<string> = new Set([
  NotRunReason.wrongDispatcher, NotRunReason.noDispatcher, NotRunReason.peerUnreachable, NotRunReason.shuttingDown
])

/** How long a route learned from an answer is used, in milliseconds. */
const LEARNED_ROUTE_MS = 10_000

/** Routes that are remembered at most. */
const MAXIMUM_LEARNED_ROUTES = 20_000

/**
 * Creates the edge of one host.
 *
 * @param options Ports and decision code that it works with.
 * @returns The edge.
 */
export function createEdge (options: EdgeOptions): Edge {
  const budget = createRetryBudget()
  const learned = new Map<string, { readonly host: string, readonly until: number }>()

  function plan (request: CallerRequest): DispatchRequest | DispatchOutcome {
    const target = { host: String(request.headers.host ?? ''), path: request.path, headers: request.headers }
    const service = matchService(options.services(), target)
    if (service === undefined) return { kind: 'not-run', reason: NotRunReason.noService }
    const key = extractKey(service, target)
    if (key === undefined) return { kind: 'not-run', reason: NotRunReason.noKey }
    const isIdempotent = (service.requests.idempotent as readonly string[]).includes(request.method)
    const claimKey = claimKeyOf(service, request, isIdempotent)
    if (claimKey === undefined) return { kind: 'not-run', reason: NotRunReason.idempotencyKeyMissing }
    return {
      id: request.id,
      service: service.name,
      slice: key === null || service.key === undefined ? null : sliceOfKey(key, service.key.slices),
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      deadline: options.now() + service.requests.deadline_ms,
      isIdempotent,
      claimKey,
      signal: request.signal
    }
  }

  async function route (request: DispatchRequest): Promise<DispatchOutcome> {
    let hint: string | undefined
    for (let tries = 0; ; tries++) {
      const host = hint ?? choose(request, tries)
      const outcome = host === undefined
        ? { kind: 'not-run', reason: NotRunReason.noDispatcher } as const
        : await attempt(host, request)
      if (outcome.kind === 'answer') learn(request, outcome.dispatcher)
      const isLastTry = !mayTryAgain(request, outcome)
      if (isLastTry) return outcome
      hint = outcome.kind === 'not-run' && outcome.dispatcher !== host ? outcome.dispatcher : undefined
      if (hint === undefined || tries >= FREE_HINTS) await delay(RETRY_PAUSE_MS * (0.5 + Math.random()))
    }
  }

  async function attempt (host: string, request: DispatchRequest): Promise<DispatchOutcome> {
    return host === options.host ? await options.dispatcher.dispatch(request) : await options.peers.dispatch(host, request)
  }

  function mayTryAgain (request: DispatchRequest, outcome: DispatchOutcome): boolean {
    if (outcome.kind === 'answer' || request.signal.aborted) return false
    if (!isReplayable(request.body) || options.now() + RETRY_PAUSE_MS >= request.deadline) return false
    if (outcome.kind === 'not-run') return PASSING_REASONS.has(outcome.reason)
    return request.isIdempotent && outcome.reason === UnknownReason.peerLost && budget.tryWithdraw()
  }

  function choose (request: DispatchRequest, tries: number): string | undefined {
    const known = learned.get(routeKey(request))
    if (tries === 0 && known !== undefined && known.until > options.now()) return known.host
    const candidates = options.routes.candidates(request.service, request.slice)
    if (tries === 0 || candidates.length < 2) return candidates[0]
    return candidates[tries % candidates.length]
  }

  function learn (request: DispatchRequest, host: string): void {
    if (learned.size >= MAXIMUM_LEARNED_ROUTES) learned.clear()
    if (request.slice !== null) learned.set(routeKey(request), { host, until: options.now() + LEARNED_ROUTE_MS })
  }

  return {
    async handle (request) {
      const planned = plan(request)
      if ('kind' in planned) return planned
      budget.deposit()
      const outcome = await route(planned)
      if (outcome.kind !== 'answer') learned.delete(routeKey(planned))
      return outcome
    }
  }
}

function routeKey (request: DispatchRequest): string {
  return `${request.service}/${request.slice ?? ''}`
}

/** Returns the key to claim, `null` where none is, `undefined` where one is missing. */
function claimKeyOf (service: ServiceConfiguration, request: CallerRequest, isIdempotent: boolean): string | null | undefined {
  const rule = service.requests.idempotency_key
  if (isIdempotent || rule === 'ignored') return null
  const value = request.headers['idempotency-key']
  if (typeof value === 'string' && value !== '') return value
  return rule === 'required' ? undefined : null
}
