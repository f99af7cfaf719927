/** Checks the rules of ownership against the requests that servers ran and the views that hosts applied. Times are simulated milliseconds. */
import type { CellRow, CellView } from '../src/cell/mod.ts'

/** One execution of a request by a server. */
export interface Run {
  readonly slice: number
  readonly server: string
  readonly token: number
  readonly startedAt: number
  endedAt: number
}

/** A broken rule and the time at which it was detected. */
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
  /** Whether the server has been drained and its slices may be reassigned. */
  readonly isDrained: (server: string) => boolean
  /** Whether an announced owner may change only after its server was drained. */
  readonly keepsAnnounced: boolean
}

/** Checker of one simulated cluster. */
export interface OwnershipChecker {
  readonly violations: readonly Violation[]
  readonly runs: readonly Run[]
  /** Records which servers hold a grant for a slice. */
  recordHolders (slice: number, servers: readonly string[]): void
  /** Records that a server starts to run a request. */
  recordRun (run: Run): void
  recordRow (revision: number, row: CellRow): void
  /** Records a view that a host applied. */
  recordView (view: CellView): void
}

/**
 * Creates a checker without records.
 *
 * @param options State of the simulated cluster that the rules need.
 * @returns The checker.
 */
export function createOwnershipChecker (options: OwnershipCheckerOptions): OwnershipChecker {
  const violations: Violation[] = []
  const runs: Run[] = []
  const lastRunBySlice = new Map<number, Run>()
  const rowsByRevision = new Map<number, CellRow>()
  const seenViews = new WeakSet<CellView>()
  const newestViewBySlice = new Map<number, CellView>()
  const announcedOwners = new Map<number, string>()

  function addViolation (rule: string, detail: string): void {
    violations.push({ rule, at: options.now(), detail })
  }

  /** Checks that every owner in a durable view is written in its row. */
  function checkDurableView (view: CellView): void {
    const writtenOwners = rowsByRevision.get(view.rowRevision)?.owners[options.service] ?? {}
    for (const [slice, owner] of Object.entries(view.owners[options.service] ?? {})) {
      if (writtenOwners[slice] !== owner) addViolation('announced assignment', `slice ${slice}: ${owner} is in a durable view, the row has ${writtenOwners[slice]}`)
    }
  }

  function checkOwner (slice: number, owner: string, view: CellView): void {
    const newest = newestViewBySlice.get(slice)
    if (newest !== undefined && isOlder(view, newest)) return
    newestViewBySlice.set(slice, view)
    const announcedOwner = announcedOwners.get(slice)
    if (options.keepsAnnounced && announcedOwner !== undefined && announcedOwner !== owner && !options.isDrained(announcedOwner)) {
      addViolation('announced assignment', `slice ${slice}: ${announcedOwner} was announced, view ${view.epoch}/${view.version} has ${owner}`)
    }
    if (view.durable) announcedOwners.set(slice, owner)
    else if (announcedOwner !== owner) announcedOwners.delete(slice)
  }

  return {
    violations,
    runs,
    recordHolders (slice, servers) {
      if (servers.length > 1) addViolation('one owner', `slice ${slice}: ${servers.join(' and ')} hold a grant`)
    },
    recordRun (run) {
      const previousRun = lastRunBySlice.get(run.slice)
      lastRunBySlice.set(run.slice, run)
      runs.push(run)
      if (previousRun === undefined || previousRun.server === run.server) return
      if (run.token <= previousRun.token) addViolation('one owner', `slice ${run.slice}: ${run.server} at token ${run.token} ran after ${previousRun.server} at ${previousRun.token}`)
      // A server that checks grants discards a result on completion if its grant has expired.
      const isFenced = options.checksGrants(previousRun.server)
      if (!isFenced && previousRun.endedAt > run.startedAt) addViolation('one owner', `slice ${run.slice}: ${run.server} ran at the same time as ${previousRun.server}`)
    },
    recordRow (revision, row) { rowsByRevision.set(revision, row) },
    recordView (view) {
      if (seenViews.has(view)) return
      seenViews.add(view)
      if (view.durable) checkDurableView(view)
      for (const [slice, owner] of Object.entries(view.owners[options.service] ?? {})) checkOwner(Number(slice), owner, view)
    }
  }
}

function isOlder (left: CellView, right: CellView): boolean {
  return left.epoch < right.epoch || (left.epoch === right.epoch && left.version < right.version)
}
