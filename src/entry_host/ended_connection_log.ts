/** Logs connections of callers that were closed by a limit. */
import type { EndedConnection } from '../caller_limits/mod.ts'
import type { Logger } from '../logging/mod.ts'

/** Minimum time between two lines, in milliseconds: a crowd of callers causes hundreds a second. */
const INTERVAL_MS = 1000

/**
 * Creates the log.
 *
 * @param logger Destination of the lines.
 * @param now Monotonic time in milliseconds.
 * @returns A function that records a connection that was closed.
 */
export function createEndedConnectionLog (logger: Logger, now: () => number): (connection: EndedConnection) => void {
  let loggedAt = -Infinity
  let leftOut = 0

  return ({ cause, address, heldBytes, restMs }) => {
    if (now() - loggedAt < INTERVAL_MS) {
      leftOut++
      return
    }
    logger.warn({ cause, address, heldBytes, restMs: Math.round(restMs), leftOut }, 'caller-connection-ended')
    loggedAt = now()
    leftOut = 0
  }
}
