/** Reads request bodies. Short bodies are buffered before the request is sent, so that it can be retried. */
import type { IncomingMessage } from 'node:http'

/** Maximum `Content-Length` of a body that is buffered, in bytes; longer bodies are streamed. */
const MAXIMUM_BUFFERED_BODY_BYTES = 1024 * 1024

/** Total length of buffered bodies above which further bodies are streamed, in bytes. */
const BUFFER_CAPACITY_BYTES = 32 * 1024 * 1024

/** Reads the request bodies of one gateway. */
export interface BodyReader {
  /**
   * Buffers a short body. Returns the request itself if its body is to be streamed,
   * `null` if it has no body, and `false` if the caller closed the connection.
   */
  read (request: IncomingMessage): Promise<Buffer | IncomingMessage | null | false>
}

/** Creates a body reader with an empty buffer. */
export function createBodyReader (): BodyReader {
  let bufferedBytes = 0

  return {
    async read (request) {
      const contentLength = request.headers['content-length']
      if (contentLength === undefined && request.headers['transfer-encoding'] === undefined) return request.method === 'GET' || request.method === 'HEAD' ? null : Buffer.alloc(0)
      if (Number(contentLength ?? 0) > MAXIMUM_BUFFERED_BODY_BYTES || bufferedBytes > BUFFER_CAPACITY_BYTES) return request
      const parts: Buffer[] = []
      let bytes = 0
      try {
        for await (const part of request) {
          parts.push(part as Buffer)
          bytes += (part as Buffer).length
          bufferedBytes += (part as Buffer).length
        }
        return Buffer.concat(parts)
      } catch {
        // The caller closed the connection; the gateway records that.
        return false
      } finally {
        bufferedBytes -= bytes
      }
    }
  }
}

/** Length of a body in bytes; for a stream without a `Content-Length`, the maximum length of a buffered body. */
export function bodyBytes (body: Buffer | IncomingMessage | null): number {
  if (body === null) return 0
  return Buffer.isBuffer(body) ? body.length : Number(body.headers['content-length'] ?? MAXIMUM_BUFFERED_BODY_BYTES)
}
