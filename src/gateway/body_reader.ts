/** Reads request bodies. Short bodies are buffered before the request is sent, so that it can be retried; long ones are streamed, and read ahead of their server. */
import type { IncomingMessage } from 'node:http'
import type { Readable } from 'node:stream'
import { connectionOf } from '../caller_limits/mod.ts'
import { createBodyBlocks } from '../http_call/mod.ts'
import { readAhead, type ReadAheadOptions } from './_read_ahead.ts'

/** Maximum length of a body that is buffered, in bytes; longer bodies are streamed. */
const MAXIMUM_BUFFERED_BODY_BYTES = 1024 * 1024

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
  /** Buffers a short body. The stream of a long body fails once it exceeds the maximum length. */
  read (request: IncomingMessage, options: ReadBodyOptions): Promise<BodyReading>
}

/** Creates a body reader. What it keeps is counted for the connection of each request. */
export function createBodyReader (): BodyReader {
  function stream (request: IncomingMessage, { maximumBytes, blocks }: ReadAheadOptions): BodyReading {
    return { kind: 'body', body: { stream: readAhead(request, { maximumBytes, blocks }), contentLength: request.headers['content-length'] } }
  }

  /** Buffers a body until it ends or becomes too long to be buffered. */
  function buffer (request: IncomingMessage, { maximumBytes, signal }: ReadBodyOptions): Promise<BodyReading> {
    return new Promise((resolve) => {
      const connection = connectionOf(request)
      const blocks = createBodyBlocks()
      function settle (reading: BodyReading): void {
        connection.onBlocked(request, () => {})
        if (reading.kind !== 'body') connection.setBody(request, 0)
        request.off('data', onData).off('end', onEnd).off('error', onBrokenOff).off('close', onBrokenOff)
        signal.removeEventListener('abort', onAbort)
        // A stream without listeners for errors would end the process.
        request.on('error', () => {})
        resolve(reading)
      }
      function onData (part: Buffer): void {
        connection.recordBody(request)
        blocks.add(part)
        connection.setBody(request, blocks.allocatedBytes())
        if (blocks.length() > maximumBytes) {
          connection.setReading(request, false)
          settle({ kind: 'too-long' })
        } else if (blocks.length() > MAXIMUM_BUFFERED_BODY_BYTES || !connection.mayBuffer()) {
          settle(stream(request, { maximumBytes, blocks }))
        }
      }
      // A body that cannot be buffered to its end is sent as far as it has come.
      connection.onBlocked(request, () => { settle(stream(request, { maximumBytes, blocks })) })
      function onEnd (): void { settle({ kind: 'body', body: blocks.takeAll() }) }
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
      if (length > MAXIMUM_BUFFERED_BODY_BYTES) return stream(request, { maximumBytes: options.maximumBytes, blocks: createBodyBlocks() })
      return await buffer(request, options)
    }
  }
}

/** Length of a body in bytes; for a stream without a `Content-Length`, the maximum length of a buffered body. */
export function bodyBytes (body: RequestBody): number {
  if (body === null) return 0
  return Buffer.isBuffer(body) ? body.length : Number(body.contentLength ?? MAXIMUM_BUFFERED_BODY_BYTES)
}

/** Whether the whole body can still be sent: it is buffered, or nothing of its stream has been read. */
export function isBodyUnread (body: RequestBody): boolean {
  return body === null || Buffer.isBuffer(body) || !body.stream.readableDidRead
}

/** Discards the rest of a streamed body whose request has ended, so that the caller's connection can be used again. */
export function discardBody (body: RequestBody): void {
  if (body !== null && !Buffer.isBuffer(body) && !body.stream.readableEnded) body.stream.destroy()
}
