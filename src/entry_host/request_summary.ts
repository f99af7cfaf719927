/**
 * Logs how many requests of callers this host served, one line for each second
 * with requests. The line shows how a host that has lost its paths to servers
 * compares with others; lines of single requests leave out those served at once.
 */
import type { RequestRecord } from '../gateway/mod.ts'
import type { Logger } from '../logging/mod.ts'

/** Request summary of one host. */
export interface RequestSummary {
  /** Counts a request, and logs the counts of the last second if a new one has begun. */
  record (record: RequestRecord): void
}

/** Length of the interval that one line covers, in milliseconds. */
const INTERVAL_MS = 1000

/**
 * Creates a summary without requests.
 *
 * @param logger Destination of the lines.
 * @param now Monotonic time in milliseconds.
 * @returns The summary.
 */
export function createRequestSummary (logger: Logger, now: () => number): RequestSummary {
  let interval = -1
  let counts = emptyCounts()

  function isServed (record: RequestRecord): boolean {
    return record.status > 0 && record.status < 500
  }

  return {
    record (record) {
      const current = Math.floor(now() / INTERVAL_MS)
      if (current !== interval) {
        if (counts.requests > 0) logger.info(counts, 'requests-summary')
        interval = current
        counts = emptyCounts()
      }
      counts.requests++
      if (record.isFirstAttempt === true) counts.firstAttempts++
      if (!isServed(record)) return
      counts.served++
      if (record.isFirstAttempt === true) counts.firstAttemptsServed++
    }
  }
}

function emptyCounts (): { requests: number, served: number, firstAttempts: number, firstAttemptsServed: number } {
  return { requests: 0, served: 0, firstAttempts: 0, firstAttemptsServed: 0 }
}
