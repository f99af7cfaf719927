/**
 * The queue of a dispatcher: first come, first served at each server, within
 * the server's slots. A request whose slice is between two owners waits in its
 * lane and holds up no other slice.
 */

/** A request that waits. */
export interface QueueEntry {
  /** Requests of one lane start in the order in which they came. */
  readonly lane: string
  /** Time after which the request is not worth starting, in milliseconds. */
  readonly deadline: number
  readonly enqueuedAt: number
}

/** Queue of one dispatcher. */
export interface RequestQueue<Entry extends QueueEntry> {
  push (entry: Entry): void
  /** Puts a request that was taken back at the head of its lane. */
  requeue (entry: Entry): void
  remove (entry: Entry): boolean
  /** Takes the oldest request that `start` accepts; `start` says what it starts with, or `null`. */
  takeFirst<Start> (start: (entry: Entry) => Start | null): { readonly entry: Entry, readonly start: Start } | null
  /** Removes and returns the requests whose deadline has passed. */
  removeExpired (now: number): Entry[]
  /** Removes and returns every request that `matches`. */
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
    takeFirst (start) {
      if (size === 0) return null
      const heads = [...lanes].sort(([, left], [, right]) => (left[0]?.enqueuedAt ?? 0) - (right[0]?.enqueuedAt ?? 0))
      for (const [lane, entries] of heads) {
        const entry = entries[0]
        if (entry === undefined) continue
        const started = start(entry)
        if (started === null) continue
        takeHead(lane, entries)
        return { entry, start: started }
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
