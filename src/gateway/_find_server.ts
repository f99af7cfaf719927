/** Finds the server of a request: the owner of its key, or one that is chosen for it. */
import type { RoutedServer } from '../routing/mod.ts'
import { clampRetryAfterMs } from './admission.ts'
import { DEFAULT_RETRY_AFTER_MS, type AttemptDecision, type Exchange } from './_exchange.ts'
import type { ExchangeTimes } from './_exchange_times.ts'
import type { GatewayOptions } from './gateway_options.ts'
import { pollConnections } from './poll_connections.ts'
import type { ServerSelector } from './_server_selector.ts'

/** Finds servers for the requests of one gateway. */
export interface ServerFinder {
  /** Whether only the owner of the request's key may run it. */
  isKeyed (exchange: Exchange): boolean
  /** Returns the server, or the refusal if there is none; waits for a limited time while a key is moving. */
  find (exchange: Exchange): Promise<RoutedServer | AttemptDecision>
}

/** Parts of the gateway that the finder uses. */
export interface ServerFinderOptions {
  readonly times: ExchangeTimes
  readonly serverSelector: ServerSelector
}

/** Maximum wait for the owner of a key, as a share of the latency goal. */
const OWNER_WAIT_SHARE = 0.6

/** Time within which the keys of a leaving server get another owner, in milliseconds: a server may stop about two seconds after it has said that it leaves. */
const HANDOVER_MS = 2000

/**
 * Creates the finder.
 *
 * @param options Options of the gateway.
 * @param finderOptions Times of its requests, and the selector of their servers.
 * @returns The finder.
 */
export function createServerFinder (options: GatewayOptions, { times, serverSelector }: ServerFinderOptions): ServerFinder {
  const { routingState, loads, now } = options
  const { remainingMs, callerRemainingMs, jitteredRetryAfterMs } = times

  /** Finds the owner of a key; waits for a limited time while the key is moving. */
  async function findOwner (exchange: Exchange, key: number): Promise<RoutedServer | AttemptDecision> {
    const waitEndsAt = now() + Math.min(exchange.route.latencyGoalMs * OWNER_WAIT_SHARE, remainingMs(exchange) / 3)
    for (;;) {
      const owner = routingState.ownerOf(exchange.service, key)
      if (owner.kind === 'owned') {
        const server = routingState.server(owner.server)
        if (server !== undefined && !server.leaving && !exchange.triedServers.has(server.id)) return server
        // The key should have another owner by now; without a leader it gets none before one is found.
        if (server?.leaving === true && routingState.leavingForMs(server) > HANDOVER_MS) return { kind: 'refuse', reason: 'owner-leaving', retryAfterMs: jitteredRetryAfterMs(exchange, DEFAULT_RETRY_AFTER_MS) }
      }
      if (owner.kind === 'unserved') {
        return { kind: 'refuse', reason: 'key-unserved', retryAfterMs: clampRetryAfterMs(owner.until - now(), callerRemainingMs(exchange)) }
      }
      if (now() >= waitEndsAt || exchange.abort.signal.aborted) {
        return { kind: 'refuse', reason: `key-${owner.kind}`, retryAfterMs: jitteredRetryAfterMs(exchange, DEFAULT_RETRY_AFTER_MS) }
      }
      await routingState.waitForOwnerChange(Math.max(1, waitEndsAt - now()))
      await pollConnections()
    }
  }

  function isKeyed (exchange: Exchange): boolean {
    return exchange.key !== null && routingState.service(exchange.service)?.keyed === true
  }

  return {
    isKeyed,
    async find (exchange) {
      if (exchange.key !== null && isKeyed(exchange)) {
        const owner = await findOwner(exchange, exchange.key)
        if ('kind' in owner) return owner
        if (loads.isUnresponsive(owner)) return { kind: 'refuse', reason: 'owner-silent', retryAfterMs: jitteredRetryAfterMs(exchange, DEFAULT_RETRY_AFTER_MS) }
        return owner
      }
      const choice = serverSelector.choose(exchange)
      return 'reason' in choice ? { kind: 'refuse', reason: choice.reason, retryAfterMs: jitteredRetryAfterMs(exchange, choice.retryAfterMs) } : choice
    }
  }
}
