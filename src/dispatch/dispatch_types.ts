/** Types of a dispatched request and of its possible outcomes. */
import type { Readable } from 'node:stream'

/** Header values by lower-case name. */
export type HeaderValues = Readonly<Record<string, string | string[] | undefined>>

/** Body of a request: `null`, a buffer that can be sent again, or a stream that can be sent only once. */
export type RequestBody = Buffer | Readable | null

/**
 * Reports whether the complete body can still be sent.
 *
 * @param body The body.
 * @returns `false` for a stream that was destroyed or partly read.
 * @example
 * ```ts
 * isReplayable(null) // true
 * ```
 */
export function isReplayable (body: RequestBody): boolean {
  return body === null || Buffer.isBuffer(body) || !(body.readableDidRead || body.destroyed)
}

/** A request to dispatch. */
export interface DispatchRequest {
  readonly id: string
  readonly service: string
  /** Slice that contains the request's key; `null` for a service without keys. */
  readonly slice: number | null
  readonly method: string
  readonly path: string
  readonly headers: HeaderValues
  readonly body: RequestBody
  /** Time by which the answer must arrive, on this host's monotonic clock, in milliseconds. */
  readonly deadline: number
  readonly isIdempotent: boolean
  /** Value of the Idempotency-Key header to claim; `null` if the request needs no claim. */
  readonly claimKey: string | null
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal
}

/** Why a request was not run. */
export const NotRunReason = {
  noService: 'no-service',
  noKey: 'no-key',
  idempotencyKeyMissing: 'idempotency-key-missing',
  bodyTooLarge: 'body-too-large',
  overloaded: 'overloaded',
  deadline: 'deadline',
  wrongDispatcher: 'wrong-dispatcher',
  noDispatcher: 'no-dispatcher',
  serverRefused: 'server-refused',
  serverUnreachable: 'server-unreachable',
  peerUnreachable: 'peer-unreachable',
  claimUnavailable: 'claim-unavailable',
  suspectedCrash: 'suspected-crash',
  shuttingDown: 'shutting-down',
  callerGone: 'caller-gone'
} as const
/** One of the values of {@link NotRunReason}. */
export type NotRunReason = typeof NotRunReason[keyof typeof NotRunReason]

/** Why a request may or may not have been run. */
export const UnknownReason = {
  connectionLost: 'connection-lost',
  deadline: 'deadline',
  crossedAnswer: 'crossed-answer',
  malformedAnswer: 'malformed-answer',
  callerGone: 'caller-gone',
  alreadyClaimed: 'already-claimed',
  alreadyRun: 'already-run',
  peerLost: 'peer-lost'
} as const
/** One of the values of {@link UnknownReason}. */
export type UnknownReason = typeof UnknownReason[keyof typeof UnknownReason]

/** A backend server's answer. */
export interface DispatchResponse {
  readonly kind: 'answer'
  readonly status: number
  readonly headers: HeaderValues
  readonly body: Readable
  readonly server: string
  readonly dispatcher: string
}

/** The request was not run. */
export interface DispatchNotRun {
  readonly kind: 'not-run'
  readonly reason: NotRunReason
  /** The host that dispatches for the slice, if it is a different host. */
  readonly dispatcher?: string
}

/** The request may have been run completely, partly or not at all. */
export interface DispatchUnknown {
  readonly kind: 'unknown'
  readonly reason: UnknownReason
}

/** How a request ended. */
export type DispatchOutcome = DispatchResponse | DispatchNotRun | DispatchUnknown
