/** Configuration, backend servers and key owners that this host has cached. */
import { createHash } from 'node:crypto'
import { createOwnerMap, type KeyOwner, type OwnerChange } from '../ownership/mod.ts'
import { createRouteTable, type RouteTable, type RoutedServer, type RoutedService, type RoutingConfiguration } from '../routing/mod.ts'

/** Routing state of one host; it changes only through its methods. */
export interface RoutingState {
  configuration (): RoutingConfiguration | null
  routes (): RouteTable | null
  service (name: string): RoutedService | undefined
  /** Assumed duration of a request to the service while there are no measurements, in milliseconds. */
  assumedWorkMs (service: string): number
  server (id: string): RoutedServer | undefined
  /** Servers of a service that accept new requests. */
  availableServers (service: string): readonly RoutedServer[]
  servers (): readonly RoutedServer[]
  /** Digest of the server list, for comparing lists. */
  serversDigest (): string
  ownerOf (service: string, key: number): KeyOwner
  /** Whether owners of the service's keys have been set. */
  hasOwners (service: string): boolean
  /** Applies a configuration if it is newer than the one in force; returns whether it was applied. */
  applyConfiguration (configuration: RoutingConfiguration): boolean
  /** Replaces the list of servers. */
  setServers (servers: readonly RoutedServer[]): void
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

/**
 * Creates an empty routing state.
 *
 * @returns The routing state.
 */
export function createRoutingState (): RoutingState {
  const owners = createOwnerMap()
  let configuration: RoutingConfiguration | null = null
  let routes: RouteTable | null = null
  let services = new Map<string, RoutedService>()
  let assumedWork = new Map<string, number>()
  let servers = new Map<string, RoutedServer>()
  let available = new Map<string, RoutedServer[]>()
  let digest = ''
  const waiters = new Set<() => void>()

  return {
    configuration: () => configuration,
    routes: () => routes,
    service: (name) => services.get(name),
    assumedWorkMs: (service) => assumedWork.get(service) ?? DEFAULT_WORK_MS,
    server: (id) => servers.get(id),
    availableServers: (service) => available.get(service) ?? [],
    servers: () => [...servers.values()],
    serversDigest: () => digest,
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
      const text = updated.map((server) => `${server.id}/${server.bornAt}/${server.address}/${String(server.leaving)}`).sort().join()
      digest = createHash('sha256').update(text).digest('base64')
      servers = new Map(updated.map((server) => [server.id, server]))
      available = new Map()
      for (const server of updated) {
        if (server.leaving) continue
        const group = available.get(server.service)
        if (group === undefined) available.set(server.service, [server])
        else group.push(server)
      }
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
