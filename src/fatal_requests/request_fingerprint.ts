/**
 * Fingerprints of requests: two requests have the same one if a server cannot
 * tell them apart, except by what differs between any two attempts.
 */
import { createHash } from 'node:crypto'

/** Body of a request that is too long to be buffered, of which only the length is known before it is sent. */
export interface StreamedContent {
  /** Value of its `Content-Length`; `undefined` if it is sent in chunks. */
  readonly contentLength: string | undefined
}

/** What a server gets of a request. */
export interface RequestContent {
  readonly method: string
  /** Path with the query. */
  readonly path: string
  /** Headers as alternating names and values. */
  readonly headers: readonly string[]
  /** Body; `null` if there is none. */
  readonly body: Buffer | StreamedContent | null
}

/** Headers that usually differ between two attempts with the same content: times, and identifiers of attempts and traces. */
const VARYING_HEADERS: ReadonlySet<string> = new Set([
  'b3', 'baggage', 'cf-ray', 'date', 'idempotency-key', 'request-id', 'sentry-trace', 'traceparent', 'tracestate', 'x-amzn-trace-id', 'x-b3-parentspanid', 'x-b3-spanid', 'x-b3-traceid', 'x-cloud-trace-context', 'x-correlation-id', 'x-forwarded-port', 'x-request-id', 'x-request-start', 'x-trace-id'
])

/** Length of a fingerprint, in characters of base64: 96 bits, so that a caller cannot find a request with the fingerprint of another one. */
const FINGERPRINT_LENGTH = 16

/**
 * Computes the fingerprint of a request. The headers stand for its caller: all count, except those that vary.
 *
 * @param content Method, path, headers and body.
 * @param ignoredHeaders Further headers that differ between attempts, in lower case.
 * @returns The fingerprint; `null` if neither the body nor its length is known.
 */
export function fingerprintRequest (content: RequestContent, ignoredHeaders: ReadonlySet<string>): string | null {
  const { body } = content
  if (body !== null && !Buffer.isBuffer(body) && body.contentLength === undefined) return null
  const hash = createHash('sha256').update(JSON.stringify([content.method, content.path, stableHeaders(content.headers, ignoredHeaders)]))
  if (Buffer.isBuffer(body)) hash.update(body)
  else if (body !== null) hash.update(`length ${body.contentLength ?? ''}`)
  return hash.digest('base64url').slice(0, FINGERPRINT_LENGTH)
}

/** Headers that stay the same between attempts, in an order that does not depend on the sender. */
function stableHeaders (headers: readonly string[], ignoredHeaders: ReadonlySet<string>): string[] {
  const lines: string[] = []
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index]?.toLowerCase() ?? ''
    if (!VARYING_HEADERS.has(name) && !ignoredHeaders.has(name)) lines.push(`${name}:${headers[index + 1] ?? ''}`)
  }
  return lines.sort()
}

/**
 * Creates a function that computes the fingerprint of a request when it is first called.
 *
 * @param content Returns the content of the request; its body must not change after the first call.
 * @param ignoredHeaders Further headers that differ between attempts, in lower case.
 * @returns The function.
 */
export function createFingerprintSource (content: () => RequestContent, ignoredHeaders: ReadonlySet<string>): () => string | null {
  let fingerprint: string | null | undefined
  return () => {
    fingerprint ??= fingerprintRequest(content(), ignoredHeaders)
    return fingerprint
  }
}
