/** Orders positions in the history of the store. */
import type { StorePosition } from './store_position.ts'

/**
 * Compares two positions: any position of a later era is after every position of an earlier one.
 *
 * @param left A position.
 * @param right Another position.
 * @returns A negative number if `left` is before `right`, a positive number if it is after it, otherwise 0.
 * @example
 * ```ts
 * comparePositions({ era: 2, revision: 60 }, { era: 1, revision: 78 }) > 0 // true
 * ```
 */
export function comparePositions (left: StorePosition, right: StorePosition): number {
  return left.era === right.era ? left.revision - right.revision : left.era - right.era
}
