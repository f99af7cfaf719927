/** Builds the input of a cell's assignment from the platform's list, the configuration and the shared rows. */
import type { AssignmentInput, CellServer, CellView } from '../cell/mod.ts'
import type { ServiceConfiguration } from '../configuration/mod.ts'
import type { HostListing, ListedServer } from '../ports/mod.ts'
import { hashText } from '../slices/mod.ts'
import type { Homes } from './plan_homes.ts'

/** How long a host must be missing from the platform's list before it counts as gone, in milliseconds. */
const HOST_GONE_TIMEOUT_MS = 3000

/** Age up to which a list counts as current, in milliseconds. */
const MAXIMUM_LIST_AGE_MS = 5000

/** Returns the name of a cell, such as `zone-a/1`. */
export function cellName (zone: string, number: number): string {
  return `${zone}/${number}`
}

/**
 * Returns the cell that is responsible for a backend server.
 *
 * @param server The server as listed.
 * @param cellsInZone Number of cells in each availability zone.
 * @returns The name of the cell.
 */
export function cellOfServer (server: Pick<ListedServer, 'id' | 'zone'>, cellsInZone: number): string {
  return cellName(server.zone, 1 + hashText(server.id) % cellsInZone)
}

/** Caches the platform's list and tracks the hosts that are missing from it. */
export interface HostListTracker {
  update (listing: HostListing, now: number): void
  /** The newest list, or `null` if none was read recently; the same object while its content is unchanged. */
  listing (now: number): HostListing | null
  /** Members that were missing from the lists for long enough; a gap between lists restarts the time. */
  goneMembers (members: readonly string[], now: number): Set<string>
}

/**
 * Creates a tracker that has no list yet.
 *
 * @returns The tracker.
 */
export function createHostListTracker (): HostListTracker {
  const missingSince = new Map<string, number>()
  let latest: HostListing | null = null
  let latestText = ''
  let latestAt = -Infinity

  function isFresh (now: number): boolean {
    return now - latestAt <= MAXIMUM_LIST_AGE_MS
  }

  return {
    update (listing, now) {
      if (!isFresh(now)) missingSince.clear()
      const text = JSON.stringify(listing)
      if (latest === null || text !== latestText) latest = listing
      latestText = text
      latestAt = now
      for (const { host } of listing.hosts) missingSince.delete(host)
    },
    listing: (now) => isFresh(now) ? latest : null,
    goneMembers (members, now) {
      if (latest === null || !isFresh(now)) return new Set()
      const listed = new Set(latest.hosts.map((host) => host.host))
      const missing = members.filter((member) => !listed.has(member))
      for (const host of missing) if (!missingSince.has(host)) missingSince.set(host, latestAt)
      return new Set(missing.filter((host) => latestAt - (missingSince.get(host) ?? latestAt) > HOST_GONE_TIMEOUT_MS))
    }
  }
}

/** Options of {@link buildCellInput}. */
export interface CellInputOptions {
  readonly cell: string
  readonly cellsInZone: number
  readonly services: readonly ServiceConfiguration[]
  readonly homes: ReadonlyMap<string, Homes>
  readonly drained: ReadonlySet<string>
  readonly loads: Readonly<Record<string, ReadonlyMap<number, number>>>
  readonly listing: HostListing | null
  readonly removedHosts: ReadonlySet<string>
  /** View that supplies the servers if no list was read recently. */
  readonly view: CellView | null
}

/**
 * Builds the input of a cell's assignment.
 *
 * @param options State that the host has cached.
 * @returns The input; the function is pure, so the same state gives the same input.
 */
export function buildCellInput (options: CellInputOptions): AssignmentInput {
  const services = new Map(options.services.map((service) => [service.name, service]))
  const homes: Record<string, number[]> = {}
  for (const [service, serviceHomes] of options.homes) {
    if (services.get(service)?.key === undefined) continue
    homes[service] = slicesOfCell(serviceHomes, options.cell)
  }
  return {
    servers: serversOf(options, services),
    homes,
    loads: options.loads,
    listedHosts: new Set((options.listing?.hosts ?? []).map((host) => host.host)),
    removedHosts: options.removedHosts
  }
}

function serversOf (options: CellInputOptions, services: ReadonlyMap<string, ServiceConfiguration>): CellServer[] {
  if (options.listing === null) return [...(options.view?.servers ?? [])].map(toCellServer)
  return options.listing.servers.flatMap((server) => {
    const service = services.get(server.service)
    if (service === undefined || cellOfServer(server, options.cellsInZone) !== options.cell) return []
    return [{
      id: server.id,
      service: server.service,
      address: server.address,
      checksGrants: service.servers.checks_grants,
      keyed: service.key !== undefined,
      leaving: server.state === 'leaving' || options.drained.has(server.id)
    }]
  })
}

function toCellServer (server: CellServer): CellServer {
  const { id, service, address, checksGrants, keyed, leaving } = server
  return { id, service, address, checksGrants, keyed, leaving }
}

function slicesOfCell (homes: Homes, cell: string): number[] {
  const index = homes.cells.indexOf(cell)
  return homes.homeOfSlice.flatMap((home, slice) => home === index ? [slice] : [])
}
