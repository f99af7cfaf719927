/**
 * Selects the servers of requests without a key, and the way of each request to
 * its server. Only its relay sends to a cold server, so a request that would
 * go to one directly goes to another server.
 */
import type { RoutedServer } from '../routing/mod.ts'
import { NO_WARM_UP } from '../warm_up/mod.ts'
import { bodyBytes } from './body_reader.ts'
import { chooseServer } from './choose_server.ts'
import { DEFAULT_RETRY_AFTER_MS, type Exchange } from './_exchange.ts'
import type { GatewayOptions } from './gateway_options.ts'
import type { ServerPath } from './relay_selector.ts'

/** Why there is no server for a request, and when there may be one, in milliseconds from now. */
export interface NoServer {
  readonly reason: 'every-server-tried' | 'no-server' | 'servers-cold'
  readonly retryAfterMs: number
}

/** Selector of one gateway. */
export interface ServerSelector {
  /** Chooses a server for a request without a key. */
  choose (exchange: Exchange): RoutedServer | NoServer
  /** Whether a server that the request has not been sent to has room for it, besides the one at which it is. */
  hasAlternative (exchange: Exchange, server: RoutedServer): boolean
  /** Selects the way of a request to a server. */
  selectPath (exchange: Exchange, server: RoutedServer): ServerPath
}

/**
 * Creates the selector of a gateway.
 *
 * @param options Loads, limits, warm-up and relays.
 * @returns The selector.
 */
export function createServerSelector (options: GatewayOptions): ServerSelector {
  const { loads, limits, permits, relays, routingState, warmUp = NO_WARM_UP } = options

  function selectPath (exchange: Exchange, server: RoutedServer): ServerPath {
    return relays.select(server, { bodyBytes: bodyBytes(exchange.body), isLimited: limits.limitOf(server) !== null, triedRelays: exchange.triedRelays, triedDirectly: exchange.triedDirectly })
  }

  /** Whether the server is cold, and the request would go to it directly although this host is not its relay. */
  function isOutOfReach (exchange: Exchange, server: RoutedServer): boolean {
    return warmUp.isCold(server) && !relays.isRelay(server) && selectPath(exchange, server).kind !== 'relay'
  }

  return {
    choose (exchange) {
      const available = routingState.availableServers(exchange.service)
      const cold = available.filter((server) => isOutOfReach(exchange, server))
      // The list is passed on as it is while no server is left out, since the order of a list is computed once.
      const servers = cold.length === 0 ? available : available.filter((server) => !cold.includes(server))
      const request = { bodyBytes: bodyBytes(exchange.body), latencyGoalMs: exchange.route.latencyGoalMs, remainingMs: exchange.deadlineAt - options.now() }
      const chooseZone = (): string | null => options.chooseZone === undefined ? options.zone : options.chooseZone(exchange.service, request, options.random())
      const server = chooseServer(servers, { loads, limitOf: limits.limitOf, isExhausted: permits.isExhausted, warmUp, tried: exchange.triedServers, zone: options.zone, host: options.host, bodyBytes: request.bodyBytes, chooseZone, random: options.random })
      if (server !== null) return server
      if (cold.length > 0) return { reason: 'servers-cold', retryAfterMs: Math.min(...cold.map(warmUp.coldForMs)) }
      return { reason: exchange.triedServers.size > 0 ? 'every-server-tried' : 'no-server', retryAfterMs: DEFAULT_RETRY_AFTER_MS }
    },
    hasAlternative (exchange, server) {
      return routingState.availableServers(exchange.service).some((other) => other.id !== server.id && !exchange.triedServers.has(other.id) && !loads.isUnresponsive(other) && loads.inFlight(other.id) < other.slots && !permits.isExhausted(other.id) && !warmUp.isCold(other))
    },
    selectPath
  }
}
