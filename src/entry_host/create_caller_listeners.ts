/** Creates the listeners for callers and for requests from other hosts, which share one account of what they make this host hold. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { callerCapacity, createCallerAccount, type CallerAccount } from '../caller_limits/mod.ts'
import { createCallerServer } from '../gateway/mod.ts'
import type { Logger } from '../logging/mod.ts'
import { INITIAL_LIMITS, RELAY_LIMITS, RESERVED_SOCKETS } from './_connection_limits.ts'
import { createEndedConnectionLog } from './ended_connection_log.ts'

/** Options of {@link createCallerListeners}. */
export interface CallerListenersOptions {
  readonly memoryBytes: number
  readonly sockets: number
  readonly handleCaller: (request: IncomingMessage, response: ServerResponse) => Promise<void>
  readonly handleHost: (request: IncomingMessage, response: ServerResponse) => Promise<void>
  readonly logger: Logger
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Listeners, which do not listen yet, and their account. */
export interface CallerListeners {
  readonly callerServer: Server
  readonly relayServer: Server
  readonly account: CallerAccount
}

/**
 * Creates the listeners of a host.
 *
 * @param options Limits of the machine, handlers and logger.
 * @returns The listeners.
 */
export function createCallerListeners (options: CallerListenersOptions): CallerListeners {
  const { logger, now } = options
  const account = createCallerAccount({ capacityBytes: callerCapacity(options.memoryBytes), onEnded: createEndedConnectionLog(logger, now) })
  function onError (error: unknown): void {
    logger.debug({ error: error instanceof Error ? error.message : String(error) }, 'caller-connection-error')
  }
  return {
    account,
    callerServer: createCallerServer({ limits: INITIAL_LIMITS, maximumConnections: Math.max(100, options.sockets - RESERVED_SOCKETS), account, handle: options.handleCaller, onError }),
    relayServer: createCallerServer({ limits: RELAY_LIMITS, maximumConnections: options.sockets, account, handle: options.handleHost, onError })
  }
}
