/** Reads the configuration and servers from the platform, and the lease and plans from the store while the leader is unreachable. */
import type { RoutingState } from '../gateway/routing_state.ts'
import type { Leadership } from '../leadership/mod.ts'
import { LEASE_KEY } from '../leadership/mod.ts'
import type { Logger } from '../logging/mod.ts'
import { decodePlanRecord } from '../ownership/mod.ts'
import type { Result, TableError, TableService } from '../ports/mod.ts'
import type { RoutedServer, RoutingConfiguration } from '../routing/mod.ts'
import { PLAN_PREFIX } from './create_coordinator.ts'
import { createServerList } from './server_list.ts'

/** Port for the state that operators and backend servers publish. */
export interface PublishedState {
  /** Reads the newest configuration; `null` if there is no usable one. */
  readConfiguration (): Promise<Result<RoutingConfiguration | null, TableError>>
  /** Reads the list of backend servers; entries that do not name a server are skipped. */
  readServers (): Promise<Result<readonly RoutedServer[], TableError>>
}

/** Options of {@link createStoreReader}. */
export interface StoreReaderOptions {
  /** Availability zone of this host; logged, since the zones that cannot reach the store identify a partition. */
  readonly zone: string
  readonly published: PublishedState
  readonly table: TableService
  readonly routingState: RoutingState
  readonly leadership: Leadership
  readonly logger: Logger
  readonly now: () => number
  readonly onConfigurationChanged: () => void
  readonly onServersChanged: () => void
}

/** Store reader of one host. */
export interface StoreReader {
  /** Reads configuration and servers; returns whether both were read. */
  readPublished (): Promise<boolean>
  /** Reads the lease and, if `withPlans`, the plans. */
  readLease (withPlans: boolean): Promise<boolean>
  /** Age of the last complete read of configuration and servers, in milliseconds. */
  ageMs (): number
}

/**
 * Creates the store reader of a host.
 *
 * @param options Ports, routing state and callbacks.
 * @returns The reader.
 */
export function createStoreReader (options: StoreReaderOptions): StoreReader {
  const { routingState, leadership, logger, now } = options
  const serverList = createServerList()
  const planRevisions = new Map<string, number>()
  let readAt = -Infinity
  let reachable = true

  function recordAvailability (responded: boolean, detail: string): void {
    if (!responded) serverList.onFailure(now())
    if (responded === reachable) return
    reachable = responded
    if (responded) logger.info({ zone: options.zone }, 'store-reachable')
    else logger.warn({ zone: options.zone, detail }, 'store-unreachable')
  }

  function applyServers (servers: readonly RoutedServer[]): void {
    const present = serverList.onRead(servers, now())
    const before = new Map(routingState.servers().map((server) => [server.id, server]))
    const digest = routingState.serversDigest()
    routingState.setServers(present)
    if (routingState.serversDigest() === digest) return
    for (const server of present) {
      if (before.get(server.id)?.leaving !== server.leaving) logger.info({ server: server.id, service: server.service, address: server.address, leaving: server.leaving, bornAt: server.bornAt }, 'server-listed')
      before.delete(server.id)
    }
    for (const server of before.values()) logger.info({ server: server.id, service: server.service }, 'server-gone')
    options.onServersChanged()
  }

  return {
    async readPublished () {
      const startedAt = now()
      const [configuration, servers] = await Promise.all([options.published.readConfiguration(), options.published.readServers()])
      const failure = configuration.ok ? (servers.ok ? null : servers.error) : configuration.error
      recordAvailability(failure === null, failure?.kind === 'unavailable' ? failure.detail : '')
      if (servers.ok) applyServers(servers.value)
      if (configuration.ok && configuration.value !== null && routingState.applyConfiguration(configuration.value)) {
        logger.info({ version: configuration.value.version, routes: configuration.value.routes.length }, 'configuration-in-force')
        options.onConfigurationChanged()
      }
      if (failure === null) readAt = startedAt
      return failure === null
    },
    async readLease (withPlans) {
      if (!withPlans) {
        const row = await options.table.read(LEASE_KEY)
        leadership.recordRead(row.ok)
        if (row.ok) leadership.observeLease(row.value)
        return row.ok
      }
      const rows = await options.table.changes('', 0)
      leadership.recordRead(rows.ok)
      if (!rows.ok) return false
      leadership.observeLease(rows.value.rows.find((row) => row.key === LEASE_KEY) ?? null)
      for (const row of rows.value.rows) {
        if (!row.key.startsWith(PLAN_PREFIX) || (planRevisions.get(row.key) ?? 0) >= row.revision) continue
        planRevisions.set(row.key, row.revision)
        const recorded = decodePlanRecord(row.value)
        if (recorded === null) continue
        routingState.setOwners(row.key.slice(PLAN_PREFIX.length), recorded.map((range) => ({
          from: range.from, to: range.to, owner: range.owner === null ? { kind: 'moving' } : { kind: 'owned', server: range.owner }
        })))
      }
      return true
    },
    ageMs: () => now() - readAt
  }
}
