/**
 * Groups the servers of a large service without keys, so that one relay knows
 * all requests in flight at several servers of a zone.
 *
 * With one relay for each server, a request waits at a busy server while
 * another one of the same service is idle, because no host knows the load of both. The relay
 * of a group sends each request to a server with a free slot. Servers with keys
 * and those of small services are groups of their own.
 */
import { rendezvousRank, type RoutedServer, type RoutedService } from '../routing/mod.ts'

/** Options of {@link createRelayGroups}. */
export interface RelayGroupsOptions {
  /** The current list of servers. */
  readonly servers: () => readonly RoutedServer[]
  readonly service: (name: string) => RoutedService | undefined
}

/** Groups of servers; all hosts with the same list and configuration form the same ones. */
export interface RelayGroups {
  /** Name of the server's group; `null` if it is a group of its own. */
  groupOf (server: RoutedServer): string | null
}

/**
 * Whether requests for the servers of a service wait at their relay. Only a
 * service that states a request rate for cold servers asks for that: one relay
 * has to know all requests of such a server. Servers that never respond when
 * they are full would hold the slots of a queue until its requests expire.
 *
 * @param service The service; `undefined` if the configuration does not name it.
 * @returns True if there is a queue.
 */
export function usesQueue (service: RoutedService | undefined): boolean {
  return service?.warmUp !== undefined
}

/** Number of servers of a service from which it is grouped: fewer have few servers in each zone. */
const LARGE_SERVICE_SERVERS = 30

/** Desired number of servers in a group: enough that some slot is nearly always free, and few enough that a small host could relay for them. */
const GROUP_SERVERS = 7

/**
 * Creates the groups.
 *
 * @param options List of servers and configuration.
 * @returns The groups.
 */
export function createRelayGroups (options: RelayGroupsOptions): RelayGroups {
  let counted: readonly RoutedServer[] | null = null
  let sizes = new Map<string, { total: number, readonly zones: Map<string, number> }>()

  /** Number of servers of each service, in all and in each zone. */
  function countServers (): void {
    counted = options.servers()
    sizes = new Map()
    for (const { service, zone } of counted) {
      const size = sizes.get(service) ?? { total: 0, zones: new Map<string, number>() }
      sizes.set(service, size)
      size.total++
      size.zones.set(zone, (size.zones.get(zone) ?? 0) + 1)
    }
  }

  return {
    groupOf ({ id, service, zone }) {
      if (options.servers() !== counted) countServers()
      const size = sizes.get(service)
      if (size === undefined || size.total < LARGE_SERVICE_SERVERS || options.service(service)?.keyed !== false || !usesQueue(options.service(service))) return null
      const count = groupCount(size.zones.get(zone) ?? 1)
      return `${service}/${zone}/${Math.floor(rendezvousRank(service, id) * count)}of${count}`
    }
  }
}

/** Number of groups of a zone's servers: a power of two, so that it rarely changes as servers come and go. */
function groupCount (servers: number): number {
  return 2 ** Math.max(0, Math.round(Math.log2(servers / GROUP_SERVERS)))
}
