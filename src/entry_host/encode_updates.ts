/** Encodes and decodes the owners and loads that the leading host sends to the others. */
import type { ServerView } from '../gateway/mod.ts'
import type { KeyOwner, OwnerChange } from '../ownership/mod.ts'
import type { Update, WireOwner, WireServerView } from '../replication/mod.ts'

/**
 * Encodes owner changes as an update.
 *
 * @param owners Name of the service and its changes.
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
 * Decodes an owner that the leader sent.
 *
 * @param owner The owner in wire form.
 * @param now This host's monotonic time, in milliseconds.
 * @returns The owner.
 */
export function decodeOwner (owner: WireOwner, now: number): KeyOwner {
  if (owner === null) return { kind: 'moving' }
  return typeof owner === 'string' ? { kind: 'owned', server: owner } : { kind: 'unserved', until: now + owner.unservedMs }
}

/**
 * Encodes server views.
 *
 * @param views The views by server.
 * @returns The wire form.
 */
export function encodeViews (views: ReadonlyMap<string, ServerView>): WireServerView[] {
  return [...views].map(([server, view]) => [server, view.inFlight, Math.round(view.workMs), Math.round(view.failureShare * 100) / 100, view.silent ? 1 : 0, Math.round(view.admitShare * 1000) / 1000] as const)
}

/**
 * Decodes the leader's server views.
 *
 * @param views The wire form.
 * @returns The views by server.
 */
export function decodeViews (views: readonly WireServerView[]): Map<string, ServerView> {
  return new Map(views.map(([server, inFlight, workMs, failureShare, silent, admitShare]) => [server, { inFlight, workMs, failureShare, silent: silent === 1, admitShare }]))
}
