/** What one host knows about the warm-up of one run of a server, and until when the run is cold by it. */
import type { RoutedServer } from '../routing/mod.ts'

/** Why a server is cold. */
export const ColdReason = {
  /** Its entry, or the leader's message about it, says so. */
  stated: 'stated',
  /** The run appeared after the first list. */
  started: 'started',
  /** A connection to it was refused or timed out: it may have restarted under the same id. */
  unreachable: 'unreachable',
  /** The evacuation of its zone has ended. */
  zoneReturned: 'zone-returned'
} as const
/** Value of {@link ColdReason}. */
export type ColdReason = typeof ColdReason[keyof typeof ColdReason]

/** Observations of one run; times are monotonic, in milliseconds, and `-Infinity` for what has not been observed. */
export interface ColdRun {
  readonly id: string
  readonly bornAt: number
  /** The entry as it was last listed; `null` if only a message of the leader has named the run. */
  server: RoutedServer | null
  /** When it was found missing from the list; `Infinity` while it is listed. */
  unlistedAt: number
  /** Time left that its entry last stated, in milliseconds. */
  statedMs: number
  statedUntil: number
  startedAt: number
  unreachableAt: number
  zoneReturnedAt: number
  /** Until when the other hosts know it to be cold, on a host that leads. */
  noticedUntil: number
}

/** When a run is warm again, and why it is cold until then. */
export interface ColdPeriod {
  readonly until: number
  readonly reason: ColdReason
}

/**
 * Creates the record of a run that has not been listed.
 *
 * @param run Identifier and start of the run.
 * @param now Monotonic time in milliseconds.
 * @returns The record.
 */
export function createColdRun ({ id, bornAt }: Pick<RoutedServer, 'id' | 'bornAt'>, now: number): ColdRun {
  return { id, bornAt, server: null, unlistedAt: now, statedMs: 0, statedUntil: -Infinity, startedAt: -Infinity, unreachableAt: -Infinity, zoneReturnedAt: -Infinity, noticedUntil: -Infinity }
}

/** Returns the period that ends last. */
function latest (periods: readonly ColdPeriod[]): ColdPeriod {
  return periods.reduce((last, period) => period.until > last.until ? period : last)
}

/**
 * Returns the period that every host can know of: this host's own connections are left out, because the host itself may be cut off.
 *
 * @param run The run.
 * @param durationMs Warm-up time of its service, in milliseconds.
 * @returns The period; it may have ended.
 */
export function sharedColdPeriod (run: ColdRun, durationMs: number): ColdPeriod {
  return latest([
    { until: run.statedUntil, reason: ColdReason.stated },
    { until: run.startedAt + durationMs, reason: ColdReason.started },
    { until: run.zoneReturnedAt + durationMs, reason: ColdReason.zoneReturned }
  ])
}

/**
 * Returns until when a run is cold; called for many servers at each request.
 *
 * @param run The run.
 * @param durationMs Warm-up time of its service, in milliseconds.
 * @returns Monotonic time in milliseconds; it may have passed.
 */
export function coldUntil (run: ColdRun, durationMs: number): number {
  return Math.max(run.statedUntil, Math.max(run.startedAt, run.unreachableAt, run.zoneReturnedAt) + durationMs)
}

/**
 * Returns the period in which a run is cold.
 *
 * @param run The run.
 * @param durationMs Warm-up time of its service, in milliseconds.
 * @returns The period; it may have ended.
 */
export function coldPeriod (run: ColdRun, durationMs: number): ColdPeriod {
  return latest([sharedColdPeriod(run, durationMs), { until: run.unreachableAt + durationMs, reason: ColdReason.unreachable }])
}
