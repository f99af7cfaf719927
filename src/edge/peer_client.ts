/** Client of the dispatch interface of other entry hosts. */
import { errors, Pool } from 'undici'
import { createPeerFailureDetector } from './peer_failure_detector.ts'
import {
  isReplayable, NotRunReason, UnknownReason, forwardableHeaders,
  type DispatchNotRun, type DispatchOutcome, type DispatchRequest, type DispatchUnknown
} from '../dispatch/mod.ts'

/** Options of {@link PeerClient.dispatch}. */
export interface PeerDispatchOptions {
  /** Whether the request has come from another host already and must not go on to a third. Default: false. */
  readonly isForwarded?: boolean
}

/** Client of the other hosts. */
export interface PeerClient {
  /** Has a request dispatched by another host. */
  dispatch (host: string, request: DispatchRequest, options?: PeerDispatchOptions): Promise<DispatchOutcome>
  close (): Promise<void>
}

/** Options of {@link createPeerClient}. */
export interface PeerClientOptions {
  readonly secret: string
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Connections to one host at most. Default: 128. */
  readonly connections?: number
}

/** What a peer's deadline may fall behind ours, in milliseconds. */
const DEADLINE_GRACE_MS = 100

/** Time in which a peer must say that it is alive, in milliseconds. */
const PROBE_TIMEOUT_MS = 300

const UNSENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/**
 * Creates the client.
 *
 * @param options Secret, clock and limits.
 * @returns The client; no call throws.
 */
export function createPeerClient (options: PeerClientOptions): PeerClient {
  const pools = new Map<string, Pool>()
  const probePools = new Map<string, Pool>()
  const health = createPeerFailureDetector({ probe, now: options.now })

  function poolFor (host: string, kept = pools, connections = options.connections ?? 128): Pool {
    const existing = kept.get(host)
    if (existing !== undefined) return existing
    const pool = new Pool(`http://${host}`, {
      connections, pipelining: 1, connectTimeout: 300, headersTimeout: 0, bodyTimeout: 0
    })
    kept.set(host, pool)
    return pool
  }

  async function probe (host: string): Promise<boolean> {
    try {
      const response = await poolFor(host, probePools, 1).request({
        method: 'GET', path: '/alive', headers: { 'gooseberryfold-secret': options.secret }, signal: AbortSignal.timeout(PROBE_TIMEOUT_MS)
      })
      await response.body.dump()
      return true
    } catch {
      return false
    }
  }

  async function send (host: string, request: DispatchRequest, sending: PeerDispatchOptions & { readonly signal: AbortSignal }): Promise<DispatchOutcome> {
    const response = await poolFor(host).request({
      method: request.method as 'GET',
      path: `/dispatch${request.path}`,
      headers: {
        ...forwardableHeaders(request.headers),
        'gooseberryfold-secret': options.secret,
        'gooseberryfold-service': request.service,
        'gooseberryfold-request-id': request.id,
        'gooseberryfold-deadline-ms': String(Math.max(1, Math.floor(request.deadline - options.now()))),
        'gooseberryfold-idempotent': String(request.isIdempotent),
        ...(sending.isForwarded === true ? { 'gooseberryfold-forwarded': 'true' } : {}),
        ...(request.slice === null ? {} : { 'gooseberryfold-slice': String(request.slice) }),
        ...(request.claimKey === null ? {} : { 'gooseberryfold-claim-key': encodeURIComponent(request.claimKey) })
      },
      body: request.body,
      signal: sending.signal
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
    return decodeProblem(headers)
  }

  return {
    async dispatch (host, request, { isForwarded } = {}) {
      if (health.isUnresponsive(host)) return { kind: 'not-run', reason: NotRunReason.peerUnreachable }
      const cancel = new AbortController()
      const timer = setTimeout(() => { cancel.abort() }, Math.max(0, request.deadline - options.now()) + DEADLINE_GRACE_MS)
      let isFrozen = false
      const unwatch = health.trackRequest(host, () => {
        if (!request.isIdempotent || !isReplayable(request.body)) return
        isFrozen = true
        cancel.abort()
      })
      try {
        const outcome = await send(host, request, { isForwarded, signal: AbortSignal.any([request.signal, cancel.signal]) })
        if (outcome.kind === 'answer') outcome.body.once('close', () => { clearTimeout(timer) })
        else clearTimeout(timer)
        return outcome
      } catch (error) {
        clearTimeout(timer)
        if (isFrozen && !request.signal.aborted) return { kind: 'unknown', reason: UnknownReason.peerLost }
        return describeFailure(error, request.signal)
      } finally {
        unwatch()
      }
    },
    async close () {
      await Promise.all([...pools.values(), ...probePools.values()].map(async (pool) => { await pool.destroy() }))
    }
  }
}

function describeFailure (error: unknown, caller: AbortSignal): DispatchOutcome {
  const code = typeof error === 'object' && error !== null ? (error as { readonly code?: unknown }).code : undefined
  if (typeof code === 'string' && UNSENT_CODES.has(code)) return { kind: 'not-run', reason: NotRunReason.peerUnreachable }
  if (caller.aborted) return { kind: 'unknown', reason: UnknownReason.callerGone }
  const isAborted = error instanceof errors.RequestAbortedError || (error instanceof Error && error.name === 'AbortError')
  return { kind: 'unknown', reason: isAborted ? UnknownReason.deadline : UnknownReason.peerLost }
}

function decodeProblem (headers: Readonly<Record<string, string | string[] | undefined>>): DispatchNotRun | DispatchUnknown {
  const reason = headers['gooseberryfold-reason']
  const notRun = Object.values(NotRunReason).find((known) => known === reason)
  if (headers['gooseberryfold-outcome'] === 'not-run' && notRun !== undefined) {
    const dispatcher = headers['gooseberryfold-dispatcher']
    return { kind: 'not-run', reason: notRun, dispatcher: typeof dispatcher === 'string' ? dispatcher : undefined }
  }
  const unknown = Object.values(UnknownReason).find((known) => known === reason)
  return { kind: 'unknown', reason: unknown ?? UnknownReason.peerLost }
}
