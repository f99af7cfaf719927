/**
 * Creates the homes of new services and moves those of cells that are gone.
 * Every leader tries; compare-and-set lets one change through.
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
  /** Name of the own cell; it is never gone. */
  readonly cell: string
  readonly cellsInZone: number
}

/** What a round works from. */
export interface ReconcileContext {
  readonly listing: HostListing
  readonly services: readonly ServiceConfiguration[]
  /** Hosts, among the given ones, that the platform's list names no more. */
  readonly goneMembers: (hosts: readonly string[]) => ReadonlySet<string>
}

/** Keeper of the homes, for a host that leads. */
export interface HomeController {
  /** Writes the changes that are due; returns the services whose slices moved. */
  reconcile (round: ReconcileContext): Promise<string[]>
}

/**
 * Creates the keeper.
 *
 * @param options Table, rows and own cell.
 * @returns The keeper.
 */
export function createHomeController (options: HomeControllerOptions): HomeController {
  function goneCells (round: ReconcileContext): Set<string> {
    const gone = new Set<string>()
    for (const row of options.rows.withPrefix(CELLS_PREFIX)) {
      const cell = row.key.slice(CELLS_PREFIX.length)
      const members = (row.value as CellRow).members.map((member) => member.host)
      const goneHosts = round.goneMembers(members)
      if (cell !== options.cell && members.every((member) => goneHosts.has(member))) gone.add(cell)
    }
    return gone
  }

  function nextHomes (
    service: ServiceConfiguration,
    known: Homes | undefined,
    context: { readonly round: ReconcileContext, readonly gone: ReadonlySet<string> }
  ): Homes | null {
    const { round, gone } = context
    if (service.key === undefined) return null
    const sizes = { service: service.name, slices: service.key.slices, cellsInZone: options.cellsInZone }
    if (known === undefined) return planHomes(round.listing, sizes)
    return gone.size === 0 ? null : moveHomes(known, round.listing, { ...sizes, goneCells: gone })
  }

  return {
    async reconcile (round) {
      const known = readHomes(options.rows)
      const gone = goneCells(round)
      const changed: string[] = []
      for (const service of round.services) {
        const homes = nextHomes(service, known.get(service.name), { round, gone })
        if (homes === null) continue
        const key = HOMES_PREFIX + service.name
        const written = await options.table.write([{ key, expectedRevision: options.rows.get(key)?.revision ?? 0, value: homes }])
        if (written.ok) changed.push(service.name)
      }
      return changed
    }
  }
}
