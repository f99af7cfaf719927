/** Chooses the term of the next leader, above the terms of all earlier ones. */
import { FIRST_ERA, type StorePosition } from '../store_history/mod.ts'
import type { LeaseRecord } from './lease_record.ts'

/** Terms that are left out for each restore: more than can have been claimed in the seconds that a restore loses. */
const TERMS_PER_RESTORE = 4096

/** Options of {@link nextTerm}. */
export interface NextTermOptions {
  /** The lease that is replaced; `null` if there has been none. */
  readonly lease: { readonly position: StorePosition, readonly record: LeaseRecord | null } | null
  /** Highest term that this process has observed. */
  readonly highestTerm: number
}

/**
 * Returns the term of the leader that replaces a lease.
 *
 * @param options The replaced lease and the terms observed.
 * @returns A term above that of the replaced lease, of every lease that a restore has lost, and of those that this process has observed.
 */
export function nextTerm (options: NextTermOptions): number {
  const { lease, highestTerm } = options
  if (lease === null) return highestTerm + 1
  const restores = lease.position.era - (lease.record?.era ?? FIRST_ERA)
  return Math.max(highestTerm, lease.record?.term ?? 0) + restores * TERMS_PER_RESTORE + 1
}
