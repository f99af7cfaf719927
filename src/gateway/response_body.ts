/** Bodies of responses that a host receives from servers and from other hosts, and may stop to receive. */
import type { ClientRequest, IncomingMessage } from 'node:http'
import { receiveBody, type ReceivedBodyEnding } from '../http_call/mod.ts'
import { RelayHeader } from './relay_selector.ts'
import { BodyEnd, BodyFraming, type BodyMark } from './response_body_record.ts'

/** Why this host stops to receive a body. */
export type BodyStop = typeof BodyEnd.timeout | typeof BodyEnd.memory | typeof BodyEnd.callerLeft | typeof BodyEnd.requestBrokeOff

/** How a body has ended. */
export type BodyEnding =
  | ReceivedBodyEnding
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
  let bytes = 0
  let hasEnded = false
  let take: (part: Buffer) => void = () => {}
  let resolveEnding: (ending: BodyEnding) => void = () => {}
  const ending = new Promise<BodyEnding>((resolve) => { resolveEnding = resolve })
  function end (value: BodyEnding): void {
    hasEnded = true
    resolveEnding(value)
  }
  const body = receiveBody(response, {
    request,
    onPart: (part) => {
      bytes += part.length
      if (!hasEnded) take(part)
    }
  })
  const { mark, mark: { framing } } = body
  body.ending.then(end, () => {})

  return {
    mark,
    serverFraming: isRelayed && framing !== BodyFraming.none && response.headers[RelayHeader.noLength] !== undefined ? BodyFraming.connectionEnd : framing,
    receivedBytes: () => bytes,
    read (onPart) { take = onPart },
    pause: body.pause,
    resume: body.resume,
    stop (cause) {
      if (hasEnded) return
      end({ kind: 'stopped', cause, detail: `This host ended the response: ${cause}` })
      request.destroy()
    },
    ending
  }
}
