/**
 * Reads a streamed request body ahead of the server that it is sent to.
 *
 * Node notices that a connection was closed only while it reads it. A body that
 * was read only as fast as its server takes it would hide that the caller has
 * left, for as long as the server does not read.
 */
import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'

/** Options of {@link readAhead}. */
export interface ReadAheadOptions {
  /** Maximum length of the body, in bytes. */
  readonly maximumBytes: number
  /** Whether there is room to buffer more than the server has taken. */
  readonly hasCapacity: () => boolean
}

/**
 * Reads the body of a request as fast as it arrives while there is capacity, and otherwise as fast as the returned stream is read.
 *
 * @param request The request.
 * @param options Limit and capacity.
 * @returns A stream of the body; it fails if the caller disconnects before the end or the body is too long. Once it is destroyed, the rest of the body is discarded.
 */
export function readAhead (request: IncomingMessage, options: ReadAheadOptions): Readable {
  let bytes = 0
  const body = new Readable({ read () { request.resume() } })
  function onData (part: Buffer): void {
    bytes += part.length
    if (bytes > options.maximumBytes) {
      request.off('data', onData).pause()
      // While the rest of a body is discarded, nothing else ends a connection that sends without end.
      if (body.destroyed) request.socket.destroy()
      else body.destroy(new Error(`The body is longer than ${options.maximumBytes} bytes`))
    } else if (!body.destroyed && !body.push(part) && !options.hasCapacity()) request.pause()
  }
  request.on('data', onData)
  request.on('end', () => { if (!body.destroyed) body.push(null) })
  request.on('close', () => { if (!request.complete) body.destroy(new Error('The caller disconnected before the end of the body')) })
  body.on('error', () => {})
  body.on('close', () => { if (bytes <= options.maximumBytes) request.resume() })
  return body
}
