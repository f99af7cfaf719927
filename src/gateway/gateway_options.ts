/** Options of a host's gateway. */
import type { Agent } from 'node:http'
import type { RetryBudget } from '../dispatch/retry_budget.ts'
import type { RequestGuard } from '../fatal_requests/mod.ts'
import type { ServerQueues } from '../server_queue/mod.ts'
import type { WarmUpTracker } from '../warm_up/mod.ts'
import type { ZoneBalance } from '../zone_balance/mod.ts'
import type { HeaderNames } from './header_names.ts'
import type { PathSelector } from './relay_selector.ts'
import type { RequestLimits } from './request_limits.ts'
import type { RequestPermits } from './request_permits.ts'
import type { RequestRecord } from './request_record.ts'
import type { ResponseMemory } from './response_memory.ts'
import type { RoutingState } from './routing_state.ts'
import type { ServerAdmission } from './server_admission.ts'
import type { ServerLoads } from './server_loads.ts'
import type { ServerStatements } from './server_statements.ts'

/** Options of `createGateway()`. */
export interface GatewayOptions {
  readonly routingState: RoutingState
  readonly loads: ServerLoads
  /** Limits that servers name; updated from their responses. */
  readonly limits: RequestLimits
  /** Permits for servers that have named a limit. */
  readonly permits: RequestPermits
  /** Cold servers. Default: there are none. */
  readonly warmUp?: Pick<WarmUpTracker, 'isCold' | 'coldForMs' | 'requestsPerSecond'>
  /** Admission control for requests that this host sends to servers itself. */
  readonly admission: ServerAdmission
  /** Queues of the servers that this host relays for. Default: requests that are admitted wait at their server. */
  readonly queues?: Pick<ServerQueues, 'isUsedFor' | 'enter'>
  /** Records the load that servers state in their responses. Default: it is not recorded. */
  readonly statements?: Pick<ServerStatements, 'record'>
  /** Memory for the responses of servers. */
  readonly responseMemory: ResponseMemory
  /** Recognises requests that end the servers which run them. */
  readonly guard: RequestGuard
  readonly agent: Agent
  /** Selects the way of each request to its server. */
  readonly relays: PathSelector
  /** Agent for the connections to relays. */
  readonly relayAgent: Agent
  readonly names: HeaderNames
  readonly host: string
  readonly zone: string
  /** Chooses the zone of requests without a key. Default: the zone of the host. */
  readonly chooseZone?: ZoneBalance['chooseZone']
  readonly retryBudgetOf: (service: string) => RetryBudget
  readonly now: () => number
  readonly random: () => number
  /** Called for each request with a key to a keyed service. */
  readonly onKeyRequested: (service: string, key: number) => void
  readonly onRequestEnd: (record: RequestRecord) => void
  /** Whether this host is shutting down, so that connections are closed after their request. */
  readonly isLeaving: () => boolean
  /** When this host stops, which ends all requests in progress; monotonic time in milliseconds, `Infinity` if it is not shutting down. */
  readonly stopsAt: () => number
}
