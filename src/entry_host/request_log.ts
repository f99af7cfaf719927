/**
 * Logs requests: one line for each that was not served at the first attempt.
 *
 * The number of lines per second is limited; the number of dropped lines is
 * logged separately.
 */
import type { RequestRecord } from '../gateway/mod.ts'
import type { Logger } from '../logging/mod.ts'

/** Maximum number of lines per second; more than the requests that an entry host refuses under overload. */
const MAXIMUM_LINES_PER_SECOND = 100

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
  let droppedLines = 0

  return {
    write (record, context) {
      const isOrdinary = record.reason === 'served' && record.status < 500 && record.attempts.length === 1 && record.isCallerConnected
      if (isOrdinary) return
      const current = Math.floor(now() / 1000)
      if (current !== second) {
        if (droppedLines > 0) logger.warn({ leftOut: droppedLines }, 'request-log-lines-dropped')
        second = current
        lines = 0
        droppedLines = 0
      }
      if (++lines > MAXIMUM_LINES_PER_SECOND) {
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
        // With another reason than caller-left, this shows that the host did not notice in time that the connection was closed.
        caller: record.isCallerConnected ? undefined : 'disconnected',
        fingerprint: record.fingerprint ?? undefined,
        retryAfterMs: record.retryAfterMs === undefined ? undefined : Math.round(record.retryAfterMs),
        attempts: record.attempts.map((attempt) => `${attempt.server}:${attempt.outcome}${attempt.detail === undefined ? '' : `(${attempt.detail})`}:${attempt.durationMs}ms:${attempt.inFlight}busy:${attempt.expectedMs}expected${attempt.relay === undefined ? '' : `:via=${attempt.relay}`}`).join(','),
        ...context
      }, eventOf(record))
    }
  }
}

function eventOf (record: RequestRecord): string {
  if (record.isRelayed === true) return 'request-relayed'
  if (record.status === 0) return 'request-abandoned'
  return record.status >= 500 ? 'request-failed' : 'request-served'
}
