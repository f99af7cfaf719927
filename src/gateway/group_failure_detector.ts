/**
 * Failure detector for groups: an availability zone that a partition has cut
 * off, or a relay that has stopped. Without it, some requests would be lost on
 * each server of the group before that server counted as unresponsive.
 */

/** Tracks requests in flight by the group that they depend on. */
export interface GroupFailureDetector {
  /**
   * Records that a request was sent.
   *
   * @param member Group, and the member of it that the request counts for: a server, or the request itself; `path` is what else the request depends on, such as a relay.
   * @param expectedMs Expected time until the response, in milliseconds.
   * @returns Function that ends the request; `responded` is whether there was any response.
   */
  trackRequest (member: { readonly id: string, readonly group: string, readonly path?: string }, expectedMs: number): (responded: boolean) => void
  /** Discards the requests in flight over a path that turned out to be cut: they say nothing about their groups. */
  discardPath (path: string): void
  /** Whether requests to a group would probably be lost now. */
  isUnresponsive (group: string): boolean
}

interface Pending { readonly member: string, readonly path: string | undefined, readonly startedAt: number, readonly overdueAt: number }
interface Group { readonly pending: Set<Pending>, lastResponseAt: number, unresponsiveUntil: number, checkedAt: number }

/** Multiple of the expected time after which a request is overdue: few requests take longer. */
const OVERDUE_FACTOR = 2.5

/** Minimum time until a request is overdue, in milliseconds: a lost packet is retransmitted within it. */
const MINIMUM_OVERDUE_MS = 300

/** Number of members with overdue requests that makes a group unresponsive: a single member may have a fault of its own. */
const OVERDUE_MEMBER_THRESHOLD = 2

/** How long a group counts as unresponsive before some requests are sent to it again, in milliseconds. */
const UNRESPONSIVE_MS = 1000

/** Minimum time between two checks of the requests in flight of a group, in milliseconds. */
const CHECK_INTERVAL_MS = 20

/**
 * Creates a failure detector without requests.
 *
 * @param now Monotonic time in milliseconds.
 * @returns The failure detector.
 */
export function createGroupFailureDetector (now: () => number): GroupFailureDetector {
  const groups = new Map<string, Group>()

  function groupOf (name: string): Group {
    const known = groups.get(name)
    if (known !== undefined) return known
    const fresh: Group = { pending: new Set(), lastResponseAt: -Infinity, unresponsiveUntil: -Infinity, checkedAt: -Infinity }
    groups.set(name, fresh)
    return fresh
  }

  /** Whether requests that began after the group's last response are overdue at several members. */
  function hasStoppedResponding (group: Group): boolean {
    const overdue = new Set<string>()
    for (const { member, startedAt, overdueAt } of group.pending) {
      if (startedAt > group.lastResponseAt && overdueAt <= now()) overdue.add(member)
      if (overdue.size >= OVERDUE_MEMBER_THRESHOLD) return true
    }
    return false
  }

  return {
    trackRequest (member, expectedMs) {
      const group = groupOf(member.group)
      const startedAt = now()
      const pending = { member: member.id, path: member.path, startedAt, overdueAt: startedAt + Math.max(MINIMUM_OVERDUE_MS, expectedMs * OVERDUE_FACTOR) }
      group.pending.add(pending)
      return (responded) => {
        group.pending.delete(pending)
        if (!responded) return
        group.lastResponseAt = now()
        group.unresponsiveUntil = -Infinity
      }
    },
    discardPath (path) {
      for (const group of groups.values()) {
        const discarded = [...group.pending].filter((pending) => pending.path === path)
        if (discarded.length === 0) continue
        for (const pending of discarded) group.pending.delete(pending)
        group.unresponsiveUntil = -Infinity
        group.checkedAt = -Infinity
      }
    },
    isUnresponsive (name) {
      const group = groupOf(name)
      if (now() - group.checkedAt >= CHECK_INTERVAL_MS) {
        group.checkedAt = now()
        if (hasStoppedResponding(group)) group.unresponsiveUntil = now() + UNRESPONSIVE_MS
      }
      return group.unresponsiveUntil > now()
    }
  }
}
