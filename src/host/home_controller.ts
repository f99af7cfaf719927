/**
 * Creates the homes of new services and moves slices out of cells that are
 * gone. Every leader tries to write; compare-and-set accepts one change.
 */
import type { CellRow } from '../cell/mod.ts'
import type { ServiceConfiguration } from '../configuration/mod.ts'
import type { HostListing, TableService } from '../ports/mod.ts'
import { moveHomes, planHomes, type Homes } from './plan_homes.ts'
import { CELLS_PREFIX, HOMES_PREFIX, readHomes } from './routes.ts'
import type { SharedRows } from './shared_rows.ts'

/** Options of {@link createHomeController}. */
export interface HomeControllerOptions {
  readonly table: TableService
  readonly rows: SharedRows
  /** Name of the host's own cell, which never counts as gone. */
  readonly cell: string
  readonly cellsInZone: number
}

/** State that one reconciliation uses. */
export interface ReconcileContext {
  readonly listing: HostListing
  readonly services: readonly ServiceConfiguration[]
  /** Returns those of the given hosts that the platform's list no longer contains. */
  readonly goneMembers: (hosts: readonly string[]) => ReadonlySet<string>
}

/** Keeps the homes up to date on a leading host. */
export interface HomeController {
  /** Writes the changes that are due; returns the services whose homes were written. */
  reconcile (context: ReconcileContext): Promise<string[]>
}

/**
 * Creates the controller.
 *
 * @param options Table, rows and own cell.
 * @returns The controller.
 */
export function createHomeController (options: HomeControllerOptions): HomeController {
  function findGoneCells (context: ReconcileContext): Set<string> {
    const goneCells = new Set<string>()
    for (const row of options.rows.withPrefix(CELLS_PREFIX)) {
      const cell = row.key.slice(CELLS_PREFIX.length)
      const members = (row.value as CellRow).members.map((member) => member.host)
      const removedHosts = context.goneMembers(members)
      if (cell !== options.cell && members.every((member) => removedHosts.has(member))) goneCells.add(cell)
    }
    return goneCells
  }

  function nextHomes (
    service: ServiceConfiguration,
    currentHomes: Homes | undefined,
    change: { readonly context: ReconcileContext, readonly goneCells: ReadonlySet<string> }
  ): Homes | null {
    const { context, goneCells } = change
    if (service.key === undefined) return null
    const sizes = { service: service.name, slices: service.key.slices, cellsInZone: options.cellsInZone }
    if (currentHomes === undefined) return planHomes(context.listing, sizes)
    return goneCells.size === 0 ? null : moveHomes(currentHomes, context.listing, { ...sizes, goneCells })
  }

  return {
    async reconcile (context) {
      const homesByService = readHomes(options.rows)
      const goneCells = findGoneCells(context)
      const writtenServices: string[] = []
      for (const service of context.services) {
        const homes = nextHomes(service, homesByService.get(service.name), { context, goneCells })
        if (homes === null) continue
        const key = HOMES_PREFIX + service.name
        const written = await options.table.write([{ key, expectedRevision: options.rows.get(key)?.revision ?? 0, value: homes }])
        if (written.ok) writtenServices.push(service.name)
      }
      return writtenServices
    }
  }
}
