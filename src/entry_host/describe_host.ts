/** Describes the state of a host for operators. */
import type { EvacuationControl } from '../evacuation/mod.ts'
import type { Gateway, RequestLimits, ResponseMemory, RoutingState } from '../gateway/mod.ts'
import type { Leadership } from '../leadership/mod.ts'
import type { LeaderConnection } from '../replication/mod.ts'
import type { Coordinator } from './create_coordinator.ts'
import type { LeadershipController } from './create_leadership_controller.ts'
import type { RequestProtection } from './create_request_protection.ts'
import type { LoopDelayMonitor } from './loop_delay_monitor.ts'
import type { RetryBudgets } from './retry_budgets.ts'
import type { StoreReader } from './store_reader.ts'

/** Components of a host whose state is described. */
export interface DescribedHost {
  readonly host: string
  readonly leadershipController: Pick<LeadershipController, 'isLeading'>
  readonly leadership: Pick<Leadership, 'lease'>
  readonly leaderConnection: Pick<LeaderConnection, 'lastMessageAt'>
  readonly reader: Pick<StoreReader, 'ageMs'>
  readonly routingState: Pick<RoutingState, 'configuration' | 'servers'>
  readonly evacuations: Pick<EvacuationControl, 'describe'>
  readonly gateway: Pick<Gateway, 'pending'>
  readonly responseMemory: Pick<ResponseMemory, 'bytes'>
  readonly protection: Pick<RequestProtection, 'describe'>
  readonly loopDelayMonitor: Pick<LoopDelayMonitor, 'delayMs'>
  readonly budgets: Pick<RetryBudgets, 'describe'>
  readonly limits: Pick<RequestLimits, 'observations'>
  readonly coordinator: Pick<Coordinator, 'views'>
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/**
 * Describes a host.
 *
 * @param components Components of the host.
 * @returns The description, which can be encoded as JSON.
 */
export function describeHost (components: DescribedHost): Record<string, unknown> {
  const { routingState, now } = components
  return {
    host: components.host,
    leading: components.leadershipController.isLeading(),
    lease: components.leadership.lease(),
    leaderHeardMs: Math.round(now() - components.leaderConnection.lastMessageAt()),
    storeAgeMs: Math.round(components.reader.ageMs()),
    version: routingState.configuration()?.version ?? null,
    servers: routingState.servers(),
    evacuations: components.evacuations.describe(),
    pending: components.gateway.pending(),
    responseBytes: components.responseMemory.bytes(),
    refusedRequests: components.protection.describe(),
    loopDelayMs: components.loopDelayMonitor.delayMs(),
    retryBudgets: components.budgets.describe(),
    limits: [...components.limits.observations()],
    views: [...components.coordinator.views()]
  }
}
