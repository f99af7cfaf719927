/**
 * The decision code of one host, as the daemon and the tests run it: its cell
 * and its grant manager combined. It receives events and the time, and returns
 * actions.
 */
import { createCell, type AssignmentInput, type Cell, type CellAction, type CellMessage, type CellOptions, type CellView, type RowOutcome } from '../cell/mod.ts'
import { createGrantManager, type GrantAction, type GrantManager, type GrantOutcome } from '../dispatch/mod.ts'

/** Action that a host has to perform. */
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
 * @param options Identity and start time of the host.
 * @returns The decision code.
 */
export function createHostCore (options: CellOptions): HostCore {
  const cell = createCell(options)
  const grantManager = createGrantManager(options.self.host)
  let isLeaving = false

  function completeActions (actions: readonly CellAction[], now: number): HostAction[] {
    grantManager.setDispatchRight(cell.dispatchRight(now))
    const grants = grantManager.nextActions(now).map((grant) => ({ kind: 'grant', grant }) as const)
    return [...actions, ...grants, ...cell.setReport(grantManager.report(now, isLeaving), now)]
  }

  return {
    cell,
    grantManager,
    onMessage: (from, message, now) => completeActions(cell.onMessage(from, message, now), now),
    onView: (view, now) => completeActions(cell.onView(view, now), now),
    onRow: (outcome, now) => completeActions(cell.onRow(outcome, now), now),
    onGrantOutcome (grant, outcome, now) {
      grantManager.onOutcome(grant, outcome, now)
      return completeActions([], now)
    },
    tick: (now) => completeActions(cell.tick(now), now),
    setInput: (input, reachable) => { cell.setInput(input, reachable) },
    setRowsRevision: (revision) => { cell.setRowsRevision(revision) },
    setLeaving (leaving) { isLeaving = leaving }
  }
}
