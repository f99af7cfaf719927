/** HTTP client for the dispatch interface of other entry hosts. */
import { errors, Pool } from 'undici'
import { sendWithPool } from '../http_call/mod.ts'
import { createPeerFailureDetector } from './peer_failure_detector.ts'
import {
  isReplayable, NotRunReason, UnknownReason, forwardableHeaders,
  type DispatchNotRun, type DispatchOutcome, type DispatchRequest, type DispatchUnknown
} from '../dispatch/mod.ts'

/** Options of {@link PeerClient.dispatch}. */
export interface PeerDispatchOptions {
  /** True if another host has already forwarded the request; the receiver must not forward it again. Default: false. */
  readonly isForwarded?: boolean
}

/** Client for the dispatch interface of other hosts. */
export interface PeerClient {
  /** Forwards a request to another host for dispatch. */
  dispatch (host: string, request: DispatchRequest, options?: PeerDispatchOptions): Promise<DispatchOutcome>
  close (): Promise<void>
}

/** Options of {@link createPeerClient}. */
export interface PeerClientOptions {
  readonly secret: string
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Maximum number of connections to one host. Default: 128. */
  readonly connections?: number
}

/** Time after the deadline at which a call is aborted, in milliseconds; the deadline at the peer may be later by this much. */
const DEADLINE_GRACE_MS = 100

/** Timeout of a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 300

/** Codes of errors that occur before a request is sent. */
const UNSENT_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/**
 * Creates the client of one host.
 *
 * @param options Secret, clock and limits.
 * @returns The client; no call throws.
 */
export function createPeerClient (options: PeerClientOptions): PeerClient {
  const pools = new Map<string, Pool>()
  const probePools = new Map<string, Pool>()
  const failureDetector = createPeerFailureDetector({ probe, now: options.now })

  function poolFor (host: string, poolsByHost = pools, connections = options.connections ?? 128): Pool {
    const existing = poolsByHost.get(host)
    if (existing !== undefined) return existing
    const pool = new Pool(`http://${host}`, {
      connections, pipelining: 1, connectTimeout: 300, headersTimeout: 0, bodyTimeout: 0
    })
    poolsByHost.set(host, pool)
    return pool
  }

  async function probe (host: string): Promise<boolean> {
    try {
      const response = await sendWithPool(poolFor(host, probePools, 1), {
        method: 'GET', path: '/alive', headers: { 'gooseberryfold-secret': options.secret }, signal: AbortSignal.timeout(PROBE_TIMEOUT_MS)
      })
      await response.body.dump()
      return true
    } catch {
      return false
    }
  }

  async function send (host: string, request: DispatchRequest, sendOptions: PeerDispatchOptions & { readonly signal: AbortSignal }): Promise<DispatchOutcome> {
    const response = await sendWithPool(poolFor(host), {
      method: request.method as 'GET',
      path: `/dispatch${request.path}`,
      headers: {
        ...forwardableHeaders(request.headers),
        'gooseberryfold-secret': options.secret,
        'gooseberryfold-service': request.service,
        'gooseberryfold-request-id': request.id,
        'gooseberryfold-deadline-ms': String(Math.max(1, Math.floor(request.deadline - options.now()))),
        'gooseberryfold-idempotent': String(request.isIdempotent),
        ...(sendOptions.isForwarded === true ? { 'gooseberryfold-forwarded': 'true' } : {}),
        ...(request.slice === null ? {} : { 'gooseberryfold-slice': String(request.slice) }),
        ...(request.claimKey === null ? {} : { 'gooseberryfold-claim-key': encodeURIComponent(request.claimKey) })
      },
      body: request.body,
      signal: sendOptions.signal
    })
    const { headers } = response
    const outcome = headers['gooseberryfold-outcome']
    if (outcome === 'answer') {
      return {
        kind: 'answer',
        status: response.statusCode,
        headers,
        body: response.body,
        server: String(headers['gooseberryfold-server']),
        dispatcher: host
      }
    }
    response.body.resume()
    return decodeOutcome(headers)
  }

  return {
    async dispatch (host, request, { isForwarded } = {}) {
      if (failureDetector.isUnresponsive(host)) return { kind: 'not-run', reason: NotRunReason.peerUnreachable }
      const cancellation = new AbortController()
      const timer = setTimeout(() => { cancellation.abort() }, Math.max(0, request.deadline - options.now()) + DEADLINE_GRACE_MS)
      let isPeerUnresponsive = false
      const stopTracking = failureDetector.trackRequest(host, () => {
        if (!request.isIdempotent || !isReplayable(request.body)) return
        isPeerUnresponsive = true
        cancellation.abort()
      })
      try {
        const outcome = await send(host, request, { isForwarded, signal: AbortSignal.any([request.signal, cancellation.signal]) })
        if (outcome.kind === 'answer') outcome.body.once('close', () => { clearTimeout(timer) })
        else clearTimeout(timer)
        return outcome
      } catch (error) {
        clearTimeout(timer)
        if (isPeerUnresponsive && !request.signal.aborted) return { kind: 'unknown', reason: UnknownReason.peerLost }
        return outcomeOfError(error, request.signal)
      } finally {
        stopTracking()
      }
    },
    async close () {
      await Promise.all([...pools.values(), ...probePools.values()].map(async (pool) => { await pool.destroy() }))
    }
  }
}

function outcomeOfError (error: unknown, callerSignal: AbortSignal): DispatchOutcome {
  const code = typeof error === 'object' && error !== null ? (error as { readonly code?: unknown }).code : undefined
  if (typeof code === 'string' && UNSENT_ERROR_CODES.has(code)) return { kind: 'not-run', reason: NotRunReason.peerUnreachable }
  if (callerSignal.aborted) return { kind: 'unknown', reason: UnknownReason.callerGone }
  const isAborted = error instanceof errors.RequestAbortedError || (error instanceof Error && error.name === 'AbortError')
  return { kind: 'unknown', reason: isAborted ? UnknownReason.deadline : UnknownReason.peerLost }
}

function decodeOutcome (headers: Readonly<Record<string, string | string[] | undefined>>): DispatchNotRun | DispatchUnknown {
  const reason = headers['gooseberryfold-reason']
  const notRunReason = Object.values(NotRunReason).find((known) => known === reason)
  if (headers['gooseberryfold-outcome'] === 'not-run' && notRunReason !== undefined) {
    const dispatcher = headers['gooseberryfold-dispatcher']
    return { kind: 'not-run', reason: notRunReason, dispatcher: typeof dispatcher === 'string' ? dispatcher : undefined }
  }
  const unknownReason = Object.values(UnknownReason).find((known) => known === reason)
  return { kind: 'unknown', reason: unknownReason ?? UnknownReason.peerLost }
}
