/** Logs responses that were ended because a host kept too much of all responses. */
import type { Logger } from '../logging/mod.ts'

/** Minimum time between two lines, in milliseconds: a server that sends without end causes hundreds a second. */
const INTERVAL_MS = 1000

/**
 * Creates the log.
 *
 * @param logger Destination of the lines.
 * @param now Monotonic time in milliseconds.
 * @returns A function that records the end of a response of a server, with the bytes that were kept of it.
 */
export function createEndedResponseLog (logger: Logger, now: () => number): (server: string, bytes: number) => void {
  let loggedAt = -Infinity
  let leftOut = 0

  return (server, bytes) => {
    if (now() - loggedAt < INTERVAL_MS) {
      leftOut++
      return
    }
    logger.warn({ server, bytes, leftOut }, 'response-ended-for-memory')
    loggedAt = now()
    leftOut = 0
  }
}
