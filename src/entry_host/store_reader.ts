/** Reads the configuration and servers from the platform, and the lease and plans from the store while the leader is unreachable. */
import type { Evacuation, EvacuationControl } from '../evacuation/mod.ts'
import type { RoutingState } from '../gateway/routing_state.ts'
import type { Leadership } from '../leadership/mod.ts'
import { LEASE_KEY } from '../leadership/mod.ts'
import type { Logger } from '../logging/mod.ts'
import { decodePlanRecord } from '../ownership/mod.ts'
import type { Result, TableError, TableRow, TableService } from '../ports/mod.ts'
import type { RoutedServer, RoutingConfiguration } from '../routing/mod.ts'
import { comparePositions, type StorePosition } from '../store_history/mod.ts'
import { PLAN_PREFIX } from './create_coordinator.ts'
import { createServerList } from './server_list.ts'

/** Port for the state that operators and backend servers publish. */
export interface PublishedState {
  /** Reads the newest configuration, `null` if there is no usable one, and the evacuations. */
  readConfiguration (): Promise<Result<PublishedConfiguration, TableError>>
  /** Reads the list of backend servers; entries that do not name a server are skipped. */
  readServers (): Promise<Result<PublishedValue<readonly RoutedServer[]>, TableError>>
}

/** A value that was read from the store, and the era of the store that it was read in. */
export interface PublishedValue<Value> {
  readonly era: number
  readonly value: Value
}

/** The newest configuration, and the evacuations that were read in the same call. */
export interface PublishedConfiguration extends PublishedValue<RoutingConfiguration | null> {
  /** Revision of the store at which they were read; 0 if it is unknown. */
  readonly revision: number
  readonly evacuations: readonly Evacuation[]
}

/** Options of {@link createStoreReader}. */
export interface StoreReaderOptions {
  /** Availability zone of this host; logged, since the zones that cannot reach the store identify a partition. */
  readonly zone: string
  readonly published: PublishedState
  readonly table: TableService
  readonly routingState: RoutingState
  readonly leadership: Leadership
  readonly evacuations: Pick<EvacuationControl, 'onRead'>
  readonly logger: Logger
  readonly now: () => number
  /** Whether this host leads; its list of servers then also says what their responses have shown. */
  readonly isLeading: () => boolean
  readonly onConfigurationChanged: () => void
  /** Called after each read of the servers, also if only their warm-up has changed; before `onServersChanged`. */
  readonly onServersRead: () => void
  readonly onServersChanged: () => void
}

/** Store reader of one host. */
export interface StoreReader {
  /** Reads configuration and servers; returns whether both were read. */
  readPublished (): Promise<boolean>
  /** Reads the lease and, if `withPlans`, the plans. */
  readLease (withPlans: boolean): Promise<boolean>
  /** Records the servers of the routing state, after the leader has changed them, or responses have shown that one is leaving. */
  recordServers (): void
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
  const planPositions = new Map<string, StorePosition>()
  let readAt = -Infinity
  let reachable = true

  function recordAvailability (responded: boolean, detail: string): void {
    if (!responded) serverList.onFailure(now())
    if (responded === reachable) return
    reachable = responded
    if (responded) logger.info({ zone: options.zone }, 'store-reachable')
    else logger.warn({ zone: options.zone, detail }, 'store-unreachable')
  }

  function applyServers (servers: PublishedValue<readonly RoutedServer[]>): void {
    const present = serverList.onRead(servers, now())
    const before = new Map(routingState.servers().map((server) => [server.id, server]))
    const digest = routingState.serversDigest()
    routingState.setServers(present)
    if (options.isLeading() && routingState.adoptLeaving()) serverList.record(routingState.servers(), now())
    options.onServersRead()
    if (routingState.serversDigest() === digest) return
    for (const server of present) {
      if (before.get(server.id)?.leaving !== server.leaving) logger.info({ server: server.id, service: server.service, address: server.address, leaving: server.leaving, bornAt: server.bornAt }, 'server-listed')
      before.delete(server.id)
    }
    for (const server of before.values()) logger.info({ server: server.id, service: server.service }, 'server-gone')
    options.onServersChanged()
  }

  function applyPlan (row: TableRow): void {
    const lastPosition = planPositions.get(row.key)
    if (lastPosition !== undefined && comparePositions(row, lastPosition) <= 0) return
    planPositions.set(row.key, row)
    const plan = decodePlanRecord(row)
    const service = row.key.slice(PLAN_PREFIX.length)
    // A restored plan is no newer than the owners that this host has.
    if (plan === null || (plan.era < row.era && routingState.hasOwners(service))) return
    routingState.setOwners(service, plan.ranges.map((range) => ({
      from: range.from, to: range.to, owner: range.owner === null ? { kind: 'moving' } : { kind: 'owned', server: range.owner }
    })))
  }

  return {
    async readPublished () {
      const startedAt = now()
      const [configuration, servers] = await Promise.all([options.published.readConfiguration(), options.published.readServers()])
      const failure = configuration.ok ? (servers.ok ? null : servers.error) : configuration.error
      recordAvailability(failure === null, failure?.kind === 'unavailable' ? failure.detail : '')
      // Before the servers, none of which may be used for a moment.
      if (configuration.ok) options.evacuations.onRead({ readAt: { era: configuration.value.era, revision: configuration.value.revision }, evacuations: configuration.value.evacuations })
      if (servers.ok) applyServers(servers.value)
      const candidate = configuration.ok ? configuration.value.value : null
      if (candidate !== null && routingState.applyConfiguration(candidate)) {
        logger.info({ version: candidate.version, routes: candidate.routes.length }, 'configuration-in-force')
        options.onConfigurationChanged()
      }
      if (failure === null) readAt = startedAt
      return failure === null
    },
    async readLease (withPlans) {
      const rows = await options.table.changes(withPlans ? '' : LEASE_KEY, 0)
      leadership.recordRead(rows.ok)
      if (!rows.ok) return false
      leadership.observeLease(rows.value.rows.find((row) => row.key === LEASE_KEY) ?? { era: rows.value.era, revision: 0, value: null })
      for (const row of rows.value.rows) if (row.key.startsWith(PLAN_PREFIX)) applyPlan(row)
      return true
    },
    recordServers () { serverList.record(routingState.servers(), now()) },
    ageMs: () => now() - readAt
  }
}
