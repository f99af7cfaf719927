/**
 * Fencing tokens of a leader.
 *
 * A token is made from the position of the lease that the leader wrote last, so
 * it is above the tokens of all earlier leaders, also of those whose leases the
 * store has lost in a restore, and a counter.
 */
import type { StorePosition } from '../store_history/mod.ts'

/** Number of tokens for one position: a lease is written each 0.8 s and lasts for 2.4 s. */
const TOKENS_PER_POSITION = 2 ** 15

/** Number of revisions in an era. The product with the tokens of a position leaves 256 eras below 2^53, the largest exact integer. */
const REVISIONS_PER_ERA = 2 ** 30

/**
 * Creates the source of a leader's tokens.
 *
 * @param positionOf Returns the position of the lease that the leader wrote last.
 * @returns A function that returns a token above all that were returned before.
 */
export function createFencingTokens (positionOf: () => StorePosition): () => number {
  let last = 0
  return () => {
    const { era, revision } = positionOf()
    last = Math.max(last + 1, (era * REVISIONS_PER_ERA + revision) * TOKENS_PER_POSITION)
    return last
  }
}
