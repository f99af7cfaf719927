/** Builds the input of a cell's assignment, and only when something that it is made from has changed. */
import type { AssignmentInput, CellView } from '../cell/mod.ts'
import type { ConfigurationCache } from '../configuration/mod.ts'
import { buildCellInput, type HostListTracker } from './cell_input.ts'
import { readHomes } from './routes.ts'
import type { SharedRows } from './shared_rows.ts'
import type { SliceLoads } from './slice_loads.ts'

/** Start of the keys of the rows of drained servers. */
export const DRAINS_PREFIX = 'gooseberryfold/drains/'

/** What the input is made from. */
export interface AssignmentInputCacheOptions {
  readonly cell: string
  readonly cellsInZone: number
  readonly configuration: ConfigurationCache
  readonly rows: SharedRows
  readonly tracker: HostListTracker
  readonly loads: SliceLoads
}

/** Circumstances of one request for the input. */
export interface AssignmentInputContext {
  readonly now: number
  /** Newest view that the host holds. */
  readonly view: CellView | null
  /** Whether the homes among the shared rows may be acted on. */
  readonly homesTrusted: boolean
}

/** Source of the input of one host. */
export interface AssignmentInputCache {
  /** Returns the input; the same object as before where nothing has changed. */
  get (circumstances: AssignmentInputContext): AssignmentInput
}

/**
 * Creates the source of one host.
 *
 * @param options Everything that the host knows.
 * @returns The source.
 */
export function createAssignmentInputCache (options: AssignmentInputCacheOptions): AssignmentInputCache {
  const { rows, configuration, tracker, loads } = options
  let madeFrom: readonly unknown[] = []
  let made: AssignmentInput | null = null

  function drained (): Set<string> {
    return new Set(rows.withPrefix(DRAINS_PREFIX)
      .filter((row) => row.value === true)
      .map((row) => row.key.slice(DRAINS_PREFIX.length)))
  }

  return {
    get ({ now, view, homesTrusted }) {
      const members = view?.row.members.map((member) => member.host) ?? []
      const goneHosts = tracker.goneMembers(members, now)
      const listing = tracker.listing(now)
      const parts = [
        rows.revision(), configuration.bundle().version, listing, loads.version(), homesTrusted,
        [...goneHosts].join(), listing === null ? view : null
      ]
      if (made !== null && parts.every((part, index) => part === madeFrom[index])) return made
      madeFrom = parts
      made = buildCellInput({
        cell: options.cell,
        cellsInZone: options.cellsInZone,
        services: configuration.services(),
        homes: homesTrusted ? readHomes(rows) : new Map(),
        drained: drained(),
        loads: loads.byService(),
        listing,
        goneHosts,
        view
      })
      return made
    }
  }
}
