/** Forms in which owners and loads go from the leading host to the others. */
import type { ServerView } from '../gateway/mod.ts'
import type { KeyOwner, OwnerChange } from '../ownership/mod.ts'
import type { Update, WireOwner, WireServerView } from '../replication/mod.ts'

/**
 * Encodes changes of owners.
 *
 * @param owners Name of the service, and the changes.
 * @param now This host's monotonic time, in milliseconds.
 * @returns The update.
 */
export function encodeOwnersUpdate ({ service, changes }: { readonly service: string, readonly changes: readonly OwnerChange[] }, now: number): Update {
  return { kind: 'owners', service, changes: changes.map((change) => [change.from, change.to, encodeOwner(change.owner, now)] as const) }
}

function encodeOwner (owner: KeyOwner, now: number): WireOwner {
  if (owner.kind === 'owned') return owner.server
  return owner.kind === 'unserved' ? { unservedMs: Math.max(0, Math.round(owner.until - now)) } : null
}

/**
 * Decodes an owner that the leader told.
 *
 * @param owner The owner on the wire.
 * @param now This host's monotonic time, in milliseconds.
 * @returns The owner.
 */
export function decodeOwner (owner: WireOwner, now: number): KeyOwner {
  if (owner === null) return { kind: 'moving' }
  return typeof owner === 'string' ? { kind: 'owned', server: owner } : { kind: 'unserved', until: now + owner.unservedMs }
}

/**
 * Encodes what is known of servers.
 *
 * @param views What is known.
 * @returns The wire form.
 */
export function encodeViews (views: ReadonlyMap<string, ServerView>): WireServerView[] {
  return [...views].map(([server, view]) => [server, view.inFlight, Math.round(view.workMs), Math.round(view.failureShare * 100) / 100, view.silent ? 1 : 0, Math.round(view.admitShare * 1000) / 1000] as const)
}

/**
 * Decodes what the leader knows of servers.
 *
 * @param views The wire form.
 * @returns What is known.
 */
export function decodeViews (views: readonly WireServerView[]): Map<string, ServerView> {
  return new Map(views.map(([server, inFlight, workMs, failureShare, silent, admitShare]) => [server, { inFlight, workMs, failureShare, silent: silent === 1, admitShare }]))
}
