/** Servers of one service that do not respond to the leading host's calls, and when to probe them. */
import type { Logger } from '../logging/mod.ts'
import type { ControlOutcome } from './server_control.ts'

/** Time without a response after which a server's ranges are planned elsewhere, in milliseconds: long enough for one lost packet to be retransmitted. */
const SUSPECT_TIMEOUT_MS = 450

/** Options of {@link createUnresponsiveServers}. */
export interface UnresponsiveServersOptions {
  readonly service: string
  readonly logger: Logger
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Time between two probes of a server, in milliseconds. */
  readonly probeIntervalMs: number
  /** Since when this host certainly reaches servers; monotonic time in milliseconds, `Infinity` while it may not. */
  readonly reachesServersSince: () => number
}

/** Servers that do not respond. */
export interface UnresponsiveServers {
  /** Records the outcome of a call. */
  recordOutcome (id: string, outcome: ControlOutcome): void
  has (id: string): boolean
  /** Whether a server has been unresponsive for too long to be given ranges. */
  isSuspect (id: string): boolean
  suspects (): ReadonlySet<string>
  /** Servers that should be probed now. */
  dueForProbe (): string[]
  forget (id: string): void
}

/**
 * Creates a record without unresponsive servers.
 *
 * @param options Service, clock, log and probe interval.
 * @returns The record.
 */
export function createUnresponsiveServers (options: UnresponsiveServersOptions): UnresponsiveServers {
  const { service, logger, now } = options
  const unresponsive = new Map<string, { readonly since: number, nextProbeAt: number }>()

  function isSuspect (id: string): boolean {
    const entry = unresponsive.get(id)
    // A host without paths to servers gets no response from any of them.
    return entry !== undefined && now() - Math.max(entry.since, options.reachesServersSince()) >= SUSPECT_TIMEOUT_MS
  }

  return {
    recordOutcome (id, outcome) {
      const entry = unresponsive.get(id)
      if (outcome.kind !== 'silent' && outcome.kind !== 'refused') {
        if (unresponsive.delete(id)) logger.info({ service, server: id }, 'server-control-regained')
      } else if (entry !== undefined) {
        entry.nextProbeAt = now() + options.probeIntervalMs
      } else {
        unresponsive.set(id, { since: now(), nextProbeAt: now() })
        logger.warn({ service, server: id, outcome: outcome.kind, detail: outcome.kind === 'silent' ? outcome.detail : undefined }, 'server-control-lost')
      }
    },
    has: (id) => unresponsive.has(id),
    isSuspect,
    suspects: () => new Set([...unresponsive.keys()].filter(isSuspect)),
    dueForProbe: () => [...unresponsive].filter(([, entry]) => entry.nextProbeAt <= now()).map(([id]) => id),
    forget (id) { unresponsive.delete(id) }
  }
}
