/**
 * The decision code of one host as the daemon and the tests run it: its part
 * in the cell and its grants, tied together. Events and time go in, actions
 * come out.
 */
import { createCell, type AssignmentInput, type Cell, type CellAction, type CellMessage, type CellOptions, type CellView, type RowOutcome } from '../cell/mod.ts'
import { createGrantManager, type GrantAction, type GrantManager, type GrantOutcome } from '../dispatch/mod.ts'

/** What a host is to do. */
export type HostAction = CellAction | { readonly kind: 'grant', readonly grant: GrantAction }

/** Decision code of one host. Every method that returns actions takes the host's monotonic time in milliseconds. */
export interface HostCore {
  readonly cell: Cell
  readonly grantManager: GrantManager
  onMessage (from: string, message: CellMessage, now: number): HostAction[]
  onView (view: CellView, now: number): HostAction[]
  onRow (outcome: RowOutcome, now: number): HostAction[]
  onGrantOutcome (grant: GrantAction, outcome: GrantOutcome, now: number): HostAction[]
  tick (now: number): HostAction[]
  setInput (input: AssignmentInput, platformReachable: boolean): void
  setRowsRevision (revision: number): void
  setLeaving (leaving: boolean): void
}

/**
 * Creates the decision code of one host.
 *
 * @param options Identity and start of the host.
 * @returns The decision code.
 */
export function createHostCore (options: CellOptions): HostCore {
  const cell = createCell(options)
  const keeper = createGrantManager(options.self.host)
  let isLeaving = false

  function settle (actions: readonly CellAction[], now: number): HostAction[] {
    keeper.setDispatchRight(cell.dispatchRight(now))
    const grants = keeper.nextActions(now).map((grant) => ({ kind: 'grant', grant }) as const)
    return [...actions, ...grants, ...cell.setReport(keeper.report(now, isLeaving), now)]
  }

  return {
    cell,
    grantManager: keeper,
    onMessage: (from, message, now) => settle(cell.onMessage(from, message, now), now),
    onView: (view, now) => settle(cell.onView(view, now), now),
    onRow: (outcome, now) => settle(cell.onRow(outcome, now), now),
    onGrantOutcome (grant, outcome, now) {
      keeper.onOutcome(grant, outcome, now)
      return settle([], now)
    },
    tick: (now) => settle(cell.tick(now), now),
    setInput: (input, reachable) => { cell.setInput(input, reachable) },
    setRowsRevision: (revision) => { cell.setRowsRevision(revision) },
    setLeaving (leaving) { isLeaving = leaving }
  }
}
