/** Caches the input of a cell's assignment; rebuilds it only when one of its sources has changed. */
import type { AssignmentInput, CellView } from '../cell/mod.ts'
import type { ConfigurationCache } from '../configuration/mod.ts'
import { buildCellInput, type HostListTracker } from './cell_input.ts'
import { readHomes } from './routes.ts'
import type { SharedRows } from './shared_rows.ts'
import type { SliceLoads } from './slice_loads.ts'

/** Prefix of the row keys of drained servers. */
export const DRAINS_PREFIX = 'gooseberryfold/drains/'

/** Options of {@link createAssignmentInputCache}. */
export interface AssignmentInputCacheOptions {
  readonly cell: string
  readonly cellsInZone: number
  readonly configuration: ConfigurationCache
  readonly rows: SharedRows
  readonly tracker: HostListTracker
  readonly loads: SliceLoads
}

/** State at the time of one request for the input. */
export interface AssignmentInputContext {
  readonly now: number
  /** Newest view that the host has cached. */
  readonly view: CellView | null
  /** Whether the homes in the shared rows may be used. */
  readonly homesTrusted: boolean
}

/** Cache of the input of one host. */
export interface AssignmentInputCache {
  /** Returns the input; the same object as before if nothing has changed. */
  get (context: AssignmentInputContext): AssignmentInput
}

/**
 * Creates the cache of one host.
 *
 * @param options Sources of the input.
 * @returns The cache.
 */
export function createAssignmentInputCache (options: AssignmentInputCacheOptions): AssignmentInputCache {
  const { rows, configuration, tracker, loads } = options
  let cachedParts: readonly unknown[] = []
  let cachedInput: AssignmentInput | null = null

  function drainedServers (): Set<string> {
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
      if (cachedInput !== null && parts.every((part, index) => part === cachedParts[index])) return cachedInput
      cachedParts = parts
      cachedInput = buildCellInput({
        cell: options.cell,
        cellsInZone: options.cellsInZone,
        services: configuration.services(),
        homes: homesTrusted ? readHomes(rows) : new Map(),
        drained: drainedServers(),
        loads: loads.byService(),
        listing,
        removedHosts: goneHosts,
        view
      })
      return cachedInput
    }
  }
}
