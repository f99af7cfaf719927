/** Port to the backend servers and its HTTP adapter. */
import { errors, Pool } from 'undici'
import type { Readable } from 'node:stream'
import { InvalidResponseError, sendWithPool, type ResponseHead } from '../http_call/mod.ts'
import type { GrantAction, GrantOutcome } from './grant_types.ts'
import type { HeaderValues, RequestBody } from './dispatch_types.ts'

/** A request as sent to a server. */
export interface BackendRequest {
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: HeaderValues
  readonly body: RequestBody
  readonly signal: AbortSignal
}

/** Outcome of sending a request. `unsent` means that no byte of the request was written to a connection, `isMalformed` that the server responded with a head that is not that of a response or has no marked end. */
export type BackendOutcome =
  | { readonly kind: 'answered', readonly status: number, readonly headers: HeaderValues, readonly body: Readable }
  | { readonly kind: 'unsent' }
  | { readonly kind: 'lost', readonly aborted: boolean, readonly isMalformed?: boolean }

/** Port to the backend servers. */
export interface BackendClient {
  send (request: BackendRequest): Promise<BackendOutcome>
  /** Sends a grant, or a probe to a server that does not check grants. */
  grant (action: GrantAction): Promise<GrantOutcome>
  close (): Promise<void>
}

/** Options of {@link createBackendClient}. */
export interface BackendClientOptions {
  /** Maximum number of connections to one server. Default: 64. */
  readonly connections?: number
  /** Timeout of a grant or a probe, in milliseconds. Default: 300. */
  readonly grantTimeoutMs?: number
}

/** Error codes of connections that were not established. */
const UNSENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/**
 * Creates a client that uses undici and sends one request at a time on each connection.
 *
 * @param options Limits.
 * @returns The client; its methods do not throw.
 */
export function createBackendClient (options: BackendClientOptions = {}): BackendClient {
  const requestPools = new Map<string, Pool>()
  const controlPools = new Map<string, Pool>()

  function poolFor (map: Map<string, Pool>, address: string, connections: number): Pool {
    const existing = map.get(address)
    if (existing !== undefined) return existing
    const pool = new Pool(`http://${address}`, {
      connections, pipelining: 1, connectTimeout: 500, keepAliveTimeout: 30_000, headersTimeout: 0, bodyTimeout: 0
    })
    map.set(address, pool)
    return pool
  }

  return {
    async send (request) {
      try {
        const response = await sendWithPool(poolFor(requestPools, request.address, options.connections ?? 64), {
          method: request.method as 'GET',
          path: request.path,
          headers: { ...request.headers },
          body: request.body,
          signal: request.signal,
          usesBody: (head) => !isRefusal(head)
        })
        return { kind: 'answered', status: response.statusCode, headers: response.headers, body: response.body }
      } catch (error) {
        const code = codeOf(error)
        if (error instanceof InvalidResponseError) return { kind: 'lost', aborted: false, isMalformed: true }
        if (UNSENT_CODES.has(code)) return { kind: 'unsent' }
        return { kind: 'lost', aborted: error instanceof errors.RequestAbortedError || request.signal.aborted }
      }
    },
    async grant (action) {
      try {
        const response = await sendWithPool(poolFor(controlPools, action.address, 1), {
          // Any response to a probe counts, and its body is not used.
          usesBody: () => action.checksGrants,
          method: action.checksGrants ? 'POST' : 'GET',
          path: action.checksGrants ? '/.gooseberryfold/grant' : '/health',
          headers: { 'content-type': 'application/json' },
          body: action.checksGrants ? JSON.stringify(action.request) : null,
          signal: AbortSignal.timeout(options.grantTimeoutMs ?? 300)
        })
        const text = await response.body.text()
        if (!action.checksGrants) return { kind: 'answered', answer: { boot: '', now: 0 } }
        if (response.statusCode === 409) return { kind: 'superseded' }
        if (response.statusCode !== 200) return { kind: 'no-answer' }
        const { boot, now } = JSON.parse(text) as { readonly boot: unknown, readonly now: unknown }
        return typeof boot === 'string' && typeof now === 'number'
          ? { kind: 'answered', answer: { boot, now } }
          : { kind: 'no-answer' }
      } catch (error) {
        return { kind: codeOf(error) === 'ECONNREFUSED' ? 'connection-refused' : 'no-answer' }
      }
    },
    async close () {
      await Promise.all([...requestPools.values(), ...controlPools.values()].map(async (pool) => { await pool.destroy() }))
    }
  }
}

/** Whether a server reports that it has not run a request. */
export function isRefusal ({ status, headers }: ResponseHead): boolean {
  return status === 503 && headers['gooseberryfold-outcome'] === 'not-run'
}

function codeOf (error: unknown): string {
  if (typeof error !== 'object' || error === null) return ''
  const code = (error as { readonly code?: unknown }).code
  return typeof code === 'string' ? code : ''
}
