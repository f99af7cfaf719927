/** Ranks candidates for rendezvous hashing. */
import murmurhash from 'murmurhash'

/** Number of values of a 32-bit hash. */
const HASH_VALUE_COUNT = 2 ** 32

/**
 * Returns a number that depends only on the two names and is evenly distributed
 * over all pairs, so that every host computes the same order of candidates.
 *
 * @param candidate Name of the candidate.
 * @param subject Name that the candidates are ranked for.
 * @returns A number above 0 and below 1.
 * @example
 * ```ts
 * rendezvousRank('host-1', 'server-12')
 * ```
 */
export function rendezvousRank (candidate: string, subject: string): number {
  return (murmurhash.v3(`${candidate}/${subject}`) + 0.5) / HASH_VALUE_COUNT
}
