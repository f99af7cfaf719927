/** Describes the state of a host for its operators. */
import type { CallerAccount } from '../caller_limits/mod.ts'
import type { EvacuationControl } from '../evacuation/mod.ts'
import type { RequestLimits, ResponseMemory, RoutingState } from '../gateway/mod.ts'
import type { Leadership } from '../leadership/mod.ts'
import type { LeaderConnection } from '../replication/mod.ts'
import type { ServerQueues } from '../server_queue/mod.ts'
import type { Coordinator } from './create_coordinator.ts'
import type { RequestProtection } from './create_request_protection.ts'
import type { WarmUpTracker } from '../warm_up/mod.ts'
import type { RetryBudgets } from './retry_budgets.ts'
import type { StoreReader } from './store_reader.ts'
import type { ZoneShares } from './zone_shares.ts'

/** Parts of a host that are described. */
export interface HostParts {
  readonly host: string
  readonly routingState: Pick<RoutingState, 'configuration' | 'servers'>
  readonly leadership: Pick<Leadership, 'lease'>
  readonly leaderConnection: Pick<LeaderConnection, 'lastMessageAt'>
  readonly reader: Pick<StoreReader, 'ageMs'>
  readonly coordinator: Pick<Coordinator, 'views'>
  readonly budgets: Pick<RetryBudgets, 'describe'>
  readonly limits: Pick<RequestLimits, 'observations'>
  readonly queues: Pick<ServerQueues, 'describe' | 'counts'>
  readonly responseMemory: Pick<ResponseMemory, 'bytes'>
  readonly warmUp: Pick<WarmUpTracker, 'describe'>
  readonly zoneShares: Pick<ZoneShares, 'describe'>
  readonly evacuations: Pick<EvacuationControl, 'describe'>
  readonly callers: Pick<CallerAccount, 'describe'>
  readonly protection: Pick<RequestProtection, 'describe'>
  readonly isLeading: () => boolean
  readonly pending: () => number
  readonly loopDelayMs: () => number
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/**
 * Describes a host.
 *
 * @param parts Its parts.
 * @returns Their state, to be encoded as JSON.
 */
export function describeHost (parts: HostParts): Record<string, unknown> {
  return {
    host: parts.host,
    leading: parts.isLeading(),
    lease: parts.leadership.lease(),
    leaderHeardMs: Math.round(parts.now() - parts.leaderConnection.lastMessageAt()),
    storeAgeMs: Math.round(parts.reader.ageMs()),
    version: parts.routingState.configuration()?.version ?? null,
    servers: parts.routingState.servers(),
    pending: parts.pending(),
    responseBytes: parts.responseMemory.bytes(),
    callers: parts.callers.describe(),
    refusedRequests: parts.protection.describe(),
    loopDelayMs: parts.loopDelayMs(),
    retryBudgets: parts.budgets.describe(),
    limits: [...parts.limits.observations()],
    zoneShares: parts.zoneShares.describe(),
    evacuations: parts.evacuations.describe(),
    coldServers: parts.warmUp.describe(),
    queues: { ...parts.queues.counts(), waiting: parts.queues.describe() },
    views: [...parts.coordinator.views()]
  }
}
