/** State of a range within a range controller. */
import type { RecordedRange } from './plan_record.ts'

/** A server that may hold a range; times are in milliseconds of the monotonic clock. */
export interface Holder {
  /** When every grant that the server may have received has certainly expired. */
  readonly expiresAt: number
  /** When the last unanswered grant, which may be carried out late, has certainly expired; 0 if there is none. */
  readonly unansweredUntil: number
}

export interface Range {
  from: number
  to: number
  owner: string | null
  token: number
  /** Whether the owner has acknowledged a grant that has not expired. */
  granted: boolean
  /** Whether the owner has restarted since its last grant: it may hold the range by a renewal that reached its new run, or not. */
  hasOwnerRestarted: boolean
  /** Servers that may hold the range. */
  holders: Map<string, Holder>
  handover: string | null
  /** When a plan gave the range to its owner; `-Infinity` for the owner of a stored plan. */
  movedAt: number
  /** When the next call is due; 0 if at once. */
  nextCallAt: number
  /** Identifies the call in progress; `null` if there is none. */
  callInProgress: symbol | null
  /** Whether a plan that changes the range is being stored; no call starts until then. */
  isPlanPending: boolean
  /** Server or kind of ownership that was last published; empty before the first. */
  publishedOwner: string
}

/** Options of {@link restoreRange}; times are in milliseconds of the monotonic clock. */
export interface RestoreRangeOptions {
  /** Returns when the last grant to a server of the plan expires. */
  readonly grantExpiry: (server: string) => number
  /** When the last grant that the plan does not list expires; 0 if the plan is complete. */
  readonly unknownGrantsUntil: number
}

/** Stands for every server that may hold a range by a grant that the store has lost. No server has this identifier. */
export const UNKNOWN_HOLDER = ''

/** Restores a range from a stored plan. It is unknown which grants of the earlier leader went unanswered. */
export function restoreRange (recorded: RecordedRange, options: RestoreRangeOptions): Range {
  const { grantExpiry, unknownGrantsUntil } = options
  const holders = new Map<string, Holder>()
  if (recorded.owner !== null) holders.set(recorded.owner, { expiresAt: grantExpiry(recorded.owner), unansweredUntil: grantExpiry(recorded.owner) })
  // The previous holder may have released the range already. It is sent a release and gets no further grant.
  if (recorded.previous !== null) holders.set(recorded.previous, { expiresAt: grantExpiry(recorded.previous), unansweredUntil: 0 })
  if (unknownGrantsUntil > 0) holders.set(UNKNOWN_HOLDER, { expiresAt: unknownGrantsUntil, unansweredUntil: 0 })
  return { from: recorded.from, to: recorded.to, owner: recorded.owner, token: 0, granted: false, hasOwnerRestarted: false, holders, handover: null, movedAt: -Infinity, nextCallAt: 0, callInProgress: null, isPlanPending: false, publishedOwner: '' }
}

/** Returns the range that contains a key; the ranges cover the key space in ascending order. */
export function findRange (ranges: readonly Range[], key: number): Range {
  let low = 0
  let high = ranges.length - 1
  while (low < high) {
    const middle = (low + high + 1) >>> 1
    if ((ranges[middle]?.from ?? Infinity) <= key) low = middle
    else high = middle - 1
  }
  const range = ranges[low]
  if (range === undefined) throw new Error(`No range contains key ${key}; number of ranges: ${ranges.length}`)
  return range
}
