/** Changes of a cell's members, one at a time. */
import type { AssignmentInput } from './assignment.ts'
import type { HostTable } from './host_table.ts'
import { CellTiming } from './timing.ts'
import type { HostIncarnation } from './types.ts'

/** How long a member may be silent before it is struck from the row, in milliseconds. */
export const MEMBER_REMOVAL_TIMEOUT_MS = 10_000

/** Members that a cell may have. */
const MAXIMUM_MEMBERS = 16

/** What a change is decided from. */
export interface MembersContext {
  readonly self: HostIncarnation
  readonly hosts: HostTable
  readonly input: AssignmentInput
  /** When the leader began, in milliseconds; a host that was never heard is silent since then. */
  readonly leaderSince: number
  readonly now: number
}

/**
 * Returns the members with at most one change: a restarted one, a new one or
 * a silent one. To be asked only while a majority holds the members so far.
 */
export function nextMembers (members: readonly HostIncarnation[], context: MembersContext): readonly HostIncarnation[] {
  return withRestarted(members, context) ?? withJoining(members, context) ?? withoutSilent(members, context) ?? members
}

function withRestarted (members: readonly HostIncarnation[], { hosts, now }: MembersContext): readonly HostIncarnation[] | undefined {
  const restarted = members.find((member) =>
    hosts.isAlive(member.host, now) && (hosts.get(member.host)?.incarnation ?? 0) > member.incarnation)
  if (restarted === undefined) return undefined
  const incarnation = hosts.get(restarted.host)?.incarnation ?? restarted.incarnation
  return members.map((member) => member === restarted ? { host: member.host, incarnation } : member)
}

/** A host joins once the platform lists it and its promise counts, so that the authority does not dip. */
function withJoining (members: readonly HostIncarnation[], { hosts, input, now }: MembersContext): readonly HostIncarnation[] | undefined {
  if (members.length >= MAXIMUM_MEMBERS) return undefined
  const joining = hosts.all().find((known) =>
    hosts.isAlive(known.host, now) && !known.leaving && input.listedHosts.has(known.host) &&
    known.promisedUntil > now + CellTiming.PING_INTERVAL_MS &&
    members.every((member) => member.host !== known.host))
  return joining === undefined ? undefined : [...members, { host: joining.host, incarnation: joining.incarnation }]
}

function withoutSilent (members: readonly HostIncarnation[], context: MembersContext): readonly HostIncarnation[] | undefined {
  const silent = members.find((member) => isStruck(member.host, context))
  return silent === undefined ? undefined : members.filter((member) => member !== silent)
}

function isStruck (host: string, { self, hosts, input, leaderSince: ledSince, now }: MembersContext): boolean {
  if (host === self.host) return false
  const lastHeard = hosts.get(host)?.receivedAt ?? ledSince
  return input.removedHosts.has(host) || now - lastHeard > MEMBER_REMOVAL_TIMEOUT_MS
}
