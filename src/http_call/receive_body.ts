/**
 * Receives the body of a response and decides how it ends, for all that is
 * received from servers, stores and other hosts.
 *
 * The runtime's own sign, `complete`, says what its parser has seen. It is also
 * set when a body that ends with its connection is reset, and before the last
 * bytes have been read; a response that is destroyed then ends without them. So
 * the bytes are counted, and what ended the connection is looked at.
 */
import type { ClientRequest, IncomingMessage } from 'node:http'
import { controlReading } from './_read_control.ts'
import { createBodyBlocks, type BodyBlocks } from './body_blocks.ts'
import { bodyFraming, BodyFraming, type BodyMark } from './body_framing.ts'
import { holdEndUntilSent } from './hold_end_until_sent.ts'
import { probeAtEnd } from './probe_at_end.ts'
import { createReadTurns, type ReadTurns } from './read_turns.ts'

/** How a body has ended. */
export type ReceivedBodyEnding =
  /** All bytes up to the end that the framing marks have been passed on. */
  | { readonly kind: 'whole' }
  /** The connection was closed in order, or carried invalid bytes, before that end. */
  | { readonly kind: 'cut', readonly detail: string }
  /** The connection was reset, or failed in another way. */
  | { readonly kind: 'reset', readonly detail: string }

/** Body of a response while it is received. */
export interface ReceivedBody {
  /** How its end is marked. */
  readonly mark: BodyMark
  /** Resolves when the body has ended; never rejects. */
  readonly ending: Promise<ReceivedBodyEnding>
  /** Stops to pass on parts, and to read the connection. */
  pause (): void
  resume (): void
}

/** Turns of the event loop, which all connections of the process share. */
const PROCESS_TURNS = createReadTurns()

/** Length from which a part is passed on by itself, in bytes. */
const LONG_PART_BYTES = 1024

/** Short parts of a body that are passed on by themselves too: most bodies have no more. */
const SINGLE_PARTS = 4

/** Options of {@link receiveBody}. */
export interface ReceiveBodyOptions {
  readonly request: ClientRequest
  /** Receives each part. */
  readonly onPart: (part: Buffer) => void
  /** Turns in which connections are read whose bodies have many short parts. Default: those of the process. */
  readonly turns?: ReadTurns
}

/**
 * Begins to receive the body of a response. It must be read at once, since its parts are not kept.
 *
 * @param response The response, of which only the head has been received.
 * @param options Its request, and what receives its parts.
 * @returns The body.
 */
export function receiveBody (response: IncomingMessage, { request, onPart, turns = PROCESS_TURNS }: ReceiveBodyOptions): ReceivedBody {
  const { socket } = response
  const mark = bodyFraming(response.rawHeaders, { status: response.statusCode ?? 0, method: request.method })
  const { framing, statedBytes } = mark
  const reading = controlReading(socket, turns)
  /** Parts that have not been passed on; `null` while there have been none. */
  let pending: BodyBlocks | null = null
  let shortParts = 0
  let bytes = 0
  let isPaused = false
  let isPassScheduled = false
  /** What is called once all parts have been passed on; `null` until the body has ended. */
  let finish: (() => void) | null = null
  let resolveEnding: (ending: ReceivedBodyEnding) => void = () => {}
  const ending = new Promise<ReceivedBodyEnding>((resolve) => { resolveEnding = resolve })

  function passOn (): void {
    isPassScheduled = false
    if (!isPaused && pending !== null && pending.length() > 0) onPart(pending.takeAll())
    if (pending === null || pending.length() === 0) finish?.()
  }
  function takePart (part: Buffer): void {
    if (!isPaused && !isPassScheduled && (part.length >= LONG_PART_BYTES || ++shortParts <= SINGLE_PARTS)) return onPart(part)
    pending ??= createBodyBlocks()
    pending.add(part)
    if (isPassScheduled) return
    isPassScheduled = true
    process.nextTick(passOn)
  }
  /** Ends the body as soon as its parts have been passed on; the first cause counts. */
  function end (callback: () => void): void {
    finish ??= callback
    passOn()
  }
  function endEarly (detail: string): void {
    const { errored } = socket
    end(() => { resolveEnding(errored === null ? { kind: 'cut', detail } : { kind: 'reset', detail: errored.message }) })
  }
  /** Only a connection that its other end has closed, without an error until this end was closed too, is the end of a body. */
  function endWithConnection (): void {
    if (socket.readableEnded && socket.errored === null) resolveEnding({ kind: 'whole' })
    else resolveEnding({ kind: 'reset', detail: socket.errored?.message ?? 'The connection was not closed in order' })
  }
  if (framing === BodyFraming.connectionEnd) {
    probeAtEnd(socket)
    holdEndUntilSent(socket, request)
  }
  response.on('data', (part: Buffer) => {
    bytes += part.length
    reading.recordPart()
    if (framing !== BodyFraming.none) takePart(part)
  })
  response.on('end', () => {
    reading.end()
    if (framing === BodyFraming.connectionEnd) {
      if (!request.writableFinished) end(() => { resolveEnding({ kind: 'cut', detail: 'The connection ended before the request was sent' }) })
      else if (socket.closed) end(endWithConnection)
      else socket.once('close', () => { end(endWithConnection) })
    } else if ((framing === BodyFraming.chunks && response.complete) || bytes === statedBytes) end(() => { resolveEnding({ kind: 'whole' }) })
    else endEarly('The response is incomplete')
  })
  if (framing === BodyFraming.none) {
    resolveEnding({ kind: 'whole' })
    // The runtime's parser waits for the body that a head with status 204 states; such a connection carries no further request.
    process.nextTick(() => { if (!response.complete) request.destroy() })
  }
  response.on('error', (error) => { endEarly(error.message) })
  response.on('close', () => {
    reading.end()
    if (!response.readableEnded) endEarly('The response is incomplete')
  })
  return {
    mark,
    ending,
    pause () {
      isPaused = true
      reading.setPaused(true)
    },
    resume () {
      isPaused = false
      passOn()
      if (!isPaused) reading.setPaused(false)
    }
  }
}
