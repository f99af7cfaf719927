/** Rate at which one host may send to a cold server. */
import type { ServiceWarmUp } from '../routing/mod.ts'

/** Bound on the requests of all hosts together to a cold server. */
export interface WarmUpBound {
  /** Factor of the service's request rate. */
  readonly overshoot: number
  /** Requests in addition, in any second. */
  readonly slack: number
}

/** Number of hosts that may take themselves for the relay of one server at the same time, while lists of hosts differ. */
const CONCURRENT_RELAYS = 3

/**
 * Returns the requests that one host may send to a cold server in any second.
 *
 * @param warmUp Warm-up of the server's service.
 * @param bound Bound over all hosts; `null` if the settings have none.
 * @returns A whole number, at least 1.
 */
export function hostRate (warmUp: ServiceWarmUp, bound: WarmUpBound | null): number {
  const { requestsPerSecond } = warmUp
  const share = bound === null ? Infinity : (requestsPerSecond * bound.overshoot + bound.slack) / CONCURRENT_RELAYS
  return Math.max(1, Math.floor(Math.min(requestsPerSecond, share)))
}
