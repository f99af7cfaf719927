/** The state that a steward keeps of each range. */
import type { RecordedRange } from './plan_record.ts'

/** A server that may hold a range; times are of the monotonic clock. */
export interface Holder {
  /** When the last grant that it may have got has certainly run out. */
  readonly expiresAt: number
  /** When the last grant that was not answered, and may be carried out late, has run out; 0 where there is none. */
  readonly unansweredUntil: number
}

export interface Range {
  from: number
  to: number
  owner: string | null
  token: number
  /** Whether the owner has acknowledged a grant that has not run out. */
  granted: boolean
  /** Servers that may hold the range. */
  holders: Map<string, Holder>
  handover: string | null
  /** When the next call is due. */
  nextCallAt: number
  /** Identifies the call that is in progress; `null` where there is none. */
  callInProgress: symbol | null
  /** Whether a plan that changes the range is being stored; no call is made meanwhile. */
  isPlanPending: boolean
  publishedOwner: string
}

/** A range that an earlier leader recorded: grants of its that were not answered are unknown. */
export function restoreRange (recorded: RecordedRange, holdUntil: (server: string) => number): Range {
  const holders = new Map<string, Holder>()
  if (recorded.owner !== null) holders.set(recorded.owner, { expiresAt: holdUntil(recorded.owner), unansweredUntil: holdUntil(recorded.owner) })
  // A previous holder may have let go already: it is asked to, and never granted the range again.
  if (recorded.previous !== null) holders.set(recorded.previous, { expiresAt: holdUntil(recorded.previous), unansweredUntil: 0 })
  return { from: recorded.from, to: recorded.to, owner: recorded.owner, token: 0, granted: false, holders, handover: null, nextCallAt: 0, callInProgress: null, isPlanPending: false, publishedOwner: '' }
}

/** The range that holds a key; ranges cover the space of keys in ascending order. */
export function findRange (ranges: readonly Range[], key: number): Range {
  let low = 0
  let high = ranges.length - 1
  while (low < high) {
    const middle = (low + high + 1) >>> 1
    if ((ranges[middle]?.from ?? Infinity) <= key) low = middle
    else high = middle - 1
  }
  const range = ranges[low]
  if (range === undefined) throw new Error(`No range holds key ${key}: there are ${ranges.length} ranges`)
  return range
}
