/** What a host believes at this moment: configuration, backend servers and owners of keys. */
import { createHash } from 'node:crypto'
import { createOwnerMap, type KeyOwner, type OwnerChange } from '../ownership/mod.ts'
import { createRouteTable, type RouteTable, type RoutedServer, type RoutedService, type RoutingConfiguration } from '../routing/mod.ts'

/** Beliefs of one host; they change only through its methods. */
export interface RoutingState {
  configuration (): RoutingConfiguration | null
  routes (): RouteTable | null
  service (name: string): RoutedService | undefined
  /** Duration of a request that is assumed at a server of the service nobody has measured, in milliseconds. */
  assumedWorkMs (service: string): number
  server (id: string): RoutedServer | undefined
  /** Servers of a service that take new requests. */
  availableServers (service: string): readonly RoutedServer[]
  servers (): readonly RoutedServer[]
  /** Tells lists of servers apart. */
  serversDigest (): string
  ownerOf (service: string, key: number): KeyOwner
  /** Takes a configuration unless it is older than the one in force; returns whether it was taken. */
  applyConfiguration (configuration: RoutingConfiguration): boolean
  /** Replaces the list of servers. */
  setServers (servers: readonly RoutedServer[]): void
  setOwners (service: string, changes: readonly OwnerChange[]): void
  /** Resolves after the next change of owners, or after `timeoutMs`. */
  waitForOwnerChange (timeoutMs: number): Promise<void>
}

/** Share of the latency goal that a request's work usually takes: goals leave room for a wait and for requests that take longer. */
const WORK_SHARE = 0.3

/** Duration that is assumed for a service without routes, in milliseconds. */
const DEFAULT_WORK_MS = 120

/** Work that the latency goals of the routes to each service suggest, in milliseconds. */
function assumeWork (configuration: RoutingConfiguration): Map<string, number> {
  const work = new Map<string, number>()
  for (const { latencyGoalMs, targets } of configuration.routes) {
    for (const { service } of targets) work.set(service, Math.min(work.get(service) ?? Infinity, latencyGoalMs * WORK_SHARE))
  }
  return work
}

/**
 * Creates beliefs that hold nothing.
 *
 * @returns The beliefs.
 */
export function createRoutingState (): RoutingState {
  const owners = createOwnerMap()
  let configuration: RoutingConfiguration | null = null
  let routes: RouteTable | null = null
  let services = new Map<string, RoutedService>()
  let assumedWork = new Map<string, number>()
  let servers = new Map<string, RoutedServer>()
  let open = new Map<string, RoutedServer[]>()
  let digest = ''
  const waiting = new Set<() => void>()

  return {
    configuration: () => configuration,
    routes: () => routes,
    service: (name) => services.get(name),
    assumedWorkMs: (service) => assumedWork.get(service) ?? DEFAULT_WORK_MS,
    server: (id) => servers.get(id),
    availableServers: (service) => open.get(service) ?? [],
    servers: () => [...servers.values()],
    serversDigest: () => digest,
    ownerOf: owners.ownerOf,
    applyConfiguration (offered) {
      if (configuration !== null && offered.version <= configuration.version) return false
      configuration = offered
      routes = createRouteTable(offered)
      assumedWork = assumeWork(offered)
      services = new Map(offered.services.map((service) => [service.name, service]))
      return true
    },
    setServers (listed) {
      const text = listed.map((server) => `${server.id}/${server.bornAt}/${server.address}/${String(server.leaving)}`).sort().join()
      digest = createHash('sha256').update(text).digest('base64')
      servers = new Map(listed.map((server) => [server.id, server]))
      open = new Map()
      for (const server of listed) {
        if (server.leaving) continue
        const group = open.get(server.service)
        if (group === undefined) open.set(server.service, [server])
        else group.push(server)
      }
    },
    setOwners (service, changes) {
      owners.apply(service, changes)
      const resolvers = [...waiting]
      waiting.clear()
      for (const resolve of resolvers) resolve()
    },
    waitForOwnerChange: (timeoutMs) => new Promise((resolve) => {
      const end = (): void => {
        clearTimeout(timer)
        waiting.delete(end)
        resolve()
      }
      const timer = setTimeout(end, timeoutMs)
      waiting.add(end)
    })
  }
}
