/** Connects the tracker of cold servers to the lists of a host, the messages of the leader and the log. */
import type { RoutingState } from '../gateway/mod.ts'
import type { Logger } from '../logging/mod.ts'
import type { RelayDirectory } from '../relay/mod.ts'
import type { Update } from '../replication/mod.ts'
import { createWarmUpTracker, type WarmUpBound, type WarmUpChange, type WarmUpTracker } from '../warm_up/mod.ts'

/** Options of {@link createWarmUp}. */
export interface WarmUpOptions {
  readonly routingState: Pick<RoutingState, 'service' | 'servers'>
  /** Returns the relays; called only after the host has been created. */
  readonly relays: () => Pick<RelayDirectory, 'isRelay'>
  /** Bound on the requests of all hosts together to a cold server; `null` or absent if there is none. */
  readonly bound: WarmUpBound | null | undefined
  /** Whether this host has the leader's role. */
  readonly isLeading: () => boolean
  /** Sends an update to all connected hosts. */
  readonly publish: (update: Update) => void
  readonly logger: Logger
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Warm-up of servers on one host. */
export interface WarmUp {
  readonly tracker: WarmUpTracker
  /** Applies the list of servers after this host has read the store; as the leader, notifies the other hosts of what the list does not show them. */
  onServersRead (): void
  /** Applies the list of servers after the leader has sent it. */
  onServersReceived (): void
  /** Cold servers, for a host that connects; follows the list of servers. */
  initialUpdates (): Update[]
}

/**
 * Creates the warm-up of a host.
 *
 * @param options Routing state, relays and connections.
 * @returns The warm-up; no server is known yet.
 */
export function createWarmUp (options: WarmUpOptions): WarmUp {
  const { routingState, logger } = options

  /** Logs a change. Hosts that do not send to the server leave it to its relay, so that a zone that returns has one line for each server. */
  function logChange ({ server, isCold, reason, durationMs, sent, refused }: WarmUpChange): void {
    const fields = { server: server.id, service: server.service, zone: server.zone, bornAt: server.bornAt, reason, ...(isCold ? { leftMs: Math.round(durationMs) } : { coldMs: Math.round(durationMs), sent, refused }) }
    const event = isCold ? 'server-cold' : 'server-warm'
    if (options.relays().isRelay(server) || sent > 0) logger.info(fields, event)
    else logger.debug(fields, event)
  }

  const tracker = createWarmUpTracker({
    warmUpOf: (service) => routingState.service(service)?.warmUp,
    bound: options.bound ?? null,
    isRelay: (server) => options.relays().isRelay(server),
    onChange: logChange,
    now: options.now
  })

  return {
    tracker,
    onServersRead () {
      tracker.onListed(routingState.servers())
      // Taken also while another host leads, so that a later leader sends no old ones.
      const servers = tracker.takeNotices()
      if (options.isLeading() && servers.length > 0) options.publish({ kind: 'cold-servers', servers })
    },
    onServersReceived () { tracker.onListed(routingState.servers()) },
    initialUpdates () {
      const servers = tracker.notices()
      return servers.length === 0 ? [] : [{ kind: 'cold-servers', servers }]
    }
  }
}
