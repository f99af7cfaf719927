/** Reads what the platform publishes, and the plans of the leader where it cannot be heard. */
import type { RoutingState } from '../gateway/routing_state.ts'
import type { Leadership } from '../leadership/mod.ts'
import { LEASE_KEY } from '../leadership/mod.ts'
import type { Logger } from '../logging/mod.ts'
import { decodePlanRecord } from '../ownership/mod.ts'
import type { Result, TableError, TableService } from '../ports/mod.ts'
import type { RoutedServer, RoutingConfiguration } from '../routing/mod.ts'
import { PLAN_PREFIX } from './create_coordinator.ts'
import { createServerList } from './server_list.ts'

/** Port of what operators and backend servers publish. */
export interface PublishedState {
  /** Reads the newest configuration; `null` where there is none that can be used. */
  readConfiguration (): Promise<Result<RoutingConfiguration | null, TableError>>
  /** Reads the list of backend servers; entries that name none are left out. */
  readServers (): Promise<Result<readonly RoutedServer[], TableError>>
}

/** What the reader works with. */
export interface StoreReaderOptions {
  /** Availability zone of this host: a partition shows in which zones lose the store. */
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

/** Reader of one host. */
export interface StoreReader {
  /** Reads configuration and servers; returns whether both were read. */
  readPublished (): Promise<boolean>
  /** Reads the lease and, if `withPlans`, the plans. */
  readLease (withPlans: boolean): Promise<boolean>
  /** Age of what was last read whole, in milliseconds. */
  ageMs (): number
}

/**
 * Creates the reader of a host.
 *
 * @param options Ports and beliefs.
 * @returns The reader.
 */
export function createStoreReader (options: StoreReaderOptions): StoreReader {
  const { routingState: knowledge, leadership, logger, now } = options
  const list = createServerList()
  const planRevisions = new Map<string, number>()
  let readAt = -Infinity
  let reachable = true

  function note (ok: boolean, detail: string): void {
    if (!ok) list.onFailure(now())
    if (ok === reachable) return
    reachable = ok
    if (ok) logger.info({ zone: options.zone }, 'store-regained')
    else logger.warn({ zone: options.zone, detail }, 'store-lost')
  }

  function takeServers (servers: readonly RoutedServer[]): void {
    const present = list.onRead(servers, now())
    const before = new Map(knowledge.servers().map((server) => [server.id, server]))
    const digest = knowledge.serversDigest()
    knowledge.setServers(present)
    if (knowledge.serversDigest() === digest) return
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
      note(failure === null, failure?.kind === 'unavailable' ? failure.detail : '')
      if (servers.ok) takeServers(servers.value)
      if (configuration.ok && configuration.value !== null && knowledge.applyConfiguration(configuration.value)) {
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
        knowledge.setOwners(row.key.slice(PLAN_PREFIX.length), recorded.map((range) => ({
          from: range.from, to: range.to, owner: range.owner === null ? { kind: 'moving' } : { kind: 'owned', server: range.owner }
        })))
      }
      return true
    },
    ageMs: () => now() - readAt
  }
}
