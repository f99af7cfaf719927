/**
 * Reads a streamed request body ahead of the server that it is sent to.
 *
 * Node notices that a connection was closed only while it reads it. A body that
 * was read only as fast as its server takes it would hide that the caller has
 * left, for as long as the server does not read.
 */
import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'
import { connectionOf } from '../caller_limits/mod.ts'
import type { BodyBlocks } from '../http_call/mod.ts'

/** Options of {@link readAhead}. */
export interface ReadAheadOptions {
  /** Maximum length of the body, in bytes. */
  readonly maximumBytes: number
  /** What has been read of the body. */
  readonly blocks: BodyBlocks
}

/** Bytes that are read ahead of the server in any case: as much as the runtime's streams buffer. */
const MINIMUM_AHEAD_BYTES = 64 * 1024

/** Time for which a body is not read further until its server reads it, in milliseconds: most are sent within it, and a body that turns out too long is then aborted at its server instead of being refused for want of one. */
const START_DELAY_MS = 100

/**
 * Reads the body of a request as fast as it arrives while there is capacity, and otherwise as fast as the returned stream is read.
 *
 * @param request The request.
 * @param options Limit and capacity.
 * @returns A stream of the body; it fails if the caller disconnects before the end or the body is too long. Once it is destroyed, the rest of the body is discarded.
 */
export function readAhead (request: IncomingMessage, { maximumBytes, blocks }: ReadAheadOptions): Readable {
  const connection = connectionOf(request)
  let bytes = blocks.length()
  let hasEnded = false
  let isAwaited = false
  let isPassScheduled = false
  let hasStarted = false
  const startTimer = setTimeout(start, START_DELAY_MS)
  const body = new Readable({
    read () {
      isAwaited = true
      start()
      pass()
    }
  })

  function start (): void {
    clearTimeout(startTimer)
    if (hasStarted) return
    hasStarted = true
    updateReading()
  }

  /** Passes one block on if the stream is being read; the rest stays in blocks, which take less than the stream's buffer of short parts. */
  function pass (): void {
    if (!isAwaited || body.destroyed) return
    const block = blocks.take()
    if (block !== null) {
      isAwaited = false
      body.push(block)
    } else if (hasEnded) {
      isAwaited = false
      body.push(null)
    }
    updateReading()
  }

  function updateReading (): void {
    const heldBytes = blocks.allocatedBytes() + body.readableLength
    connection.setBody(request, heldBytes)
    if (bytes <= maximumBytes) connection.setReading(request, hasStarted && (heldBytes < MINIMUM_AHEAD_BYTES || connection.mayBuffer()))
  }

  function onData (part: Buffer): void {
    connection.recordBody(request)
    bytes += part.length
    if (bytes > maximumBytes) {
      request.off('data', onData)
      connection.setReading(request, false)
      // While the rest of a body is discarded, nothing else ends a connection that sends without end.
      if (body.destroyed) request.socket.destroy()
      else body.destroy(new Error(`The body is longer than ${maximumBytes} bytes`))
    } else if (!body.destroyed) {
      blocks.add(part)
      updateReading()
      // Parts that arrive together are passed on together.
      if (!isPassScheduled) {
        isPassScheduled = true
        setImmediate(() => {
          isPassScheduled = false
          pass()
        })
      }
    }
  }

  updateReading()
  request.on('data', onData)
  request.on('end', () => {
    hasEnded = true
    pass()
  })
  request.on('close', () => { if (!request.complete) body.destroy(new Error('The caller disconnected before the end of the body')) })
  body.on('error', () => {})
  body.on('close', () => {
    clearTimeout(startTimer)
    blocks.takeAll()
    connection.setBody(request, 0)
    if (bytes <= maximumBytes) connection.setReading(request, true)
  })
  return body
}
