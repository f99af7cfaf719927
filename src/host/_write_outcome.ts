/** Writes outcomes to HTTP responses. A response that is cut short never appears complete. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { pipeline, Transform, type Readable } from 'node:stream'
import { forwardableHeaders, type DispatchResponse, type RequestBody } from '../dispatch/mod.ts'
import type { Problem } from '../edge/mod.ts'
import { createBodyBlocks, resetConnection } from '../http_call/mod.ts'

/** Streams a backend server's response; destroys the connection if the response ends early. */
export function forwardResponse (
  response: ServerResponse,
  backendResponse: DispatchResponse,
  extraHeaders: Readonly<Record<string, string>>
): void {
  function breakOff (): void {
    // Callers of HTTP/1.0 get no chunks; without a length, a connection that is closed in order would be the end of the body.
    const endsWithConnection = backendResponse.headers['content-length'] === undefined && !response.useChunkedEncodingByDefault
    if (endsWithConnection && response.socket !== null) resetConnection(response.socket)
    response.destroy()
  }
  backendResponse.body.on('error', breakOff)
  backendResponse.body.once('close', () => {
    if (!backendResponse.body.readableEnded) breakOff()
  })
  response.once('close', () => { if (!backendResponse.body.readableEnded) backendResponse.body.destroy() })
  response.writeHead(backendResponse.status, { ...forwardableHeaders(backendResponse.headers), ...extraHeaders })
  backendResponse.body.pipe(response)
}

/** Writes a problem document, unless the response has already begun or its connection is closed. */
export function writeProblem (
  response: ServerResponse,
  problem: Problem,
  extraHeaders: Readonly<Record<string, string>>
): void {
  if (response.destroyed || response.headersSent) return
  response.writeHead(problem.status, {
    ...problem.headers, ...extraHeaders, 'content-length': Buffer.byteLength(problem.body)
  })
  response.end(problem.body)
}

/** Returns a signal that aborts when the client disconnects before its response is complete. */
export function disconnectSignal (response: ServerResponse): AbortSignal {
  const controller = new AbortController()
  response.once('close', () => { if (!response.writableFinished) controller.abort() })
  return controller.signal
}

/** Body of a request, or the reason why it was rejected. */
export type RequestBodyResult =
  | { readonly kind: 'body', readonly body: RequestBody }
  | { readonly kind: 'too-large' }

/** Bodies up to this size are buffered in memory so that a retry can send them again. */
const MAXIMUM_BUFFERED_BODY_BYTES = 65_536

/** Reads the body of a request: `null` if there is none, a buffer if it is small, otherwise a stream. */
export async function readRequestBody (request: IncomingMessage, maximumBytes: number): Promise<RequestBodyResult> {
  const contentLength = request.headers['content-length']
  const length = contentLength === undefined ? undefined : Number(contentLength)
  const hasBody = request.headers['transfer-encoding'] !== undefined || (length !== undefined && length > 0)
  if (!hasBody) return { kind: 'body', body: null }
  if (length !== undefined && length > maximumBytes) return { kind: 'too-large' }
  if (length === undefined || length > MAXIMUM_BUFFERED_BODY_BYTES) {
    return { kind: 'body', body: length === undefined ? limitBytes(request, maximumBytes) : request }
  }
  const blocks = createBodyBlocks()
  for await (const chunk of request) blocks.add(chunk as Buffer)
  return { kind: 'body', body: blocks.takeAll() }
}

/** Aborts a body of unknown length when it exceeds the limit. */
function limitBytes (request: IncomingMessage, maximumBytes: number): Readable {
  let total = 0
  const limiter = new Transform({
    transform (chunk: Buffer, _encoding, done) {
      total += chunk.length
      if (total > maximumBytes) done(new Error(`The body is larger than ${maximumBytes} bytes`))
      else done(null, chunk)
    }
  })
  pipeline(request, limiter, () => {})
  return limiter
}
