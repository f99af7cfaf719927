/** What the leader of a cell works from: the platform's list, the configuration and the shared rows. */
import type { AssignmentInput, CellServer, CellView } from '../cell/mod.ts'
import type { ServiceConfiguration } from '../configuration/mod.ts'
import type { HostListing, ListedServer } from '../ports/mod.ts'
import { hashText } from '../slices/mod.ts'
import type { Homes } from './plan_homes.ts'

/** How long a host must be missing from the platform's list before it counts as gone, in milliseconds. */
const GONE_AFTER_MS = 3000

/** Age up to which a list says what is so now, in milliseconds. */
const LIST_FRESH_MS = 5000

/** Name of a cell, as `zone-a/1`. */
export function cellName (zone: string, number: number): string {
  return `${zone}/${number}`
}

/**
 * Returns the cell that is responsible for a backend server.
 *
 * @param server The server as listed.
 * @param cellsInZone How many cells each availability zone has.
 * @returns The name of the cell.
 */
export function cellOfServer (server: Pick<ListedServer, 'id' | 'zone'>, cellsInZone: number): string {
  return cellName(server.zone, 1 + hashText(server.id) % cellsInZone)
}

/** Keeps the platform's list, and track of hosts that are missing from it. */
export interface HostListTracker {
  update (listing: HostListing, now: number): void
  /** The newest list, the same object while it says the same; `null` where none was read lately. */
  listing (now: number): HostListing | null
  /** Members that lists read without a break have left out for long enough. */
  goneMembers (members: readonly string[], now: number): Set<string>
}

/**
 * Creates a tracker that has seen no list.
 *
 * @returns The tracker.
 */
export function createHostListTracker (): HostListTracker {
  const missingSince = new Map<string, number>()
  let latest: HostListing | null = null
  let latestText = ''
  let latestAt = -Infinity

  function isFresh (now: number): boolean {
    return now - latestAt <= LIST_FRESH_MS
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
      return new Set(missing.filter((host) => latestAt - (missingSince.get(host) ?? latestAt) > GONE_AFTER_MS))
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
  readonly goneHosts: ReadonlySet<string>
  /** View to take the servers from while no list was read lately. */
  readonly view: CellView | null
}

/**
 * Builds the input of a cell's assignment.
 *
 * @param options Everything that the host knows.
 * @returns The input; pure, so that the same knowledge gives the same input.
 */
export function buildCellInput (options: CellInputOptions): AssignmentInput {
  const services = new Map(options.services.map((service) => [service.name, service]))
  const homes: Record<string, number[]> = {}
  for (const [service, placed] of options.homes) {
    if (services.get(service)?.key === undefined) continue
    homes[service] = slicesOfCell(placed, options.cell)
  }
  return {
    servers: serversOf(options, services),
    homes,
    loads: options.loads,
    listedHosts: new Set((options.listing?.hosts ?? []).map((host) => host.host)),
    removedHosts: options.goneHosts
  }
}

function serversOf (options: CellInputOptions, services: ReadonlyMap<string, ServiceConfiguration>): CellServer[] {
  if (options.listing === null) return [...(options.view?.servers ?? [])].map(specOf)
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

function specOf (server: CellServer): CellServer {
  const { id, service, address, checksGrants, keyed, leaving } = server
  return { id, service, address, checksGrants, keyed, leaving }
}

function slicesOfCell (homes: Homes, cell: string): number[] {
  const index = homes.cells.indexOf(cell)
  return homes.homeOfSlice.flatMap((home, slice) => home === index ? [slice] : [])
}
