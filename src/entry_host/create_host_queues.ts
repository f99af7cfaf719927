/** Creates the queues of a host from what it knows about its servers. */
import type { RequestLimits, RequestPermits, RoutingState, ServerLoads, ServerStatements } from '../gateway/mod.ts'
import { usesQueue, type RelayDirectory, type RelayGroups } from '../relay/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import type { WarmUpTracker } from '../warm_up/mod.ts'
import { createServerQueues, type ServerQueues } from '../server_queue/mod.ts'

/** Options of {@link createHostQueues}. */
export interface HostQueuesOptions {
  readonly routingState: Pick<RoutingState, 'availableServers' | 'server' | 'service'>
  readonly loads: Pick<ServerLoads, 'workMs' | 'failureShare' | 'isUnresponsive' | 'isFull'>
  readonly statements: ServerStatements
  readonly limits: Pick<RequestLimits, 'limitOf'>
  readonly permits: Pick<RequestPermits, 'take'>
  readonly relays: Pick<RelayDirectory, 'isRelay'>
  readonly warmUp: Pick<WarmUpTracker, 'take' | 'returnTaken' | 'requestsPerSecond'>
  readonly groups: RelayGroups
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/**
 * Creates the queues.
 *
 * @param options Servers, their loads and limits.
 * @returns The queues.
 */
export function createHostQueues (options: HostQueuesOptions): ServerQueues {
  const { routingState, loads, relays, groups, warmUp } = options

  /** The servers of a group that this host relays for; servers that are leaving get no more requests. */
  function members (server: RoutedServer): readonly RoutedServer[] {
    const group = groups.groupOf(server)
    if (group !== null) return routingState.availableServers(server.service).filter((candidate) => candidate.zone === server.zone && groups.groupOf(candidate) === group && relays.isRelay(candidate))
    const current = routingState.server(server.id)
    return current === undefined || current.leaving ? [] : [current]
  }

  return createServerQueues({
    now: options.now,
    isUsedFor: (server) => usesQueue(routingState.service(server.service)),
    groupOf: groups.groupOf,
    members,
    workMs: loads.workMs,
    slowdown: options.statements.slowdown,
    failureShare: (server) => loads.failureShare(server.id),
    isAvoided: (server) => loads.isUnresponsive(server) || loads.isFull(server.id),
    foreignRequests: options.statements.foreignRequests,
    maximumRate: (server) => Math.min(options.limits.limitOf(server) ?? Infinity, warmUp.requestsPerSecond(server) ?? Infinity),
    takePermission (server) {
      const takenAt = options.now()
      const coldForMs = warmUp.take(server)
      if (coldForMs !== null) return coldForMs
      const permitAfterMs = options.permits.take(server, true)
      if (permitAfterMs !== null) warmUp.returnTaken(server, takenAt)
      return permitAfterMs
    },
    returnPermission: warmUp.returnTaken
  })
}
