/**
 * Finds the service, key and slice of a caller's request and sends the request
 * to the host that dispatches for the slice. A stale route costs an extra hop
 * but is safe.
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

/** A caller's request as received. */
export interface CallerRequest {
  readonly id: string
  readonly method: string
  readonly path: string
  readonly headers: HeaderValues
  readonly body: RequestBody
  readonly signal: AbortSignal
}

/** Routing table: the hosts that can dispatch a request. */
export interface Routes {
  /** Returns the hosts to try, best first; the first is the dispatcher if it is known. */
  candidates (service: string, slice: number | null): readonly string[]
}

/** Options of {@link createEdge}. */
export interface EdgeOptions {
  readonly host: string
  readonly dispatcher: Dispatcher
  readonly peers: PeerClient
  readonly routes: Routes
  readonly services: () => readonly ServiceConfiguration[]
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Entry point for the requests that callers send to one host. */
export interface Edge {
  handle (request: CallerRequest): Promise<DispatchOutcome>
}

/** Mean delay before a retry, in milliseconds. */
const RETRY_DELAY_MS = 15

/** Retries that follow a dispatcher hint without a delay. */
const MAXIMUM_IMMEDIATE_RETRIES = 2

/** Reasons for which a retry, later or at another host, may succeed. */
const TRANSIENT_REASONS: ReadonlySet<string> = new Set([
  NotRunReason.wrongDispatcher, NotRunReason.noDispatcher, NotRunReason.peerUnreachable, NotRunReason.shuttingDown
])

/** How long a route is reused after a request to it received a response, in milliseconds. */
const CACHED_ROUTE_LIFETIME_MS = 10_000

/** Number of cached routes at which the cache is cleared. */
const MAXIMUM_CACHED_ROUTES = 20_000

/**
 * Creates the edge of one host.
 *
 * @param options Host, dispatcher, peer client, routes, services and clock.
 * @returns The edge.
 */
export function createEdge (options: EdgeOptions): Edge {
  const retryBudget = createRetryBudget()
  const cachedRoutes = new Map<string, { readonly host: string, readonly until: number }>()

  function prepareRequest (request: CallerRequest): DispatchRequest | DispatchOutcome {
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
    let hintedHost: string | undefined
    for (let retries = 0; ; retries++) {
      const host = hintedHost ?? selectHost(request, retries)
      const outcome = host === undefined
        ? { kind: 'not-run', reason: NotRunReason.noDispatcher } as const
        : await dispatchAt(host, request)
      if (outcome.kind === 'answer') cacheRoute(request, outcome.dispatcher)
      const isFinal = !isRetryable(request, outcome)
      if (isFinal) return outcome
      hintedHost = outcome.kind === 'not-run' && outcome.dispatcher !== host ? outcome.dispatcher : undefined
      if (hintedHost === undefined || retries >= MAXIMUM_IMMEDIATE_RETRIES) await delay(RETRY_DELAY_MS * (0.5 + Math.random()))
    }
  }

  async function dispatchAt (host: string, request: DispatchRequest): Promise<DispatchOutcome> {
    return host === options.host ? await options.dispatcher.dispatch(request) : await options.peers.dispatch(host, request)
  }

  function isRetryable (request: DispatchRequest, outcome: DispatchOutcome): boolean {
    if (outcome.kind === 'answer' || request.signal.aborted) return false
    if (!isReplayable(request.body) || options.now() + RETRY_DELAY_MS >= request.deadline) return false
    if (outcome.kind === 'not-run') return TRANSIENT_REASONS.has(outcome.reason)
    return request.isIdempotent && outcome.reason === UnknownReason.peerLost && retryBudget.tryWithdraw()
  }

  function selectHost (request: DispatchRequest, retries: number): string | undefined {
    const cached = cachedRoutes.get(routeKey(request))
    if (retries === 0 && cached !== undefined && cached.until > options.now()) return cached.host
    const candidates = options.routes.candidates(request.service, request.slice)
    if (retries === 0 || candidates.length < 2) return candidates[0]
    return candidates[retries % candidates.length]
  }

  function cacheRoute (request: DispatchRequest, host: string): void {
    if (cachedRoutes.size >= MAXIMUM_CACHED_ROUTES) cachedRoutes.clear()
    if (request.slice !== null) cachedRoutes.set(routeKey(request), { host, until: options.now() + CACHED_ROUTE_LIFETIME_MS })
  }

  return {
    async handle (request) {
      const prepared = prepareRequest(request)
      if ('kind' in prepared) return prepared
      retryBudget.deposit()
      const outcome = await route(prepared)
      if (outcome.kind !== 'answer') cachedRoutes.delete(routeKey(prepared))
      return outcome
    }
  }
}

function routeKey (request: DispatchRequest): string {
  return `${request.service}/${request.slice ?? ''}`
}

/** Returns the key to claim, `null` if no claim is needed, or `undefined` if a required key is missing. */
function claimKeyOf (service: ServiceConfiguration, request: CallerRequest, isIdempotent: boolean): string | null | undefined {
  const rule = service.requests.idempotency_key
  if (isIdempotent || rule === 'ignored') return null
  const value = request.headers['idempotency-key']
  if (typeof value === 'string' && value !== '') return value
  return rule === 'required' ? undefined : null
}
