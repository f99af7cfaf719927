/**
 * Request queue of a dispatcher: first in, first out at each server, within
 * the server's slots. A request whose slice is moving to another owner waits
 * in its own lane and does not block other slices.
 */

/** A queued request. */
export interface QueueEntry {
  /** Requests with the same lane start in the order of their arrival. */
  readonly lane: string
  /** Time after which the request is not worth starting, in milliseconds. */
  readonly deadline: number
  readonly enqueuedAt: number
}

/** Queue of one dispatcher. */
export interface RequestQueue<Entry extends QueueEntry> {
  push (entry: Entry): void
  /** Inserts a request at the head of its lane, after it was taken. */
  requeue (entry: Entry): void
  remove (entry: Entry): boolean
  /** Removes the oldest request that `accept` accepts; `accept` returns `null` to skip a request. */
  takeFirst<Accepted> (accept: (entry: Entry) => Accepted | null): { readonly entry: Entry, readonly accepted: Accepted } | null
  /** Removes and returns the requests whose deadline has passed. */
  removeExpired (now: number): Entry[]
  /** Removes and returns every request that satisfies `matches`. */
  removeMatching (matches: (entry: Entry) => boolean): Entry[]
  count (matches: (lane: string) => boolean): number
  size (): number
}

/**
 * Creates an empty queue.
 *
 * @returns The queue.
 */
export function createRequestQueue<Entry extends QueueEntry> (): RequestQueue<Entry> {
  const lanes = new Map<string, Entry[]>()
  let size = 0

  function removeWhere (matches: (entry: Entry) => boolean): Entry[] {
    const removed: Entry[] = []
    for (const [lane, entries] of lanes) {
      const kept = entries.filter((entry) => {
        if (!matches(entry)) return true
        removed.push(entry)
        return false
      })
      if (kept.length === 0) lanes.delete(lane)
      else if (kept.length < entries.length) lanes.set(lane, kept)
    }
    size -= removed.length
    return removed
  }

  function takeHead (lane: string, entries: Entry[]): void {
    entries.shift()
    if (entries.length === 0) lanes.delete(lane)
    size--
  }

  return {
    push (entry) {
      const entries = lanes.get(entry.lane)
      if (entries === undefined) lanes.set(entry.lane, [entry])
      else entries.push(entry)
      size++
    },
    requeue (entry) {
      const entries = lanes.get(entry.lane)
      if (entries === undefined) lanes.set(entry.lane, [entry])
      else entries.unshift(entry)
      size++
    },
    remove: (entry) => removeWhere((other) => other === entry).length > 0,
    takeFirst (accept) {
      if (size === 0) return null
      const heads = [...lanes].sort(([, left], [, right]) => (left[0]?.enqueuedAt ?? 0) - (right[0]?.enqueuedAt ?? 0))
      for (const [lane, entries] of heads) {
        const entry = entries[0]
        if (entry === undefined) continue
        const accepted = accept(entry)
        if (accepted === null) continue
        takeHead(lane, entries)
        return { entry, accepted }
      }
      return null
    },
    removeExpired: (now) => size === 0 ? [] : removeWhere((entry) => now >= entry.deadline),
    removeMatching: removeWhere,
    count (matches) {
      let count = 0
      for (const [lane, entries] of lanes) {
        if (matches(lane)) count += entries.length
      }
      return count
    },
    size: () => size
  }
}
