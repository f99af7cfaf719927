/** When the grants that earlier leaders may have made have certainly expired. */
import type { PreviousGrants } from '../leadership/mod.ts'

/** Factor by which a grant may last longer on a server, whose clock may run 2 % slow. */
export const CLOCK_DRIFT_FACTOR = 1.02

/** Allowance for a grant that is still in transit when its call times out, in milliseconds. */
export const DELIVERY_MARGIN_MS = 300

/** Options of {@link createEarlierGrants}. */
export interface EarlierGrantsOptions {
  /** Grants that earlier leaders may have made. */
  readonly previousGrants: PreviousGrants
  /** When every grant that a restored plan does not list was made at the latest, in milliseconds of the monotonic clock; `null` if the plan is complete. */
  readonly unlistedGrantsMadeUntil: number | null
  /** Maximum grant duration that servers accept, in milliseconds. */
  readonly maximumGrantDurationMs: number
}

/** Expiry of earlier grants; times are in milliseconds of the monotonic clock. */
export interface EarlierGrants {
  /** Longest time for which a grant may last after a leader has sent it, in milliseconds. */
  readonly longestMs: number
  /** When the last grant to a server of the plan expires. */
  expiryOf (server: string): number
  /** When the last grant that the plan does not list expires; 0 if it lists all of them. */
  readonly unlistedUntil: number
}

/**
 * Creates the expiry of the grants of earlier leaders.
 *
 * @param options What is known of these grants.
 * @returns The expiry.
 */
export function createEarlierGrants ({ previousGrants, unlistedGrantsMadeUntil, maximumGrantDurationMs }: EarlierGrantsOptions): EarlierGrants {
  const longestMs = maximumGrantDurationMs * CLOCK_DRIFT_FACTOR + DELIVERY_MARGIN_MS
  return {
    longestMs,
    expiryOf: (server) => previousGrants.kind === 'unknown' ? previousGrants.lastPossibleGrantAt + longestMs : previousGrants.asOf + (previousGrants.remainingMs[server] ?? 0),
    unlistedUntil: unlistedGrantsMadeUntil === null ? 0 : unlistedGrantsMadeUntil + longestMs
  }
}
