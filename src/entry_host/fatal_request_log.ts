/** Logs the ends of servers together with the requests that were lost with them, and the requests that are refused for it. */
import { EndEvidence, isContentFingerprint, type FatalRequestRegistryOptions, type ServerEndDetectorOptions } from '../fatal_requests/mod.ts'
import type { Logger } from '../logging/mod.ts'

/** Maximum number of fingerprints in one line. */
const MAXIMUM_FINGERPRINTS = 8

/**
 * Creates the log.
 *
 * @param logger Destination of the lines.
 * @returns A function that logs the result of a check.
 */
export function createEndLog (logger: Logger): NonNullable<ServerEndDetectorOptions['onChecked']> {
  return ({ server, evidence, requests }) => {
    const lost = requests.filter(({ fingerprint }) => !isContentFingerprint(fingerprint))
    const fields = { server: server.id, service: server.service, bornAt: server.bornAt, evidence, lost: lost.length, fingerprints: [...new Set(lost.map(({ fingerprint }) => fingerprint))].slice(0, MAXIMUM_FINGERPRINTS).join() }
    // Connections are reset for many reasons; only ends are worth a line each.
    if (evidence === EndEvidence.none) logger.debug(fields, 'requests-lost-without-end')
    else logger.info(fields, 'requests-lost-with-server')
  }
}

/**
 * Creates the log of refused requests.
 *
 * @param logger Destination of the lines.
 * @returns Callbacks of the registry.
 */
export function createRefusalLog (logger: Logger): Pick<FatalRequestRegistryOptions, 'onRefused' | 'onCleared'> {
  return {
    onRefused ({ fingerprint, refusedAt, until, times }, servers) {
      logger.warn({ fingerprint, servers: servers.join(), times, refusedMs: Math.round(until - refusedAt) }, 'request-refused')
    },
    onCleared (fingerprint) { logger.info({ fingerprint }, 'request-cleared') }
  }
}
