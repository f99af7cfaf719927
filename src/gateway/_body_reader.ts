/** Reads request bodies. Short bodies are buffered before the request is sent, so that it can be retried; long ones are streamed. */
import type { IncomingMessage } from 'node:http'
import { Transform, type Readable } from 'node:stream'

/** Maximum length of a body that is buffered, in bytes; longer bodies are streamed. */
const MAXIMUM_BUFFERED_BODY_BYTES = 1024 * 1024

/** Total length of buffered bodies above which further bodies are streamed, in bytes. */
const BUFFER_CAPACITY_BYTES = 32 * 1024 * 1024

/** A body that is forwarded while it is received. */
export interface StreamedBody {
  readonly stream: Readable
  /** Value of its `Content-Length`; `undefined` if it is sent in chunks. */
  readonly contentLength: string | undefined
}

/** Body of a request; `null` if it has none. */
export type RequestBody = Buffer | StreamedBody | null

/** A body, or the reason why there is none to send. */
export type BodyReading =
  | { readonly kind: 'body', readonly body: RequestBody }
  /** The body is longer than the limit. */
  | { readonly kind: 'too-long' }
  /** The signal was aborted before the body was complete. */
  | { readonly kind: 'timed-out' }
  /** The caller closed the connection. */
  | { readonly kind: 'broken-off' }

/** Options of {@link BodyReader.read}. */
export interface ReadBodyOptions {
  /** Maximum length of the body, in bytes. */
  readonly maximumBytes: number
  /** Ends the wait for a body that is being buffered. */
  readonly signal: AbortSignal
}

/** Reads the request bodies of one gateway. */
export interface BodyReader {
  /** Buffers a short body. The stream of a long body ends with an error once it exceeds the maximum length. */
  read (request: IncomingMessage, options: ReadBodyOptions): Promise<BodyReading>
}

/** Creates a body reader with an empty buffer. */
export function createBodyReader (): BodyReader {
  let bufferedBytes = 0

  /** Buffers a body until it ends or becomes too long to be buffered. */
  function buffer (request: IncomingMessage, { maximumBytes, signal }: ReadBodyOptions): Promise<BodyReading> {
    return new Promise((resolve) => {
      const parts: Buffer[] = []
      let bytes = 0
      function settle (reading: BodyReading): void {
        bufferedBytes -= bytes
        request.off('data', onData).off('end', onEnd).off('error', onBrokenOff).off('close', onBrokenOff)
        signal.removeEventListener('abort', onAbort)
        // A stream without listeners for errors would end the process.
        request.on('error', () => {})
        resolve(reading)
      }
      function onData (part: Buffer): void {
        parts.push(part)
        bytes += part.length
        bufferedBytes += part.length
        if (bytes > maximumBytes) {
          request.pause()
          settle({ kind: 'too-long' })
        } else if (bytes > MAXIMUM_BUFFERED_BODY_BYTES || bufferedBytes > BUFFER_CAPACITY_BYTES) {
          request.pause()
          request.unshift(Buffer.concat(parts))
          settle({ kind: 'body', body: { stream: limitLength(request, maximumBytes), contentLength: request.headers['content-length'] } })
        }
      }
      function onEnd (): void { settle({ kind: 'body', body: Buffer.concat(parts) }) }
      function onBrokenOff (): void { settle({ kind: 'broken-off' }) }
      function onAbort (): void { settle({ kind: request.destroyed ? 'broken-off' : 'timed-out' }) }
      request.on('data', onData).on('end', onEnd).on('error', onBrokenOff).on('close', onBrokenOff)
      signal.addEventListener('abort', onAbort)
    })
  }

  return {
    async read (request, options) {
      const contentLength = request.headers['content-length']
      if (contentLength === undefined && request.headers['transfer-encoding'] === undefined) {
        return { kind: 'body', body: request.method === 'GET' || request.method === 'HEAD' ? null : Buffer.alloc(0) }
      }
      const length = Number(contentLength ?? 0)
      if (length > options.maximumBytes) return { kind: 'too-long' }
      if (length > MAXIMUM_BUFFERED_BODY_BYTES) return { kind: 'body', body: { stream: request, contentLength } }
      return await buffer(request, options)
    }
  }
}

/** Returns a stream of the same bytes that fails once there are more than `maximumBytes`. */
function limitLength (request: IncomingMessage, maximumBytes: number): Readable {
  let bytes = 0
  const limited = new Transform({
    transform (part: Buffer, _encoding, done) {
      bytes += part.length
      if (bytes > maximumBytes) done(new Error(`The body is longer than ${maximumBytes} bytes`))
      else done(null, part)
    }
  })
  return request.pipe(limited)
}

/** Length of a body in bytes; for a stream without a `Content-Length`, the maximum length of a buffered body. */
export function bodyBytes (body: RequestBody): number {
  if (body === null) return 0
  return Buffer.isBuffer(body) ? body.length : Number(body.contentLength ?? MAXIMUM_BUFFERED_BODY_BYTES)
}
