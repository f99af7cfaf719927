/** Selects the next change to a cell's members, one at a time. */
import type { AssignmentInput } from './assignment.ts'
import type { HostTable } from './host_table.ts'
import { CellTiming } from './timing.ts'
import type { HostIncarnation } from './types.ts'

/** Time without a message after which a member is removed from the row, in milliseconds. */
export const MEMBER_REMOVAL_TIMEOUT_MS = 10_000

/** Maximum number of members of a cell. */
const MAXIMUM_MEMBERS = 16

/** Input of {@link nextMembers}. */
export interface MembersContext {
  readonly self: HostIncarnation
  readonly hosts: HostTable
  readonly input: AssignmentInput
  /** Start of the leadership, in milliseconds; counts as the last message of a host that has sent none. */
  readonly leaderSince: number
  readonly now: number
}

/**
 * Returns the members with at most one change: a restarted host is updated, a
 * new one added or an unresponsive one removed. Call only after a majority has
 * stored the current members.
 */
export function nextMembers (members: readonly HostIncarnation[], context: MembersContext): readonly HostIncarnation[] {
  return withRestarted(members, context) ?? withJoining(members, context) ?? withoutUnresponsive(members, context) ?? members
}

function withRestarted (members: readonly HostIncarnation[], { hosts, now }: MembersContext): readonly HostIncarnation[] | undefined {
  const restarted = members.find((member) =>
    hosts.isAlive(member.host, now) && (hosts.get(member.host)?.incarnation ?? 0) > member.incarnation)
  if (restarted === undefined) return undefined
  const incarnation = hosts.get(restarted.host)?.incarnation ?? restarted.incarnation
  return members.map((member) => member === restarted ? { host: member.host, incarnation } : member)
}

/** A host joins once the platform lists it and its promise is valid, so that the authority does not shrink. */
function withJoining (members: readonly HostIncarnation[], { hosts, input, now }: MembersContext): readonly HostIncarnation[] | undefined {
  if (members.length >= MAXIMUM_MEMBERS) return undefined
  const joining = hosts.all().find((record) =>
    hosts.isAlive(record.host, now) && !record.leaving && input.listedHosts.has(record.host) &&
    record.promisedUntil > now + CellTiming.PING_INTERVAL_MS &&
    members.every((member) => member.host !== record.host))
  return joining === undefined ? undefined : [...members, { host: joining.host, incarnation: joining.incarnation }]
}

function withoutUnresponsive (members: readonly HostIncarnation[], context: MembersContext): readonly HostIncarnation[] | undefined {
  const unresponsive = members.find((member) => isRemovable(member.host, context))
  return unresponsive === undefined ? undefined : members.filter((member) => member !== unresponsive)
}

function isRemovable (host: string, { self, hosts, input, leaderSince, now }: MembersContext): boolean {
  if (host === self.host) return false
  const lastMessageAt = hosts.get(host)?.receivedAt ?? leaderSince
  return input.removedHosts.has(host) || now - lastMessageAt > MEMBER_REMOVAL_TIMEOUT_MS
}
