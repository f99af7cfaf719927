/** The rules of ownership, checked against what servers ran and hosts were told. Times are world milliseconds. */
import type { CellRow, CellView } from '../src/cell/mod.ts'

/** A run of a request at a server. */
export interface Run {
  readonly slice: number
  readonly server: string
  readonly token: number
  readonly startedAt: number
  endedAt: number
}

/** A broken rule, with the time at which it was seen. */
export interface Violation {
  readonly rule: string
  readonly at: number
  readonly detail: string
}

/** Options of {@link createOwnershipChecker}. */
export interface OwnershipCheckerOptions {
  readonly service: string
  readonly now: () => number
  readonly checksGrants: (server: string) => boolean
  /** Whether the server has been drained, so that its slices may get other owners. */
  readonly isDrained: (server: string) => boolean
  /** Whether the owner that was announced may change only for a drained server. */
  readonly keepsAnnounced: boolean
}

/** Record of one world. */
export interface OwnershipChecker {
  readonly violations: readonly Violation[]
  readonly runs: readonly Run[]
  /** Notes which servers believe that they own a slice. */
  recordHolders (slice: number, servers: readonly string[]): void
  /** Notes that a server begins to run a request. */
  recordRun (run: Run): void
  recordRow (revision: number, row: CellRow): void
  /** Notes a view that a host has put into effect. */
  recordView (view: CellView): void
}

/**
 * Creates an empty record.
 *
 * @param options What the rules need to know of the world.
 * @returns The record.
 */
export function createOwnershipChecker (options: OwnershipCheckerOptions): OwnershipChecker {
  const violations: Violation[] = []
  const runs: Run[] = []
  const lastRun = new Map<number, Run>()
  const rows = new Map<number, CellRow>()
  const seenViews = new WeakSet<CellView>()
  const newestView = new Map<number, CellView>()
  const announced = new Map<number, string>()

  function violate (rule: string, detail: string): void {
    violations.push({ rule, at: options.now(), detail })
  }

  /** A view that says it is durable names no owner that its row does not. */
  function checkDurable (view: CellView): void {
    const written = rows.get(view.rowRevision)?.owners[options.service] ?? {}
    for (const [slice, owner] of Object.entries(view.owners[options.service] ?? {})) {
      if (written[slice] !== owner) violate('announced assignment', `slice ${slice}: ${owner} is called durable, the row says ${written[slice]}`)
    }
  }

  function noteOwner (slice: number, owner: string, view: CellView): void {
    const newest = newestView.get(slice)
    if (newest !== undefined && isOlder(view, newest)) return
    newestView.set(slice, view)
    const told = announced.get(slice)
    if (options.keepsAnnounced && told !== undefined && told !== owner && !options.isDrained(told)) {
      violate('announced assignment', `slice ${slice}: ${told} was announced, view ${view.epoch}/${view.version} names ${owner}`)
    }
    if (view.durable) announced.set(slice, owner)
    else if (told !== owner) announced.delete(slice)
  }

  return {
    violations,
    runs,
    recordHolders (slice, servers) {
      if (servers.length > 1) violate('one owner', `slice ${slice}: ${servers.join(' and ')} hold a grant`)
    },
    recordRun (run) {
      const before = lastRun.get(run.slice)
      lastRun.set(run.slice, run)
      runs.push(run)
      if (before === undefined || before.server === run.server) return
      if (run.token <= before.token) violate('one owner', `slice ${run.slice}: ${run.server} at token ${run.token} ran after ${before.server} at ${before.token}`)
      // A server that checks grants discards, at its end, work whose grant has ended.
      const isFenced = options.checksGrants(before.server)
      if (!isFenced && before.endedAt > run.startedAt) violate('one owner', `slice ${run.slice}: ${run.server} ran beside ${before.server}`)
    },
    recordRow (revision, row) { rows.set(revision, row) },
    recordView (view) {
      if (seenViews.has(view)) return
      seenViews.add(view)
      if (view.durable) checkDurable(view)
      for (const [slice, owner] of Object.entries(view.owners[options.service] ?? {})) noteOwner(Number(slice), owner, view)
    }
  }
}

function isOlder (left: CellView, right: CellView): boolean {
  return left.epoch < right.epoch || (left.epoch === right.epoch && left.version < right.version)
}
