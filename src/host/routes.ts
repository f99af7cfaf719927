/** Routes requests of a service to the dispatcher in the host's own cell, or to hosts of another cell. */
import type { CellRow, CellView } from '../cell/mod.ts'
import type { Placement } from '../dispatch/mod.ts'
import type { Routes } from '../edge/mod.ts'
import { homesSchema, type Homes } from './plan_homes.ts'
import type { SharedRows } from './shared_rows.ts'

/** Prefix of the row keys of cells. */
export const CELLS_PREFIX = 'gooseberryfold/cells/'

/** Prefix of the row keys of homes. */
export const HOMES_PREFIX = 'gooseberryfold/homes/'

/**
 * Returns where a slice, or a service without keys, is dispatched, according to a view.
 *
 * @param view The committed view, or `null`.
 * @param target Service, slice and the requesting host.
 * @returns The placement.
 */
export function placementIn (
  view: CellView | null,
  target: { readonly service: string, readonly slice: number | null, readonly host: string }
): Placement {
  if (view === null) return { kind: 'unknown' }
  const dispatcher = dispatcherIn(view, target)
  if (dispatcher === null) return { kind: 'unknown' }
  return dispatcher === target.host ? { kind: 'here' } : { kind: 'elsewhere', dispatcher }
}

function dispatcherIn (view: CellView, target: { readonly service: string, readonly slice: number | null, readonly host: string }): string | null {
  if (target.slice === null) {
    const dispatchers = view.servers.filter((server) => server.service === target.service).map((server) => server.dispatcher)
    return dispatchers.includes(target.host) ? target.host : dispatchers.find((dispatcher) => dispatcher !== null) ?? null
  }
  const owner = view.owners[target.service]?.[String(target.slice)]
  return view.servers.find((server) => server.id === owner)?.dispatcher ?? null
}

/** Options of {@link createRoutes}. */
export interface RoutesOptions {
  readonly host: string
  /** Name of the host's own cell. */
  readonly cell: string
  readonly rows: SharedRows
  readonly view: () => CellView | null
}

/**
 * Creates the routes of one host.
 *
 * @param options Identity, rows and view.
 * @returns The routes.
 */
export function createRoutes (options: RoutesOptions): Routes {
  let homesByService = new Map<string, Homes>()
  let cachedRevision = -1

  function homes (service: string): Homes | undefined {
    if (cachedRevision !== options.rows.revision()) {
      cachedRevision = options.rows.revision()
      homesByService = readHomes(options.rows)
    }
    return homesByService.get(service)
  }

  function hostsOf (cell: string, start: number): string[] {
    const row = options.rows.get(CELLS_PREFIX + cell)?.value as CellRow | undefined
    const hosts = (row?.members ?? []).map((member) => member.host)
    const offset = hosts.length === 0 ? 0 : start % hosts.length
    return [...hosts.slice(offset), ...hosts.slice(0, offset)]
  }

  function hasServers (service: string): boolean {
    return options.view()?.servers.some((server) => server.service === service) ?? false
  }

  return {
    candidates (service, slice) {
      if (slice === null) return candidatesWithoutKey(service)
      const serviceHomes = homes(service)
      const index = serviceHomes?.homeOfSlice[slice]
      const cell = index === undefined ? undefined : serviceHomes?.cells[index]
      if (cell === undefined) return []
      if (cell !== options.cell) return hostsOf(cell, slice)
      const placement = placementIn(options.view(), { service, slice, host: options.host })
      return placement.kind === 'elsewhere' ? [placement.dispatcher, options.host] : [options.host]
    }
  }

  function candidatesWithoutKey (service: string): readonly string[] {
    const others = options.rows.withPrefix(CELLS_PREFIX)
      .map((row) => row.key.slice(CELLS_PREFIX.length))
      .filter((cell) => cell !== options.cell).sort()
      .flatMap((cell) => hostsOf(cell, 0))
    if (!hasServers(service)) return others
    const placement = placementIn(options.view(), { service, slice: null, host: options.host })
    return [placement.kind === 'elsewhere' ? placement.dispatcher : options.host, ...others]
  }
}

/** Reads the homes of every service from the shared rows. */
export function readHomes (rows: SharedRows): Map<string, Homes> {
  const homes = new Map<string, Homes>()
  for (const row of rows.withPrefix(HOMES_PREFIX)) {
    const parsed = homesSchema.safeParse(row.value)
    if (parsed.success) homes.set(row.key.slice(HOMES_PREFIX.length), parsed.data)
  }
  return homes
}
