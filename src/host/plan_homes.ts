/** Plans the home cells of the slices of a keyed service. */
import { z } from 'zod'
import type { HostListing } from '../ports/mod.ts'
import { cellOfServer } from './cell_input.ts'

/** Schema of the row that holds the homes of a service. */
export const homesSchema = z.object({
  cells: z.array(z.string()),
  /** Index into `cells` for each slice. */
  homeOfSlice: z.array(z.number().int().min(0))
})

/** Home cell of each slice of one service. */
export type Homes = z.infer<typeof homesSchema>

/** Options of {@link planHomes}. */
export interface PlanHomesOptions {
  readonly service: string
  readonly slices: number
  readonly cellsInZone: number
}

/**
 * Distributes the slices of a service over cells, in proportion to the number
 * of servers in each cell.
 *
 * @param listing The platform's list.
 * @param options Service and number of slices.
 * @returns The homes, or `null` if the list contains no server of the service.
 */
export function planHomes (listing: HostListing, options: PlanHomesOptions): Homes | null {
  const counts = new Map<string, number>()
  for (const server of listing.servers) {
    if (server.service !== options.service) continue
    const cell = cellOfServer(server, options.cellsInZone)
    counts.set(cell, (counts.get(cell) ?? 0) + 1)
  }
  const cells = [...counts.keys()].sort()
  const total = [...counts.values()].reduce((sum, count) => sum + count, 0)
  if (total === 0) return null
  const homeOfSlice: number[] = []
  let servers = 0
  for (const [index, cell] of cells.entries()) {
    servers += counts.get(cell) ?? 0
    const end = Math.round(options.slices * servers / total)
    while (homeOfSlice.length < end) homeOfSlice.push(index)
  }
  return { cells, homeOfSlice }
}

/** Options of {@link moveHomes}. */
export interface MoveHomesOptions extends PlanHomesOptions {
  /** Cells that have no hosts left. */
  readonly goneCells: ReadonlySet<string>
}

/**
 * Moves the slices of cells that are gone to the remaining cells, in
 * proportion to their servers. All other slices keep their homes.
 *
 * @param homes The current homes.
 * @param listing The platform's list.
 * @param options Service and the cells that are gone.
 * @returns The new homes, or `null` if nothing can or needs to be moved.
 */
export function moveHomes (homes: Homes, listing: HostListing, options: MoveHomesOptions): Homes | null {
  const isGone = (home: number): boolean => options.goneCells.has(homes.cells[home] ?? '')
  const slicesToMove = homes.homeOfSlice.flatMap((home, slice) => isGone(home) ? [slice] : [])
  const servers = listing.servers.filter((server) => !options.goneCells.has(cellOfServer(server, options.cellsInZone)))
  const newHomes = planHomes({ hosts: [], servers }, { ...options, slices: slicesToMove.length })
  if (slicesToMove.length === 0 || newHomes === null) return null
  const cells = [...new Set([...homes.cells, ...newHomes.cells])]
  const homeOfSlice = [...homes.homeOfSlice]
  for (const [index, slice] of slicesToMove.entries()) {
    homeOfSlice[slice] = cells.indexOf(newHomes.cells[newHomes.homeOfSlice[index] ?? 0] ?? '')
  }
  return { cells, homeOfSlice }
}
