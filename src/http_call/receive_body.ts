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
import { bodyFraming, BodyFraming, type BodyMark } from './body_framing.ts'
import { holdEndUntilSent } from './hold_end_until_sent.ts'
import { probeAtEnd } from './probe_at_end.ts'

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
}

/** Options of {@link receiveBody}. */
export interface ReceiveBodyOptions {
  readonly request: ClientRequest
  /** Receives each part. */
  readonly onPart: (part: Buffer) => void
}

/**
 * Begins to receive the body of a response. It must be read at once, since its parts are not kept.
 *
 * @param response The response, of which only the head has been received.
 * @param options Its request, and what receives its parts.
 * @returns The body.
 */
export function receiveBody (response: IncomingMessage, { request, onPart }: ReceiveBodyOptions): ReceivedBody {
  const { socket } = response
  const mark = bodyFraming(response.rawHeaders, { status: response.statusCode ?? 0, method: request.method })
  const { framing, statedBytes } = mark
  let bytes = 0
  let resolveEnding: (ending: ReceivedBodyEnding) => void = () => {}
  const ending = new Promise<ReceivedBodyEnding>((resolve) => { resolveEnding = resolve })

  function endEarly (detail: string): void {
    resolveEnding(socket.errored === null ? { kind: 'cut', detail } : { kind: 'reset', detail: socket.errored.message })
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
    if (framing !== BodyFraming.none) onPart(part)
  })
  response.on('end', () => {
    if (framing === BodyFraming.connectionEnd) {
      if (!request.writableFinished) resolveEnding({ kind: 'cut', detail: 'The connection ended before the request was sent' })
      else if (socket.closed) endWithConnection()
      else socket.once('close', endWithConnection)
    } else if ((framing === BodyFraming.chunks && response.complete) || bytes === statedBytes) resolveEnding({ kind: 'whole' })
    else endEarly('The response is incomplete')
  })
  if (framing === BodyFraming.none) {
    resolveEnding({ kind: 'whole' })
    // The runtime's parser waits for the body that a head with status 204 states; such a connection carries no further request.
    process.nextTick(() => { if (!response.complete) request.destroy() })
  }
  response.on('error', (error) => { endEarly(error.message) })
  response.on('close', () => { if (!response.readableEnded) endEarly('The response is incomplete') })
  return { mark, ending }
}
