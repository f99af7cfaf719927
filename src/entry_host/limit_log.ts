/** Logs the limits that servers name, without a line for each small change. */
import type { LimitChange } from '../gateway/mod.ts'
import type { Logger } from '../logging/mod.ts'

/** Share by which a limit must differ from the logged one for another line. */
const SIGNIFICANT_CHANGE_SHARE = 0.25

/**
 * Creates the log.
 *
 * @param logger Destination of the lines.
 * @returns A function that logs a change of a limit.
 */
export function createLimitLog (logger: Logger): (change: LimitChange) => void {
  const logged = new Map<string, number>()

  return ({ server, perSecond, previousPerSecond }) => {
    if (perSecond === null) {
      logged.delete(server)
      logger.info({ server, previousPerSecond }, 'server-limit-ended')
      return
    }
    const before = logged.get(server)
    if (before !== undefined && previousPerSecond !== null && Math.abs(perSecond - before) <= before * SIGNIFICANT_CHANGE_SHARE) return
    logged.set(server, perSecond)
    logger.info({ server, perSecond, previousPerSecond: previousPerSecond ?? undefined }, 'server-limit-named')
  }
}
