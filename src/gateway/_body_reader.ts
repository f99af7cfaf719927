/** Bodies of requests: short ones are read before they are sent, so that they can be sent again. */
import type { IncomingMessage } from 'node:http'

/** Bodies up to this length are read whole, in bytes. */
const WHOLE_BODY_BYTES = 1024 * 1024

/** Bodies that are kept at the same time, in bytes; beyond it they are streamed. */
const KEPT_BODY_BYTES = 32 * 1024 * 1024

/** Reader of the bodies of one gateway. */
export interface BodyReader {
  /** Reads a body whole where it is short enough, or leaves it to be streamed; `null` where there is none, `false` where the caller broke off. */
  read (request: IncomingMessage): Promise<Buffer | IncomingMessage | null | false>
}

/** Creates a reader that keeps nothing yet. */
export function createBodyReader (): BodyReader {
  let keptBytes = 0

  return {
    async read (request) {
      const stated = request.headers['content-length']
      if (stated === undefined && request.headers['transfer-encoding'] === undefined) return request.method === 'GET' || request.method === 'HEAD' ? null : Buffer.alloc(0)
      if (Number(stated ?? 0) > WHOLE_BODY_BYTES || keptBytes > KEPT_BODY_BYTES) return request
      const parts: Buffer[] = []
      let bytes = 0
      try {
        for await (const part of request) {
          parts.push(part as Buffer)
          bytes += (part as Buffer).length
          keptBytes += (part as Buffer).length
        }
        return Buffer.concat(parts)
      } catch {
        // The caller's connection ended; the gateway records that.
        return false
      } finally {
        keptBytes -= bytes
      }
    }
  }
}

/** Length of a body in bytes, as far as it is known. */
export function bodyBytes (body: Buffer | IncomingMessage | null): number {
  if (body === null) return 0
  return Buffer.isBuffer(body) ? body.length : Number(body.headers['content-length'] ?? WHOLE_BODY_BYTES)
}
