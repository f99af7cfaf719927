/** Protects servers from requests that end them: the guard of a host, its exchange with other hosts, and the stored refusals. */
import { createRequestGuard, EndEvidence, NO_EVIDENCE, type RequestGuard } from '../fatal_requests/mod.ts'
import type { RoutingState } from '../gateway/mod.ts'
import type { Leadership } from '../leadership/mod.ts'
import type { Logger } from '../logging/mod.ts'
import type { TableService } from '../ports/mod.ts'
import type { ConnectProbe } from '../reachability/mod.ts'
import type { EvidenceMessage } from '../replication/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import { createEvidenceExchange, type EvidenceExchange } from './evidence_exchange.ts'
import { createEndLog, createRefusalLog } from './fatal_request_log.ts'
import { createRefusalStore, type RefusalStore } from './refusal_store.ts'

/** Options of {@link createRequestProtection}. */
export interface RequestProtectionOptions {
  readonly routingState: Pick<RoutingState, 'server'>
  readonly probe: ConnectProbe
  /** Whether this host reaches servers at all; resolves after a probe if that is not known. */
  readonly verifyReachability: () => Promise<boolean>
  readonly table: TableService
  readonly leadership: Leadership
  /** Whether this host has the leader's role. */
  readonly isLeading: () => boolean
  /** Sends a message to all connected hosts. */
  readonly publish: (message: EvidenceMessage) => void
  /** Sends a message to the leader. */
  readonly send: (message: EvidenceMessage) => void
  /** Called when a probe has found that a server ended under requests. */
  readonly onServerRefusing: (server: RoutedServer) => void
  readonly logger: Logger
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Protection of one host. */
export interface RequestProtection {
  readonly guard: RequestGuard
  readonly exchange: EvidenceExchange
  readonly refusalStore: RefusalStore
  /** Ends the refusal of a request on all hosts; returns whether it was refused. */
  lift (fingerprint: string): boolean
  /** Requests that are refused, for diagnostics. */
  describe (): Array<{ readonly fingerprint: string, readonly remainingMs: number, readonly times: number }>
}

/**
 * Creates the protection of a host.
 *
 * @param options Probes, connections to other hosts, store and clock.
 * @returns The protection.
 */
export function createRequestProtection (options: RequestProtectionOptions): RequestProtection {
  const { routingState, logger, now } = options
  const logEnd = createEndLog(logger)
  const guard = createRequestGuard({
    probe: options.probe,
    verifyReachability: options.verifyReachability,
    // A server that is not listed any more has left without saying so.
    isLeaving: (server) => routingState.server(server.id)?.leaving !== false,
    onChecked (check) {
      logEnd(check)
      if (check.evidence === EndEvidence.refused) options.onServerRefusing(check.server)
    },
    onEvidence (found) { exchange.add(found) },
    now,
    ...createRefusalLog(logger)
  })
  const exchange = createEvidenceExchange({ guard: () => guard, isLeading: options.isLeading, publish: options.publish, send: options.send, now })
  const refusalStore = createRefusalStore({
    table: options.table, leadership: options.leadership, evidence: guard.evidence, onLoaded (loaded) { exchange.add(guard.merge(loaded)) }, logger, now, wallClock: () => Date.now()
  })

  return {
    guard,
    exchange,
    refusalStore,
    lift (fingerprint) {
      if (!guard.evidence().refusals.some((refusal) => refusal.fingerprint === fingerprint && refusal.until > now())) return false
      exchange.add(guard.merge({ ...NO_EVIDENCE, completions: [{ fingerprint, at: now() }] }))
      return true
    },
    describe: () => guard.evidence().refusals.map(({ fingerprint, until, times }) => ({ fingerprint, remainingMs: Math.max(0, Math.round(until - now())), times }))
  }
}
