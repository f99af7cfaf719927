/** Configuration, backend servers and key owners that this host has cached. */
import { createHash } from 'node:crypto'
import { createLeavingServers, type ServerRun } from './leaving_servers.ts'
import { createOwnerMap, type KeyOwner, type OwnerChange } from '../ownership/mod.ts'
import { createRouteTable, type RouteTable, type RoutedServer, type RoutedService, type RoutingConfiguration } from '../routing/mod.ts'

/** Routing state of one host; it changes only through its methods. */
export interface RoutingState {
  configuration (): RoutingConfiguration | null
  routes (): RouteTable | null
  service (name: string): RoutedService | undefined
  /** Assumed duration of a request to the service while there are no measurements, in milliseconds. */
  assumedWorkMs (service: string): number
  /** A listed server; it is leaving if the list or a response of its own says so, or its zone is evacuated. */
  server (id: string): RoutedServer | undefined
  /** Servers of a service that accept new requests. */
  availableServers (service: string): readonly RoutedServer[]
  /** The list of servers as it was set, or last adopted. */
  servers (): readonly RoutedServer[]
  /** Digest of the server list, for comparing lists. */
  serversDigest (): string
  /** Availability zones whose servers get no requests, because operators have ordered so. */
  evacuatedZones (): ReadonlySet<string>
  /** Whether the server counts as leaving because of its zone; it may return as it was. */
  isEvacuated (server: Pick<RoutedServer, 'zone'>): boolean
  ownerOf (service: string, key: number): KeyOwner
  /** Whether owners of the service's keys have been set. */
  hasOwners (service: string): boolean
  /** Applies a configuration if it is newer than the one in force; returns whether it was applied. */
  applyConfiguration (configuration: RoutingConfiguration): boolean
  /** Replaces the list of servers. */
  setServers (servers: readonly RoutedServer[]): void
  /** Replaces the evacuated zones. The list of servers and its digest stay as they are. */
  setEvacuations (zones: readonly string[]): void
  /** Records that a run of a server is leaving, because a response of its own says so. */
  recordLeaving (server: ServerRun): void
  /** Time since the server was found to be leaving, or its zone to be evacuated, in milliseconds; 0 if neither applies. */
  leavingForMs (server: ServerRun & Pick<RoutedServer, 'zone'>): number
  /** Listed servers that are leaving though the list does not say so. */
  unlistedLeaving (): readonly ServerRun[]
  /** Changes the list of servers to say which of them are leaving; returns whether it has changed. */
  adoptLeaving (): boolean
  setOwners (service: string, changes: readonly OwnerChange[]): void
  /** Resolves after the next change of owners, or after `timeoutMs`. */
  waitForOwnerChange (timeoutMs: number): Promise<void>
}

/** Share of the latency goal that a request usually takes on an idle server: goals leave a margin for queueing and for requests that take longer. */
const WORK_SHARE_OF_LATENCY_GOAL = 0.3

/** Assumed duration of a request to a service without routes, in milliseconds. */
const DEFAULT_WORK_MS = 120

/** Assumed duration of a request to each service, from the shortest latency goal of its routes, in milliseconds. */
function calculateAssumedWork (configuration: RoutingConfiguration): Map<string, number> {
  const work = new Map<string, number>()
  for (const { latencyGoalMs, targets } of configuration.routes) {
    for (const { service } of targets) work.set(service, Math.min(work.get(service) ?? Infinity, latencyGoalMs * WORK_SHARE_OF_LATENCY_GOAL))
  }
  return work
}

/** Options of {@link createRoutingState}. */
export interface RoutingStateOptions {
  /** Monotonic time in milliseconds. Default: the time of the runtime. */
  readonly now?: () => number
  /** Called when a response has shown that a listed server is leaving. Default: no callback. */
  readonly onLeaving?: (server: RoutedServer) => void
}

/**
 * Creates an empty routing state.
 *
 * @param options Clock and callback.
 * @returns The routing state.
 */
export function createRoutingState (options: RoutingStateOptions = {}): RoutingState {
  const now = options.now ?? (() => performance.now())
  const leavingServers = createLeavingServers(now)
  /** When each evacuation became known, by zone. */
  let evacuatedSince: ReadonlyMap<string, number> = new Map()
  let listed: readonly RoutedServer[] = []
  const owners = createOwnerMap()
  let configuration: RoutingConfiguration | null = null
  let routes: RouteTable | null = null
  let services = new Map<string, RoutedService>()
  let assumedWork = new Map<string, number>()
  let servers = new Map<string, RoutedServer>()
  let available = new Map<string, RoutedServer[]>()
  let digest = ''
  const waiters = new Set<() => void>()

  function withLeaving (server: RoutedServer): RoutedServer {
    return !server.leaving && leavingServers.has(server) ? { ...server, leaving: true } : server
  }

  function isEvacuated ({ zone }: Pick<RoutedServer, 'zone'>): boolean {
    return evacuatedSince.has(zone)
  }

  function listServers (updated: readonly RoutedServer[]): void {
    listed = updated
    const text = updated.map((server) => `${server.id}/${server.bornAt}/${server.address}/${String(server.leaving)}`).sort().join()
    digest = createHash('sha256').update(text).digest('base64')
    leavingServers.onListed(updated)
    indexServers()
  }

  function indexServers (): void {
    servers = new Map(listed.map((server) => [server.id, isEvacuated(server) ? { ...server, leaving: true } : withLeaving(server)]))
    available = new Map()
    for (const server of servers.values()) {
      if (server.leaving) continue
      const group = available.get(server.service)
      if (group === undefined) available.set(server.service, [server])
      else group.push(server)
    }
  }

  return {
    configuration: () => configuration,
    routes: () => routes,
    service: (name) => services.get(name),
    assumedWorkMs: (service) => assumedWork.get(service) ?? DEFAULT_WORK_MS,
    server: (id) => servers.get(id),
    availableServers: (service) => available.get(service) ?? [],
    servers: () => listed,
    serversDigest: () => digest,
    evacuatedZones: () => new Set(evacuatedSince.keys()),
    isEvacuated,
    ownerOf: owners.ownerOf,
    hasOwners: owners.has,
    applyConfiguration (candidate) {
      if (configuration !== null && candidate.version <= configuration.version) return false
      configuration = candidate
      routes = createRouteTable(candidate)
      assumedWork = calculateAssumedWork(candidate)
      services = new Map(candidate.services.map((service) => [service.name, service]))
      return true
    },
    setServers (updated) {
      // The first sight of a run that is leaving counts, whichever source it comes from.
      for (const server of updated) if (server.leaving && server.bornAt !== 0) leavingServers.record(server)
      listServers(updated)
    },
    setEvacuations (zones) {
      evacuatedSince = new Map(zones.map((zone) => [zone, evacuatedSince.get(zone) ?? now()]))
      indexServers()
    },
    recordLeaving (server) {
      if (!leavingServers.record(server)) return
      indexServers()
      const current = servers.get(server.id)
      if (current?.bornAt === server.bornAt) options.onLeaving?.(current)
    },
    leavingForMs: (server) => Math.max(leavingServers.sinceMs(server), now() - (evacuatedSince.get(server.zone) ?? now())),
    unlistedLeaving: () => listed.filter((server) => !server.leaving && leavingServers.has(server)).map(({ id, bornAt }) => ({ id, bornAt })),
    adoptLeaving () {
      const updated = listed.map(withLeaving)
      if (updated.every((server, index) => server === listed[index])) return false
      listServers(updated)
      return true
    },
    setOwners (service, changes) {
      owners.apply(service, changes)
      const resolvers = [...waiters]
      waiters.clear()
      for (const resolve of resolvers) resolve()
    },
    waitForOwnerChange: (timeoutMs) => new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        waiters.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, timeoutMs)
      waiters.add(finish)
    })
  }
}
