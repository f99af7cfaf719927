/**
 * Position in the history of the platform's store.
 *
 * A store that is restored from a copy loses what was written since the copy
 * was made, and gives out the same revisions again for other contents. Each
 * restore begins a new era, so a revision identifies a state of the store only
 * together with its era.
 */

/** Era of a store that has never been restored. */
export const FIRST_ERA = 1

/** Position of a write in the history of the store. */
export interface StorePosition {
  /** Number of the era; it rises by one with each restore. */
  readonly era: number
  /** Revision of the store within the era. */
  readonly revision: number
}
