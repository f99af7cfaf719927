/**
 * Leader election with a lease in the table service.
 *
 * The leader renews its lease by rewriting the lease's row. Another host may
 * claim the lease once the row has stayed unchanged for longer than the lease
 * lasts, when the holder has released it, or when the holder's process is known
 * to have ended. A leader writes its other rows in the same conditional write as
 * the lease, so a superseded leader cannot change stored data.
 */
import type { Logger } from '../logging/mod.ts'
import type { RowWrite, TableService } from '../ports/mod.ts'

/** Key of the lease's row. */
export const LEASE_KEY = 'lease'

/** Durations and intervals of the lease, in milliseconds. */
export const LeaseTiming = {
  /** How long the holder may act, counted from when it sent its last acknowledged renewal. */
  durationMs: 2400,
  /** Time between renewals; two may fail before the lease expires. */
  renewIntervalMs: 800,
  /** Extra time before another host may claim the lease, to allow for clock drift and a renewal in transit. */
  claimMarginMs: 300,
  /** Delay before a failed renewal is retried. */
  retryDelayMs: 250,
  /** Time without an acknowledged write after which the store counts as unavailable and grants are made to outlast the lease. */
  storeUnavailableAfterMs: 1300,
  /** How long the store must have been responding before the lease of a holder that still responds may be claimed. It spans several renewals of the holder if the store responds to the holder, too. */
  storeRecoveryMs: 1200
} as const

/** Value of the lease's row. */
export interface LeaseRecord {
  /** Identifier of the holder's process; it changes when the host restarts. */
  readonly holder: string
  /** Address for connections from other hosts. */
  readonly address: string
  /** Whether the holder has released the lease. */
  readonly released: boolean
  /** For a released lease, how long after the release each backend server may still hold keys, in milliseconds. */
  readonly holdsMs?: Readonly<Record<string, number>>
}

/** Grants that earlier leaders may have made, as known to a new leader. */
export type PreviousGrants =
  /** The last leader may have made grants up to this time of the monotonic clock, in milliseconds. */
  | { readonly kind: 'unknown', readonly lastPossibleGrantAt: number }
  /** The last leader stored the remaining grant duration of each server, in milliseconds; counted from `asOf` on the monotonic clock. */
  | { readonly kind: 'known', readonly asOf: number, readonly remainingMs: Readonly<Record<string, number>> }

/** Options of {@link createLeadership}. */
export interface LeadershipOptions {
  readonly table: TableService
  readonly logger: Logger
  /** Identifier of this process, stored as the holder of the lease. */
  readonly holder: string
  /** Address for connections from other hosts. */
  readonly address: string
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Wall-clock time in milliseconds; unlike the monotonic clock it advances while the machine is suspended. */
  readonly wallClock: () => number
}

/** Result of a leader's write. */
export type LeaderWriteResult = 'written' | 'unavailable' | 'superseded'

/** Leader election from the point of view of one process. */
export interface Leadership {
  /** Whether this process may act as leader now. */
  isLeading (): boolean
  /** Whether this process leads and the table service has not acknowledged a write for {@link LeaseTiming.storeUnavailableAfterMs}. */
  isStoreUnavailable (): boolean
  /** Revision of the claim that made this process leader; it increases with each new leader. */
  claimRevision (): number
  /** Applies the lease's row as read from the table service; `null` if the row does not exist. */
  observeLease (row: { readonly revision: number, readonly value: unknown } | null): void
  /** Last observed revision of the lease; 0 before the first. */
  leaseRevision (): number
  /** Records the current revision of a row that is written together with the lease. */
  recordRevision (key: string, revision: number): void
  /** Last observed lease; `null` before the first. */
  lease (): LeaseRecord | null
  /** Records that the holder's process has ended. */
  recordEnded (holder: string): void
  /** Records whether the store responded to a read by this process. */
  recordRead (responded: boolean): void
  /** Whether the lease may be claimed now. After an outage of the store, a holder that still responds gets time to renew first. */
  mayClaim (isHolderResponding?: boolean): boolean
  /** Grants that earlier leaders may have made, as known when this process claimed the lease. */
  previousGrants (): PreviousGrants
  /** Time until the lease may be claimed unless it is renewed, in milliseconds. */
  claimDelayMs (): number
  /** Claims the lease; returns whether the claim succeeded. */
  claim (): Promise<boolean>
  /** Writes rows together with the lease, which also renews it. Writes run one at a time. */
  write (rows: readonly Omit<RowWrite, 'expectedRevision'>[]): Promise<LeaderWriteResult>
  /** Renews the lease if a renewal is due. */
  renew (): Promise<void>
  /** Renews the lease whether or not a renewal is due; returns whether the store acknowledged it. */
  renewNow (): Promise<boolean>
  /** Stops leading without a write, because only this process cannot reach the store; the holder's lease counts as ended for those that are notified. */
  resign (): void
  /** Releases the lease, so that another host may claim it at once, and stores the remaining grant duration of each server, if known. */
  release (remainingMs?: Readonly<Record<string, number>>): Promise<void>
}

/**
 * Creates a leader election that has not observed the lease yet.
 *
 * @param options Table service, identity and clocks.
 * @returns The leader election; this process does not lead until a claim succeeds.
 */
export function createLeadership (options: LeadershipOptions): Leadership {
  const { table, logger, now, wallClock } = options
  let lastLease: { revision: number, record: LeaseRecord | null, firstSeenAt: number } | null = null
  let endedHolder: string | null = null
  let leading = false
  let claimedAt = 0
  let grantsBeforeClaim: PreviousGrants = { kind: 'unknown', lastPossibleGrantAt: -Infinity }
  let storeRespondsSince: number | null = null
  let lastReadAt = -Infinity
  let validUntil = 0
  let validUntilWallClock = 0
  let acknowledgedAt = 0
  let renewedAt = 0
  let attemptedAt = 0
  /** Revision of the lease that the last refused write met; each is logged once. */
  let refusedRevision: number | undefined
  let queue: Promise<unknown> = Promise.resolve()
  const revisions = new Map<string, number>()

  function ownRecord (released: boolean): LeaseRecord {
    return { holder: options.holder, address: options.address, released }
  }

  function stepDown (cause: string): void {
    if (!leading) return
    leading = false
    logger.warn({ cause, revision: lastLease?.revision }, 'leadership-lost')
  }

  function isLeading (): boolean {
    // The monotonic clock stops while the machine is suspended; the wall clock does not.
    return leading && now() < validUntil && wallClock() < validUntilWallClock
  }

  function extend (sentAt: number, sentAtWallClock: number): void {
    validUntil = sentAt + LeaseTiming.durationMs
    validUntilWallClock = sentAtWallClock + LeaseTiming.durationMs
    acknowledgedAt = now()
    renewedAt = sentAt
  }

  function observeLease (row: { readonly revision: number, readonly value: unknown } | null): void {
    const revision = row?.revision ?? 0
    if (lastLease !== null && revision <= lastLease.revision) return
    const record = row === null ? null : parseRecord(row.value)
    if (record === null && row !== null) logger.warn({ revision }, 'lease-unreadable')
    lastLease = { revision, record, firstSeenAt: now() }
    if (leading && record?.holder !== options.holder) stepDown('another host holds the lease')
  }

  /** Writes the lease and other rows in one conditional write. */
  async function writeWithLease (record: LeaseRecord, rows: readonly Omit<RowWrite, 'expectedRevision'>[]): Promise<LeaderWriteResult> {
    const sentAt = now()
    const sentAtWallClock = wallClock()
    attemptedAt = sentAt
    const writes: RowWrite[] = [
      { key: LEASE_KEY, expectedRevision: lastLease?.revision ?? 0, value: record },
      ...rows.map((row) => ({ ...row, expectedRevision: revisions.get(row.key) ?? 0 }))
    ]
    const result = await table.write(writes)
    if (result.ok) {
      lastLease = { revision: result.value, record, firstSeenAt: now() }
      for (const row of rows) revisions.set(row.key, result.value)
      extend(sentAt, sentAtWallClock)
      return 'written'
    }
    if (result.error.kind === 'unavailable') return 'unavailable'
    const current = result.error.current.find((row) => row.key === LEASE_KEY)
    if (refusedRevision !== current?.revision) {
      refusedRevision = current?.revision
      logger.warn({ expected: lastLease?.revision ?? 0, current: refusedRevision, holder: current === undefined ? undefined : parseRecord(current.value)?.holder }, 'lease-write-refused')
    }
    for (const row of result.error.current) {
      if (row.key === LEASE_KEY) observeLease(row)
      else revisions.set(row.key, row.revision)
    }
    // This process still holds the lease: an earlier write took effect, but its response was lost.
    return lastLease?.record?.holder === options.holder ? 'unavailable' : 'superseded'
  }

  function describePreviousGrants (): PreviousGrants {
    if (lastLease === null || lastLease.revision === 0) return { kind: 'known', asOf: now(), remainingMs: {} }
    if (lastLease.record?.released === true && lastLease.record.holdsMs !== undefined) return { kind: 'known', asOf: now(), remainingMs: lastLease.record.holdsMs }
    // A claim succeeds only if the lease has not been renewed since it was last observed.
    return { kind: 'unknown', lastPossibleGrantAt: lastLease.firstSeenAt + LeaseTiming.durationMs }
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
    observeLease,
    lease: () => lastLease?.record ?? null,
    leaseRevision: () => lastLease?.revision ?? 0,
    recordRevision (key, revision) { revisions.set(key, revision) },
    recordEnded (holder) { endedHolder = holder },
    recordRead (responded) {
      // After a gap between reads, it is unknown whether the store was responding in between.
      if (!responded) storeRespondsSince = null
      else if (storeRespondsSince === null || now() - lastReadAt > LeaseTiming.durationMs) storeRespondsSince = now()
      lastReadAt = now()
    },
    mayClaim (isHolderResponding = false) {
      if (lastLease === null || leading) return false
      if (lastLease.record === null || lastLease.record.released || lastLease.record.holder === endedHolder) return true
      // An earlier claim took effect, but its response was lost.
      if (lastLease.record.holder === options.holder) return true
      if (now() - lastLease.firstSeenAt <= LeaseTiming.durationMs + LeaseTiming.claimMarginMs) return false
      return !isHolderResponding || (storeRespondsSince !== null && now() - storeRespondsSince >= LeaseTiming.storeRecoveryMs)
    },
    previousGrants: () => grantsBeforeClaim,
    claimDelayMs: () => lastLease === null ? 0 : Math.max(0, lastLease.firstSeenAt + LeaseTiming.durationMs + LeaseTiming.claimMarginMs - now()),
    claim: () => enqueue(async () => {
      const previous = lastLease?.record
      const previousGrants = describePreviousGrants()
      const outcome = await writeWithLease(ownRecord(false), [])
      if (outcome !== 'written') return false
      leading = true
      claimedAt = lastLease?.revision ?? 0
      grantsBeforeClaim = previousGrants
      logger.info({ revision: claimedAt, previous: previous?.holder, released: previous?.released }, 'leadership-claimed')
      return true
    }),
    write: (rows) => enqueue(async () => {
      if (!leading) return 'superseded'
      return await writeWithLease(ownRecord(false), rows)
    }),
    async renew () {
      if (!leading || now() - renewedAt < LeaseTiming.renewIntervalMs || now() - attemptedAt < LeaseTiming.retryDelayMs) return
      await enqueue(async () => {
        if (!leading || now() - renewedAt < LeaseTiming.renewIntervalMs) return
        const outcome = await writeWithLease(ownRecord(false), [])
        if (outcome === 'unavailable') logger.warn({ sinceMs: Math.round(now() - acknowledgedAt) }, 'lease-not-renewed')
      })
    },
    renewNow: () => enqueue(async () => leading && await writeWithLease(ownRecord(false), []) === 'written'),
    resign () { stepDown('other hosts reach the store and this one does not') },
    release: (remainingMs) => enqueue(async () => {
      if (!leading) return
      stepDown('the host is shutting down')
      await writeWithLease(remainingMs === undefined ? ownRecord(true) : { ...ownRecord(true), holdsMs: remainingMs }, [])
    })
  }
}

function parseRecord (value: unknown): LeaseRecord | null {
  if (typeof value !== 'object' || value === null) return null
  const { holder, address, released, holdsMs } = value as Record<string, unknown>
  if (typeof holder !== 'string' || typeof address !== 'string' || typeof released !== 'boolean') return null
  const remainingMs = parseRemainingMs(holdsMs)
  return remainingMs === null ? { holder, address, released } : { holder, address, released, holdsMs: remainingMs }
}

function parseRemainingMs (value: unknown): Record<string, number> | null {
  if (typeof value !== 'object' || value === null) return null
  const entries = Object.entries(value)
  return entries.every(([, remainingMs]) => typeof remainingMs === 'number') ? Object.fromEntries(entries) as Record<string, number> : null
}
