/** Writing of outcomes to HTTP responses; an answer that is cut short never looks complete. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { pipeline, Transform, type Readable } from 'node:stream'
import { forwardableHeaders, type DispatchAnswer, type RequestBody } from '../dispatch/mod.ts'
import type { Problem } from '../edge/mod.ts'

/** Streams an answer; where it breaks off, the connection is destroyed. */
export function forwardResponse (
  response: ServerResponse,
  answer: DispatchAnswer,
  extraHeaders: Readonly<Record<string, string>>
): void {
  answer.body.on('error', () => { response.destroy() })
  answer.body.once('close', () => {
    if (!answer.body.readableEnded) response.destroy()
  })
  response.once('close', () => { if (!answer.body.readableEnded) answer.body.destroy() })
  response.writeHead(answer.status, { ...forwardableHeaders(answer.headers), ...extraHeaders })
  answer.body.pipe(response)
}

/** Writes a problem. */
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

/** Returns a signal that aborts when the sender of a request goes away before its answer is complete. */
export function disconnectSignal (response: ServerResponse): AbortSignal {
  const controller = new AbortController()
  response.once('close', () => { if (!response.writableFinished) controller.abort() })
  return controller.signal
}

/** A body that was read, or why it was not. */
export type RequestBodyResult =
  | { readonly kind: 'body', readonly body: RequestBody }
  | { readonly kind: 'too-large' }

/** Bodies up to this size are held in memory so that they can be sent again. */
const HELD_BODY_BYTES = 65_536

/** Takes the body of a request: none, a small one whole, a large one as a stream. */
export async function readRequestBody (request: IncomingMessage, maximumBytes: number): Promise<RequestBodyResult> {
  const declared = request.headers['content-length']
  const length = declared === undefined ? undefined : Number(declared)
  const hasBody = request.headers['transfer-encoding'] !== undefined || (length !== undefined && length > 0)
  if (!hasBody) return { kind: 'body', body: null }
  if (length !== undefined && length > maximumBytes) return { kind: 'too-large' }
  if (length === undefined || length > HELD_BODY_BYTES) {
    return { kind: 'body', body: length === undefined ? limitBytes(request, maximumBytes) : request }
  }
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return { kind: 'body', body: Buffer.concat(chunks) }
}

/** Breaks off a body of unknown length that grows past the limit. */
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
