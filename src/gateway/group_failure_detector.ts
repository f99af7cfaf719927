/**
 * Notices that all requests to a group go unanswered: to an availability zone
 * that a partition has cut off, or through a host that stands still. Each
 * server beyond would otherwise cost some requests before it is left alone.
 */

/** Requests in flight, by the group that they depend on. */
export interface GroupFailureDetector {
  /**
   * Notes that a request was sent.
   *
   * @param member Group, and what several members of it must show together: a server, or one request.
   * @param expectedMs Expected time until the answer, in milliseconds.
   * @returns Ends the request; `answered` tells whether anything was said.
   */
  trackRequest (member: { readonly id: string, readonly group: string }, expectedMs: number): (answered: boolean) => void
  /** Whether requests to a group would most likely be lost now. */
  isUnresponsive (group: string): boolean
}

interface Pending { readonly member: string, readonly startedAt: number, readonly overdueAt: number }
interface Group { readonly pending: Set<Pending>, answeredAt: number, silentUntil: number, checkedAt: number }

/** Multiple of the expected time after which a request is overdue: few requests take longer. */
const OVERDUE_FACTOR = 2.5

/** Shortest time after which one is, in milliseconds: a lost packet is sent again within it. */
const LEAST_OVERDUE_MS = 300

/** Members of a group with overdue requests that make it silent: one alone may have its own reason. */
const SILENT_MEMBERS = 2

/** How long a silent group is left alone before some requests try it again, in milliseconds. */
const SILENCE_LASTS_MS = 1000

/** Time between two looks at the requests in flight, in milliseconds. */
const CHECK_EVERY_MS = 20

/**
 * Creates a record without requests.
 *
 * @param now Monotonic time in milliseconds.
 * @returns The record.
 */
export function createGroupFailureDetector (now: () => number): GroupFailureDetector {
  const groups = new Map<string, Group>()

  function groupOf (name: string): Group {
    const known = groups.get(name)
    if (known !== undefined) return known
    const fresh: Group = { pending: new Set(), answeredAt: -Infinity, silentUntil: -Infinity, checkedAt: -Infinity }
    groups.set(name, fresh)
    return fresh
  }

  /** Whether requests that began after the group's last answer are overdue at several members. */
  function hasFallenSilent (group: Group): boolean {
    const overdue = new Set<string>()
    for (const { member, startedAt, overdueAt } of group.pending) {
      if (startedAt > group.answeredAt && overdueAt <= now()) overdue.add(member)
      if (overdue.size >= SILENT_MEMBERS) return true
    }
    return false
  }

  return {
    trackRequest (member, expectedMs) {
      const group = groupOf(member.group)
      const startedAt = now()
      const pending = { member: member.id, startedAt, overdueAt: startedAt + Math.max(LEAST_OVERDUE_MS, expectedMs * OVERDUE_FACTOR) }
      group.pending.add(pending)
      return (answered) => {
        group.pending.delete(pending)
        if (!answered) return
        group.answeredAt = now()
        group.silentUntil = -Infinity
      }
    },
    isUnresponsive (name) {
      const group = groupOf(name)
      if (now() - group.checkedAt >= CHECK_EVERY_MS) {
        group.checkedAt = now()
        if (hasFallenSilent(group)) group.silentUntil = now() + SILENCE_LASTS_MS
      }
      return group.silentUntil > now()
    }
  }
}
