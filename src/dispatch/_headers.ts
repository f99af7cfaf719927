/** Builds and checks headers of requests to backend servers and of their responses. */
import type { DispatchRequest, HeaderValues } from './dispatch_types.ts'

/** Headers that apply to a single connection and must not be forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/** Prefix of the names of the system's own headers. */
export const INTERNAL_HEADER_PREFIX = 'gooseberryfold-'

/**
 * Removes hop-by-hop headers and the system's own headers.
 *
 * @param headers Received headers.
 * @returns Headers that may be forwarded.
 */
export function forwardableHeaders (headers: HeaderValues): Record<string, string | string[]> {
  const connectionOptions = String(headers.connection ?? '').toLowerCase().split(',').map((name) => name.trim())
  const kept: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name) || connectionOptions.includes(name) || name.startsWith(INTERNAL_HEADER_PREFIX)) continue
    kept[name] = value
  }
  return kept
}

/** Returns the headers of a request to a server. */
export function requestHeaders (
  request: DispatchRequest,
  grant: { readonly token: number, readonly remainingMs: number }
): Record<string, string | string[]> {
  const headers = forwardableHeaders(request.headers)
  headers['gooseberryfold-token'] = String(grant.token)
  headers['gooseberryfold-request-id'] = request.id
  headers['gooseberryfold-deadline-ms'] = String(Math.max(0, Math.floor(grant.remainingMs)))
  if (request.slice !== null) headers['gooseberryfold-slice'] = String(request.slice)
  return headers
}
