/** Servers of one service that do not answer the leading host's calls, and when they are asked again. */
import type { Logger } from '../logging/mod.ts'
import type { ControlOutcome } from './server_control.ts'

/** Silence of a server after which its ranges are planned elsewhere, in milliseconds: one lost packet is sent again within it. */
const SUSPECT_AFTER_MS = 450

/** What a record of silent servers works with. */
export interface UnresponsiveServersOptions {
  readonly service: string
  readonly logger: Logger
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Pause between two questions, in milliseconds. */
  readonly probeIntervalMs: number
}

/** Servers that do not answer. */
export interface UnresponsiveServers {
  /** Takes in how a call ended. */
  recordOutcome (id: string, outcome: ControlOutcome): void
  has (id: string): boolean
  /** Whether a server has been silent for too long to plan with it. */
  isSuspect (id: string): boolean
  suspects (): ReadonlySet<string>
  /** Servers that should be asked now whether they are back. */
  dueForProbe (): string[]
  forget (id: string): void
}

/**
 * Creates a record in which all servers answer.
 *
 * @param options Clock and log.
 * @returns The record.
 */
export function createUnresponsiveServers (options: UnresponsiveServersOptions): UnresponsiveServers {
  const { service, logger, now } = options
  const silent = new Map<string, { readonly since: number, askAt: number }>()

  function isSuspect (id: string): boolean {
    const known = silent.get(id)
    return known !== undefined && now() - known.since >= SUSPECT_AFTER_MS
  }

  return {
    recordOutcome (id, outcome) {
      const known = silent.get(id)
      if (outcome.kind !== 'silent' && outcome.kind !== 'refused') {
        if (silent.delete(id)) logger.info({ service, server: id }, 'server-control-regained')
      } else if (known !== undefined) {
        known.askAt = now() + options.probeIntervalMs
      } else {
        silent.set(id, { since: now(), askAt: now() })
        logger.warn({ service, server: id, outcome: outcome.kind, detail: outcome.kind === 'silent' ? outcome.detail : undefined }, 'server-control-lost')
      }
    },
    has: (id) => silent.has(id),
    isSuspect,
    suspects: () => new Set([...silent.keys()].filter(isSuspect)),
    dueForProbe: () => [...silent].filter(([, known]) => known.askAt <= now()).map(([id]) => id),
    forget (id) { silent.delete(id) }
  }
}
