/**
 * Decides how the body of a response ends, for all that is received from
 * servers and from other hosts.
 *
 * The runtime's own sign, `complete`, says what its parser has seen. It is also
 * set when a body that ends with its connection is reset, and before the last
 * bytes have been read; a response that is destroyed then ends without them. So
 * the bytes are counted, and what ended the connection is looked at.
 */
import type { ClientRequest, IncomingMessage } from 'node:http'
import { probeAtEnd } from '../http_call/mod.ts'
import { RelayHeader } from './relay_selector.ts'
import { BodyEnd, bodyFraming, BodyFraming, type BodyMark } from './response_body_record.ts'

/** Why this host stops to receive a body. */
export type BodyStop = typeof BodyEnd.timeout | typeof BodyEnd.memory | typeof BodyEnd.callerLeft | typeof BodyEnd.requestBrokeOff

/** How a body has ended. */
export type BodyEnding =
  /** All bytes up to the end that the framing marks have been passed on. */
  | { readonly kind: 'whole' }
  /** The connection was closed in order, or carried invalid bytes, before that end. */
  | { readonly kind: 'cut', readonly detail: string }
  /** The connection was reset, or failed in another way. */
  | { readonly kind: 'reset', readonly detail: string }
  /** This host stopped to receive it. */
  | { readonly kind: 'stopped', readonly cause: BodyStop, readonly detail: string }

/** Body of a response while it is received. */
export interface ResponseBody {
  /** How its end is marked on the connection on which it arrives. */
  readonly mark: BodyMark
  /** How its server marks its end; differs only after a relay. */
  readonly serverFraming: BodyFraming
  /** Number of bytes that have been passed on. */
  receivedBytes (): number
  /** Passes all further parts on to `onPart`. */
  read (onPart: (part: Buffer) => void): void
  pause (): void
  resume (): void
  /** Ends a body that is not whole, and its connection; does nothing once the body has ended. */
  stop (cause: BodyStop): void
  /** Resolves when the body has ended; never rejects. */
  readonly ending: Promise<BodyEnding>
}

/**
 * Names what ended a body.
 *
 * @param ending How it ended.
 * @param mark How its end is marked.
 * @returns The name for logs and metrics.
 */
export function nameBodyEnd (ending: BodyEnding, { framing }: BodyMark): BodyEnd {
  if (ending.kind === 'whole') return framing === BodyFraming.connectionEnd ? BodyEnd.closed : BodyEnd.complete
  return ending.kind === 'stopped' ? ending.cause : ending.kind
}

/** Options of {@link openResponseBody}. */
export interface OpenResponseBodyOptions {
  readonly request: ClientRequest
  /** Whether the response comes from a relay. */
  readonly isRelayed: boolean
}

/**
 * Begins to receive the body of a response. It must be read at once, since its parts are not kept.
 *
 * @param response The response, of which only the head has been received.
 * @param options Its request, and where it comes from.
 * @returns The body.
 */
export function openResponseBody (response: IncomingMessage, { request, isRelayed }: OpenResponseBodyOptions): ResponseBody {
  const { socket } = response
  const mark = bodyFraming(response.rawHeaders, { status: response.statusCode ?? 0, method: request.method })
  const { framing, statedBytes } = mark
  let bytes = 0
  let hasEnded = false
  let take: (part: Buffer) => void = () => {}
  let resolveEnding: (ending: BodyEnding) => void = () => {}
  if (framing === BodyFraming.connectionEnd) probeAtEnd(socket)
  const ending = new Promise<BodyEnding>((resolve) => { resolveEnding = resolve })

  function end (value: BodyEnding): void {
    if (hasEnded) return
    hasEnded = true
    resolveEnding(value)
  }
  function endEarly (detail: string): void {
    end(socket.errored === null ? { kind: 'cut', detail } : { kind: 'reset', detail: socket.errored.message })
  }
  /** Only a connection that its other end has closed, without an error until this end was closed too, is the end of a body. */
  function endWithConnection (): void {
    if (socket.readableEnded && socket.errored === null) end({ kind: 'whole' })
    else end({ kind: 'reset', detail: socket.errored?.message ?? 'The connection was not closed in order' })
  }
  response.on('data', (part: Buffer) => {
    bytes += part.length
    if (!hasEnded) take(part)
  })
  response.on('end', () => {
    if (framing === BodyFraming.connectionEnd) {
      if (!request.writableFinished) end({ kind: 'cut', detail: 'The connection ended before the request was sent' })
      else if (socket.closed) endWithConnection()
      else socket.once('close', endWithConnection)
    } else if ((framing === BodyFraming.chunks && response.complete) || bytes === statedBytes) end({ kind: 'whole' })
    else endEarly('The response is incomplete')
  })
  if (framing === BodyFraming.none) {
    end({ kind: 'whole' })
    // The runtime's parser waits for the body that a head with status 204 states; such a connection carries no further request.
    process.nextTick(() => { if (!response.complete) request.destroy() })
  }
  response.on('error', (error) => { endEarly(error.message) })
  response.on('close', () => { if (!response.readableEnded) endEarly('The response is incomplete') })

  return {
    mark,
    serverFraming: isRelayed && framing !== BodyFraming.none && response.headers[RelayHeader.noLength] !== undefined ? BodyFraming.connectionEnd : framing,
    receivedBytes: () => bytes,
    read (onPart) { take = onPart },
    pause () { response.pause() },
    resume () { response.resume() },
    stop (cause) {
      if (hasEnded) return
      end({ kind: 'stopped', cause, detail: `This host ended the response: ${cause}` })
      request.destroy()
    },
    ending
  }
}
