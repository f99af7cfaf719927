/** Time after which a server that does not respond is given up, if the request may be sent to another one. */

/** The time as a multiple of the expected latency. */
const ATTEMPT_TIMEOUT_FACTOR = 4

/**
 * Returns the timeout of an attempt that can be repeated.
 *
 * @param expectedMs Expected latency, in milliseconds.
 * @returns The timeout in milliseconds.
 */
export function attemptTimeoutMs (expectedMs: number): number {
  return expectedMs * ATTEMPT_TIMEOUT_FACTOR
}
