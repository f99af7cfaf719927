/**
 * Fingerprints of requests: two requests have the same ones if a server cannot
 * distinguish them, except by what differs between any two attempts.
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

/** First character of fingerprints that leave headers out; base64url does not have it. */
const CONTENT_PREFIX = '~'

/** Fingerprints of a request. */
export interface RequestFingerprints {
  /** Covers all that a server gets, but what differs between attempts: requests of one caller with the same content. */
  readonly exact: string
  /** Leaves out all headers but the authority: it recognises a request even if a header differs each time that is not known to. Those of other callers have it, too. */
  readonly content: string
}

/** Computes the fingerprints of a request when they are needed; `null` if it has none. */
export type FingerprintSource = () => RequestFingerprints | null

/**
 * Computes the fingerprints of a request. The headers stand for its caller: all count, except those that vary.
 *
 * @param content Method, path, headers and body.
 * @param ignoredHeaders Further headers that differ between attempts, in lower case.
 * @returns The fingerprints; `null` if neither the body nor its length is known.
 */
export function fingerprintRequest (content: RequestContent, ignoredHeaders: ReadonlySet<string>): RequestFingerprints | null {
  const { method, path, body } = content
  if (body !== null && !Buffer.isBuffer(body) && body.contentLength === undefined) return null
  const bodyText = body === null ? '' : Buffer.isBuffer(body) ? createHash('sha256').update(body).digest('base64url') : `length ${body.contentLength ?? ''}`
  const headers = stableHeaders(content.headers, ignoredHeaders)
  return {
    exact: digest([method, path, bodyText, headers]),
    content: CONTENT_PREFIX + digest([method, path, bodyText, headers.filter((line) => line.startsWith('host:'))])
  }
}

/** Whether a fingerprint leaves out the headers that stand for the caller. */
export function isContentFingerprint (fingerprint: string): boolean {
  return fingerprint.startsWith(CONTENT_PREFIX)
}

function digest (parts: readonly unknown[]): string {
  return createHash('sha256').update(JSON.stringify(parts)).digest('base64url').slice(0, FINGERPRINT_LENGTH)
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
 * Creates a function that computes the fingerprints of a request when it is first called.
 *
 * @param content Returns the content of the request; its body must not change after the first call.
 * @param ignoredHeaders Further headers that differ between attempts, in lower case.
 * @returns The function.
 */
export function createFingerprintSource (content: () => RequestContent, ignoredHeaders: ReadonlySet<string>): FingerprintSource {
  let fingerprints: RequestFingerprints | null | undefined
  return () => {
    fingerprints ??= fingerprintRequest(content(), ignoredHeaders)
    return fingerprints
  }
}
