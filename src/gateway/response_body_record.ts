/** Records of the bodies of responses for logs and metrics: how the server marks the end of a body, how much of it came and was passed on, and what ended it. */
import type { BodyFraming, BodyMark } from '../http_call/mod.ts'

export { bodyFraming, BodyFraming, type BodyMark } from '../http_call/mod.ts'

/** What ended a body. */
export const BodyEnd = {
  /** The end that its framing marks: all bytes of a stated length, or the last chunk. */
  complete: 'complete',
  /** The connection was closed in order, which is the end of a body that is marked by it. */
  closed: 'closed',
  /** The connection was closed in order, or its data were invalid, before the end that the framing marks. */
  cut: 'cut',
  /** The connection was reset, or failed in another way. */
  reset: 'reset',
  /** This host, for want of memory. */
  memory: 'memory',
  /** This host, since the time for the request had ended. */
  timeout: 'timeout',
  /** The caller, or the host that asked this relay, closed its connection. */
  callerLeft: 'caller-left',
  /** This host, since the body of the request broke off or was too long. */
  requestBrokeOff: 'request-broke-off'
} as const
export type BodyEnd = typeof BodyEnd[keyof typeof BodyEnd]

/** The body of one response. */
export interface ResponseBodyRecord {
  readonly framing: BodyFraming
  /** How the server has marked it, if a relay has marked it in another way. */
  readonly serverFraming?: BodyFraming
  /** Length that the server states, in bytes; `null` if it states none. */
  readonly statedBytes: number | null
  /** Bytes received from the server or the relay. */
  readonly receivedBytes: number
  /** Bytes handed to the connection of the caller, or of the host that asked this relay. */
  readonly forwardedBytes: number
  readonly end: BodyEnd
  /** Whether it was passed on while it was received. */
  readonly isStreamed: boolean
}

/** What was received of the body of a response that was lost before it was passed on. */
export interface PartialBody extends BodyMark {
  readonly receivedBytes: number
}

/** Whether the body is the one that the server sent, as far as its framing shows it. */
export function isBodyWhole ({ end }: ResponseBodyRecord): boolean {
  return end === BodyEnd.complete || end === BodyEnd.closed
}
