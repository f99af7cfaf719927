/**
 * Decides which host leads: the one that holds a lease in the table service.
 *
 * The holder rewrites the lease's row; others may claim it when they have seen
 * it unchanged for longer than the lease lasts, when its holder has given it
 * back, or when the holder's process is known to have ended. Everything that a
 * leader stores is written together with the lease, so that one that has been
 * superseded changes nothing.
 */
import type { Logger } from '../logging/mod.ts'
import type { RowWrite, TableService } from '../ports/mod.ts'

/** Key of the lease's row. */
export const LEASE_KEY = 'lease'

/** Times of the lease, in milliseconds. */
export const LeaseTiming = {
  /** How long the holder may act after it sent the last renewal that was acknowledged. */
  durationMs: 2400,
  /** Time between renewals: two may fail within a lease. */
  renewIntervalMs: 800,
  /** How much longer others wait, for clocks that run differently and a renewal that is on its way. */
  claimMarginMs: 300,
  /** Pause before a failed write is tried again. */
  retryDelayMs: 250,
  /** Time without an acknowledged write after which grants are made to outlast the lease. */
  storeUnavailableAfterMs: 1300,
  /** How long the store must have answered before the lease of a holder that is heard is claimed: several renewals of the holder, if the store answers it, too. */
  storeRecoveryMs: 1200
} as const

/** Value of the lease's row. */
export interface LeaseRecord {
  /** Identifier of the holder's process; another run of the same host has another. */
  readonly holder: string
  /** Address at which the holder talks to other hosts. */
  readonly address: string
  /** Whether the holder has given the lease back. */
  readonly released: boolean
  /** For a lease that was given back: how long each backend server may have held keys from then on, in milliseconds. */
  readonly holdsMs?: Readonly<Record<string, number>>
}

/** What a new leader knows of grants that others made before. */
export type PreviousGrants =
  /** The last leader may have made grants until then, on the monotonic clock in milliseconds. */
  | { readonly kind: 'unknown', readonly lastPossibleGrantAt: number }
  /** The last leader told how long servers may hold keys; counted from `from`. */
  | { readonly kind: 'told', readonly asOf: number, readonly remainingMs: Readonly<Record<string, number>> }

/** What the leadership of one process works with. */
export interface LeadershipOptions {
  readonly table: TableService
  readonly logger: Logger
  readonly holder: string
  readonly address: string
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Time of day in milliseconds; shows time for which the process stood still. */
  readonly wallClock: () => number
}

/** How a write of a leader ended. */
export type LeaderWriteResult = 'written' | 'unavailable' | 'superseded'

/** Leadership as one process sees it. */
export interface Leadership {
  /** Whether this process may act as leader at this moment. */
  isLeading (): boolean
  /** Whether the table service has not acknowledged a write for some time. */
  isStoreUnavailable (): boolean
  /** Revision of the claim that made this process leader; it grows with each leader. */
  claimRevision (): number
  /** Takes in the row of the lease as it was read. */
  observeLease (row: { readonly revision: number, readonly value: unknown } | null): void
  /** Revision of the lease as it was last seen. */
  leaseRevision (): number
  /** Notes the revision of a row that is written together with the lease. */
  recordRevision (key: string, revision: number): void
  /** The lease as it was last seen; `null` before. */
  lease (): LeaseRecord | null
  /** Notes that the holder's process has ended. */
  recordEnded (holder: string): void
  /** Notes whether the store answered a read of this process. */
  recordRead (answered: boolean): void
  /** Whether the lease may be claimed now. A holder that is still heard is left time to renew, if the store has only just come back. */
  mayClaim (isHolderHeard?: boolean): boolean
  /** What is known of the grants of the leader before this process. */
  previousGrants (): PreviousGrants
  /** Time until the lease may be claimed if it is not renewed, in milliseconds. */
  claimDelayMs (): number
  /** Claims the lease; returns whether this process leads. */
  claim (): Promise<boolean>
  /** Writes rows together with the lease, which renews it. Writes are made one after another. */
  write (rows: readonly Omit<RowWrite, 'expectedRevision'>[]): Promise<LeaderWriteResult>
  /** Renews the lease if that is due. */
  renew (): Promise<void>
  /** Gives the lease back, so that another host may claim it at once, and tells how long servers may hold keys, if that is known. */
  release (holdsMs?: Readonly<Record<string, number>>): Promise<void>
}

/**
 * Creates the leadership of a process that has read nothing yet.
 *
 * @param options Table service, identity and clocks.
 * @returns The leadership.
 */
export function createLeadership (options: LeadershipOptions): Leadership {
  const { table, logger, now, wallClock: timeOfDay } = options
  let seen: { revision: number, record: LeaseRecord | null, since: number } | null = null
  let ended: string | null = null
  let leading = false
  let claimedAt = 0
  let earlier: PreviousGrants = { kind: 'unknown', lastPossibleGrantAt: -Infinity }
  let answersSince: number | null = null
  let readAt = -Infinity
  let validUntil = 0
  let validUntilTimeOfDay = 0
  let acknowledgedAt = 0
  let renewedAt = 0
  let attemptedAt = 0
  let queue: Promise<unknown> = Promise.resolve()
  const revisions = new Map<string, number>()

  function own (released: boolean): LeaseRecord {
    return { holder: options.holder, address: options.address, released }
  }

  function stepDown (cause: string): void {
    if (!leading) return
    leading = false
    logger.warn({ cause, revision: seen?.revision }, 'leadership-lost')
  }

  function isLeading (): boolean {
    // The monotonic clock does not count time for which the machine was suspended, the time of day does.
    return leading && now() < validUntil && timeOfDay() < validUntilTimeOfDay
  }

  function extend (sentAt: number, sentAtTimeOfDay: number): void {
    validUntil = sentAt + LeaseTiming.durationMs
    validUntilTimeOfDay = sentAtTimeOfDay + LeaseTiming.durationMs
    acknowledgedAt = now()
    renewedAt = sentAt
  }

  function observeLease (row: { readonly revision: number, readonly value: unknown } | null): void {
    const revision = row?.revision ?? 0
    if (seen !== null && revision <= seen.revision) return
    const record = row === null ? null : readRecord(row.value)
    if (record === null && row !== null) logger.warn({ revision }, 'lease-unreadable')
    seen = { revision, record, since: now() }
    if (leading && record?.holder !== options.holder) stepDown('another host holds the lease')
  }

  /** One conditional write of the lease and other rows. */
  async function attempt (record: LeaseRecord, rows: readonly Omit<RowWrite, 'expectedRevision'>[]): Promise<LeaderWriteResult> {
    const sentAt = now()
    const sentAtTimeOfDay = timeOfDay()
    attemptedAt = sentAt
    const writes: RowWrite[] = [
      { key: LEASE_KEY, expectedRevision: seen?.revision ?? 0, value: record },
      ...rows.map((row) => ({ ...row, expectedRevision: revisions.get(row.key) ?? 0 }))
    ]
    const result = await table.write(writes)
    if (result.ok) {
      seen = { revision: result.value, record, since: now() }
      for (const row of rows) revisions.set(row.key, result.value)
      extend(sentAt, sentAtTimeOfDay)
      return 'written'
    }
    if (result.error.kind === 'unavailable') return 'unavailable'
    for (const row of result.error.current) {
      if (row.key === LEASE_KEY) observeLease(row)
      else revisions.set(row.key, row.revision)
    }
    // A write whose answer was lost has taken effect: the lease is still this process's own.
    return seen?.record?.holder === options.holder ? 'unavailable' : 'superseded'
  }

  function describeEarlier (): PreviousGrants {
    if (seen === null || seen.revision === 0) return { kind: 'told', asOf: now(), remainingMs: {} }
    if (seen.record?.released === true && seen.record.holdsMs !== undefined) return { kind: 'told', asOf: now(), remainingMs: seen.record.holdsMs }
    // A claim succeeds only if the lease has not been renewed since it was seen.
    return { kind: 'unknown', lastPossibleGrantAt: seen.since + LeaseTiming.durationMs }
  }

  function enqueue<Value> (run: () => Promise<Value>): Promise<Value> {
    const result = queue.then(run)
    queue = result.catch(() => undefined)
    return result
  }

  return {
    isLeading,
    isStoreUnavailable: () => leading && now() - acknowledgedAt > LeaseTiming.storeUnavailableAfterMs,
    claimRevision: () => claimedAt,
    observeLease: observeLease,
    lease: () => seen?.record ?? null,
    leaseRevision: () => seen?.revision ?? 0,
    recordRevision (key, revision) { revisions.set(key, revision) },
    recordEnded (holder) { ended = holder },
    recordRead (answered) {
      // After a pause between reads nothing is known of the time before.
      if (!answered) answersSince = null
      else if (answersSince === null || now() - readAt > LeaseTiming.durationMs) answersSince = now()
      readAt = now()
    },
    mayClaim (isHolderHeard = false) {
      if (seen === null || leading) return false
      if (seen.record === null || seen.record.released || seen.record.holder === ended) return true
      // A claim whose answer was lost has taken effect.
      if (seen.record.holder === options.holder) return true
      if (now() - seen.since <= LeaseTiming.durationMs + LeaseTiming.claimMarginMs) return false
      return !isHolderHeard || (answersSince !== null && now() - answersSince >= LeaseTiming.storeRecoveryMs)
    },
    previousGrants: () => earlier,
    claimDelayMs: () => seen === null ? 0 : Math.max(0, seen.since + LeaseTiming.durationMs + LeaseTiming.claimMarginMs - now()),
    claim: () => enqueue(async () => {
      const previous = seen?.record
      const before = describeEarlier()
      const outcome = await attempt(own(false), [])
      if (outcome !== 'written') return false
      leading = true
      claimedAt = seen?.revision ?? 0
      earlier = before
      logger.info({ revision: claimedAt, previous: previous?.holder, released: previous?.released }, 'leadership-claimed')
      return true
    }),
    write: (rows) => enqueue(async () => {
      if (!leading) return 'superseded'
      return await attempt(own(false), rows)
    }),
    async renew () {
      if (!leading || now() - renewedAt < LeaseTiming.renewIntervalMs || now() - attemptedAt < LeaseTiming.retryDelayMs) return
      await enqueue(async () => {
        if (!leading || now() - renewedAt < LeaseTiming.renewIntervalMs) return
        const outcome = await attempt(own(false), [])
        if (outcome === 'unavailable') logger.warn({ sinceMs: Math.round(now() - acknowledgedAt) }, 'lease-not-renewed')
      })
    },
    release: (holdsMs) => enqueue(async () => {
      if (!leading) return
      stepDown('the host is shutting down')
      await attempt(holdsMs === undefined ? own(true) : { ...own(true), holdsMs }, [])
    })
  }
}

function readRecord (value: unknown): LeaseRecord | null {
  if (typeof value !== 'object' || value === null) return null
  const { holder, address, released, holdsMs } = value as Record<string, unknown>
  if (typeof holder !== 'string' || typeof address !== 'string' || typeof released !== 'boolean') return null
  const holds = readHolds(holdsMs)
  return holds === null ? { holder, address, released } : { holder, address, released, holdsMs: holds }
}

function readHolds (value: unknown): Record<string, number> | null {
  if (typeof value !== 'object' || value === null) return null
  const entries = Object.entries(value)
  return entries.every(([, held]) => typeof held === 'number') ? Object.fromEntries(entries) as Record<string, number> : null
}
