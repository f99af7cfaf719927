/**
 * Logs requests: one line for each that was not served at the first attempt, or
 * whose response was streamed or did not end whole.
 *
 * The number of lines per second is limited; the number of dropped lines is
 * logged separately.
 */
import { isBodyWhole, type AttemptRecord, type PartialBody, type RequestRecord, type ResponseBodyRecord } from '../gateway/mod.ts'
import type { Logger } from '../logging/mod.ts'

/** Maximum number of lines per second; more than the requests that an entry host refuses under overload. */
const MAXIMUM_LINES_PER_SECOND = 100

/** Maximum number of these lines for requests that were served at the first attempt with a whole, streamed body: long responses are ordinary, and must not take the lines of failures. */
const MAXIMUM_STREAMED_LINES_PER_SECOND = 20

/** Request log of one host. */
export interface RequestLog {
  write (record: RequestRecord, context: Readonly<Record<string, unknown>>): void
}

/**
 * Creates the log.
 *
 * @param logger Destination of the lines.
 * @param now Monotonic time in milliseconds.
 * @returns The log.
 */
export function createRequestLog (logger: Logger, now: () => number): RequestLog {
  let second = -1
  let lines = 0
  let streamedLines = 0
  let droppedLines = 0

  return {
    write (record, context) {
      const body = record.responseBody
      const isOrdinary = record.reason === 'served' && record.status < 500 && record.attempts.length === 1 && record.isCallerConnected && (body === undefined || isBodyWhole(body))
      if (isOrdinary && body?.isStreamed !== true) return
      const current = Math.floor(now() / 1000)
      if (current !== second) {
        if (droppedLines > 0) logger.warn({ leftOut: droppedLines }, 'request-log-lines-dropped')
        second = current
        lines = 0
        streamedLines = 0
        droppedLines = 0
      }
      if ((isOrdinary && ++streamedLines > MAXIMUM_STREAMED_LINES_PER_SECOND) || ++lines > MAXIMUM_LINES_PER_SECOND) {
        droppedLines++
        return
      }
      logger.info({
        request: record.id,
        route: record.route,
        service: record.service,
        key: record.key ?? undefined,
        status: record.status,
        reason: record.reason,
        ms: Math.round(record.durationMs),
        waitedMs: record.waitedMs === undefined ? undefined : Math.round(record.waitedMs),
        // With another reason than caller-left, this shows that the host did not notice in time that the connection was closed.
        caller: record.isCallerConnected ? undefined : 'disconnected',
        fingerprint: record.fingerprint ?? undefined,
        retryAfterMs: record.retryAfterMs === undefined ? undefined : Math.round(record.retryAfterMs),
        attempts: record.attempts.map(describeAttempt).join(','),
        body: body === undefined ? undefined : describeBody(body),
        ...context
      }, eventOf(record))
    }
  }
}

/** SERVER:OUTCOME(DETAIL):MSms:Nbusy:MSexpected:via=RELAY:reach=REACH:cost=COST:body=FRAMING:RECEIVEDofSTATED */
function describeAttempt (attempt: AttemptRecord): string {
  const { server, outcome, detail, durationMs, inFlight, expectedMs, reach, cost, relay, partialBody } = attempt
  return [
    server, detail === undefined ? outcome : `${outcome}(${detail})`, `${durationMs}ms`, `${inFlight}busy`, `${expectedMs}expected`, ...(relay === undefined ? [] : [`via=${relay}`]),
    `reach=${reach}`, ...(cost === undefined ? [] : [`cost=${cost}`]), ...(partialBody === undefined ? [] : [`body=${describeReceived(partialBody)}`])
  ].join(':')
}

/** FRAMING:RECEIVEDofSTATED:FORWARDED:END, in bytes, whether it was streamed, and the server's framing if a relay has changed it. */
function describeBody (body: ResponseBodyRecord): string {
  return `${describeReceived(body)}:${body.forwardedBytes}:${body.end}${body.isStreamed ? ':streamed' : ''}${body.serverFraming === undefined ? '' : `:server=${body.serverFraming}`}`
}

function describeReceived ({ framing, receivedBytes, statedBytes }: PartialBody): string {
  return `${framing}:${receivedBytes}of${statedBytes ?? '?'}`
}

function eventOf (record: RequestRecord): string {
  if (record.isRelayed === true) return 'request-relayed'
  if (record.status === 0) return 'request-abandoned'
  return record.status >= 500 ? 'request-failed' : 'request-served'
}
