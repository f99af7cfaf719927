/** What the leader of a cell works from: the platform's list, the configuration and the shared rows. */
import type { AssignmentInput, CellServer, CellView } from '../cell/mod.ts'
import type { ServiceConfiguration } from '../configuration/mod.ts'
import type { HostListing, ListedServer } from '../ports/mod.ts'
import { hashText } from '../slices/mod.ts'
import type { Homes } from './plan_homes.ts'

/** How long a host must be missing from the platform's list before it counts as gone, in milliseconds. */
const GONE_AFTER_MS = 3000

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

/** Keeps track of hosts that were listed and are listed no more. */
export interface ListTracker {
  update (listing: HostListing, now: number): void
  /** The newest list; the same object while it says the same. */
  listing (): HostListing | null
  gone (members: readonly string[], now: number): Set<string>
}

/**
 * Creates a tracker that has seen no list.
 *
 * @returns The tracker.
 */
export function createListTracker (): ListTracker {
  const lastListed = new Map<string, number>()
  let latest: HostListing | null = null
  let latestText = ''
  let firstAt = 0
  let latestAt = 0
  return {
    update (listing, now) {
      if (latest === null) firstAt = now
      const text = JSON.stringify(listing)
      if (latest === null || text !== latestText) latest = listing
      latestText = text
      latestAt = now
      for (const host of listing.hosts) lastListed.set(host.host, now)
    },
    listing: () => latest,
    gone (members, now) {
      if (latest === null || now - latestAt > GONE_AFTER_MS) return new Set()
      const known = new Set([...lastListed.keys(), ...members])
      return new Set([...known].filter((host) => latestAt - (lastListed.get(host) ?? firstAt) > GONE_AFTER_MS))
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
  /** View to take the servers from while the list has never been read. */
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
    goneHosts: options.goneHosts
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
