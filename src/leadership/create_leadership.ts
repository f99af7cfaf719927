/**
 * Leader election with a lease in the table service.
 *
 * The leader renews its lease by rewriting the lease's row. Another host may
 * claim the lease once the row has stayed unchanged for longer than the lease
 * lasts, when the holder has released it, or when the holder's process is known
 * to have ended. A leader writes its other rows in the same conditional write as
 * the lease, so a superseded leader cannot change stored data.
 *
 * A lease that was written in an earlier era of the store than it is read in has
 * been restored from a copy. It does not show who leads: a later lease, which the
 * store has lost, may still be valid. Only the last holder may write a restored
 * lease at once, if no other host can have claimed it before the restore; every
 * other host first waits until any lost lease has expired.
 */
import type { Logger } from '../logging/mod.ts'
import type { RowWrite, TableRow, TableService } from '../ports/mod.ts'
import { comparePositions, createEraMonitor, FIRST_ERA, type StorePosition } from '../store_history/mod.ts'
import { parseLease, type LeaseRecord } from './lease_record.ts'

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
  storeRecoveryMs: 1200,
  /** Extra time that the last holder waits before it writes a restored lease, to allow for clock drift between hosts. It is shorter than the margin of a claim, so the last holder, which knows all grants, leads again before others claim. */
  restoredLeaseMarginMs: 60
} as const

/** The lease's row as read from the table service; its revision is 0 and its value `null` if there is no row. */
export interface ObservedLease extends StorePosition {
  readonly value: unknown
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
  /** Number of hosts that share limits. It is stored with the lease, since a host that has just started may lead only a part of them. Default: not stored. */
  readonly hostCount?: { readonly known: () => number, readonly record: (hosts: number) => void }
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
  /** Whether this process has claimed the lease and not lost it; the lease may have expired. */
  isHolder (): boolean
  /** Position of the last lease that this process wrote; it is after those of all earlier leaders, whatever the store has lost. */
  heldPosition (): StorePosition
  /** Era of the last observed lease. */
  era (): number
  /** Whether the last observed lease was written in an earlier era, or may be missing because of a restore. */
  isLeaseRestored (): boolean
  /** When every lease of an earlier era has certainly expired, in milliseconds of the monotonic clock; `-Infinity` in the first era. */
  earlierLeasesEndAt (): number
  /** Applies the lease's row as read from the table service. */
  observeLease (row: ObservedLease): void
  /** Last observed lease and the position of its row; `null` before the first. */
  observedLease (): ObservedLease | null
  /** Records the current position of a row that is written together with the lease. */
  recordPosition (key: string, position: StorePosition): void
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
  /** Renews the lease if a renewal is due; returns whether it wrote a restored lease, so that rows that are written with the lease may have to be written again. */
  renew (): Promise<boolean>
  /** Renews the lease whether or not a renewal is due; returns whether the store responded. */
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
  const eras = createEraMonitor(now)
  let lastLease: { readonly position: StorePosition, readonly record: LeaseRecord | null, readonly firstSeenAt: number } | null = null
  let endedHolder: string | null = null
  let leading = false
  let heldPosition: StorePosition = { era: 0, revision: 0 }
  let grantsBeforeClaim: PreviousGrants = { kind: 'unknown', lastPossibleGrantAt: -Infinity }
  let storeRespondsSince: number | null = null
  let lastReadAt = -Infinity
  let validUntil = 0
  let validUntilWallClock = 0
  let acknowledgedAt = 0
  /** When the last acknowledged renewal was sent, and its era. */
  let renewedAt = 0
  let renewedAtWallClock = 0
  let renewedInEra = 0
  /** First observed position of the lease in the present era, and when it was observed. */
  let eraStart: StorePosition = { era: 0, revision: 0 }
  let eraSeenAtWallClock = 0
  let attemptedAt = 0
  /** Position of the lease that the last refused write met; each is logged once. */
  let refusedBy: StorePosition | null = null
  let queue: Promise<unknown> = Promise.resolve()
  const positions = new Map<string, StorePosition>()

  function ownRecord (released: boolean): LeaseRecord {
    const hosts = options.hostCount?.known() ?? 0
    return { holder: options.holder, address: options.address, released, era: eras.era(), ...(hosts > 0 ? { hosts } : {}) }
  }

  function isLeaseRestored (): boolean {
    if (lastLease === null) return false
    return lastLease.record === null ? lastLease.position.era > FIRST_ERA : lastLease.record.era < lastLease.position.era
  }

  /** Revision that a row must have for a write to succeed; a revision of another era says nothing about the row. */
  function expectedRevision (position: StorePosition | undefined): number {
    return position?.era === eras.era() ? position.revision : 0
  }

  /** Whether this process, which holds the lease, may write it: a restored lease only if the store can't have lost another holder's, or once all others have expired. */
  function mayRenew (): boolean {
    return !isLeaseRestored() || isLeading() || wasRestoredBeforeOtherClaims() || now() >= leaseEndsAt() + LeaseTiming.restoredLeaseMarginMs
  }

  /** Whether the store was restored before any other host could claim the lease that this process renewed last. */
  function wasRestoredBeforeOtherClaims (): boolean {
    // A late write of an earlier era may have replaced the lease of a holder in this one.
    if (renewedInEra >= eras.era() || lastLease === null || comparePositions(lastLease.position, eraStart) !== 0) return false
    // The monotonic clock stops while the machine is suspended; the wall clock does not.
    const sinceRenewalMs = Math.max(eras.firstSeenAt() - renewedAt, eraSeenAtWallClock - renewedAtWallClock)
    return sinceRenewalMs < LeaseTiming.durationMs + LeaseTiming.claimMarginMs - LeaseTiming.restoredLeaseMarginMs
  }

  /** When the last observed lease, and every lease of an earlier era, has certainly expired. A late write of an earlier era may have replaced a valid lease. */
  function leaseEndsAt (): number {
    return Math.max(earlierLeasesEndAt(), (lastLease?.firstSeenAt ?? -Infinity) + LeaseTiming.durationMs)
  }

  function earlierLeasesEndAt (): number {
    return eras.era() === FIRST_ERA ? -Infinity : eras.firstSeenAt() + LeaseTiming.durationMs
  }

  function stepDown (cause: string): void {
    if (!leading) return
    leading = false
    logger.warn({ cause, ...lastLease?.position }, 'leadership-lost')
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
    renewedAtWallClock = sentAtWallClock
    renewedInEra = eras.era()
  }

  function observeLease (row: ObservedLease): void {
    const position = { era: row.era, revision: row.revision }
    if (lastLease !== null && comparePositions(position, lastLease.position) <= 0) return
    const isLaterEra = eras.record(row.era)
    if (isLaterEra) {
      eraStart = position
      eraSeenAtWallClock = wallClock()
    }
    const isRestore = isLaterEra && lastLease !== null
    const record = row.revision === 0 ? null : parseLease(row)
    if (record === null && row.revision !== 0) logger.warn(position, 'lease-unreadable')
    lastLease = { position, record, firstSeenAt: now() }
    // What this process has written itself would keep its number for ever.
    if (record?.hosts !== undefined && record.holder !== options.holder) options.hostCount?.record(record.hosts)
    if (isRestore) logger.warn({ ...position, holder: record?.holder, writtenInEra: record?.era, leading }, 'lease-restored')
    if (!leading || record === null || isLeaseRestored()) return
    if (record.holder !== options.holder) stepDown('another host holds the lease')
    // A write took effect whose response was lost.
    else heldPosition = position
  }

  function recordRefusal (current: readonly TableRow[], era: number): void {
    const lease = current.find((row) => row.key === LEASE_KEY)
    const position = { era, revision: lease?.revision ?? 0 }
    if (refusedBy !== null && comparePositions(position, refusedBy) === 0) return
    refusedBy = position
    logger.warn({ expected: lastLease?.position, current: position, holder: lease === undefined ? undefined : parseLease(lease)?.holder }, 'lease-write-refused')
  }

  /** Writes the lease and other rows in one conditional write; returns `rows-changed` if the lease was as expected and another row was not. */
  async function writeWithLease (record: LeaseRecord, rows: ReadonlyArray<Omit<RowWrite, 'expectedRevision'>>): Promise<LeaderWriteResult | 'rows-changed'> {
    const sentAt = now()
    const sentAtWallClock = wallClock()
    attemptedAt = sentAt
    const writes: RowWrite[] = [
      { key: LEASE_KEY, expectedRevision: expectedRevision(lastLease?.position), value: record },
      ...rows.map((row) => ({ ...row, expectedRevision: expectedRevision(positions.get(row.key)) }))
    ]
    const result = await table.write(writes)
    if (result.ok && result.value.era === record.era) {
      lastLease = { position: result.value, record, firstSeenAt: now() }
      heldPosition = result.value
      for (const row of rows) positions.set(row.key, result.value)
      extend(sentAt, sentAtWallClock)
      return 'written'
    }
    if (result.ok) {
      // The store was restored meanwhile, and the row happens to have the expected revision again: the condition did not hold for the row that was meant.
      observeLease({ ...result.value, value: record })
      return 'unavailable'
    }
    if (result.error.kind === 'unavailable') return 'unavailable'
    const { current, era } = result.error
    const expected = lastLease?.position
    recordRefusal(current, era)
    for (const write of writes) {
      const row = current.find((candidate) => candidate.key === write.key) ?? { era, revision: 0, value: null }
      if (write.key === LEASE_KEY) observeLease(row)
      else positions.set(write.key, { era, revision: row.revision })
    }
    if (lastLease?.position === expected && leading) return 'rows-changed'
    // This process still holds the lease: an earlier write took effect, but its response was lost; or the store has been restored.
    return lastLease?.record?.holder === options.holder || isLeaseRestored() ? 'unavailable' : 'superseded'
  }

  /** Writes the lease as its holder. */
  async function writeAsHolder (rows: ReadonlyArray<Omit<RowWrite, 'expectedRevision'>>): Promise<LeaderWriteResult | 'rows-changed'> {
    if (!mayRenew()) return 'unavailable'
    const isRestored = isLeaseRestored()
    const outcome = await writeWithLease(ownRecord(false), rows)
    if (isRestored && outcome === 'written') logger.info(heldPosition, 'leadership-restored')
    return outcome
  }

  function describePreviousGrants (): PreviousGrants {
    if (isLeaseRestored()) return { kind: 'unknown', lastPossibleGrantAt: leaseEndsAt() }
    if (lastLease === null || lastLease.position.revision === 0) return { kind: 'known', asOf: now(), remainingMs: {} }
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
    isHolder: () => leading,
    heldPosition: () => heldPosition,
    era: eras.era,
    isLeaseRestored,
    earlierLeasesEndAt,
    observeLease,
    observedLease: () => lastLease === null ? null : { ...lastLease.position, value: lastLease.record },
    lease: () => lastLease?.record ?? null,
    recordPosition (key, position) { positions.set(key, position) },
    recordEnded (holder) { endedHolder = holder },
    recordRead (responded) {
      // After a gap between reads, it is unknown whether the store was responding in between.
      if (!responded) storeRespondsSince = null
      else if (storeRespondsSince === null || now() - lastReadAt > LeaseTiming.durationMs) storeRespondsSince = now()
      lastReadAt = now()
    },
    mayClaim (isHolderResponding = false) {
      if (lastLease === null || leading) return false
      if (isLeaseRestored()) {
        const recoveryMs = isHolderResponding ? LeaseTiming.storeRecoveryMs : 0
        return now() > leaseEndsAt() + LeaseTiming.claimMarginMs + recoveryMs
      }
      if (lastLease.record === null || lastLease.record.released || lastLease.record.holder === endedHolder) return true
      // An earlier claim took effect, but its response was lost.
      if (lastLease.record.holder === options.holder) return true
      if (now() - lastLease.firstSeenAt <= LeaseTiming.durationMs + LeaseTiming.claimMarginMs) return false
      return !isHolderResponding || (storeRespondsSince !== null && now() - storeRespondsSince >= LeaseTiming.storeRecoveryMs)
    },
    previousGrants: () => grantsBeforeClaim,
    claimDelayMs () {
      if (lastLease === null) return 0
      return Math.max(0, leaseEndsAt() + LeaseTiming.claimMarginMs - now())
    },
    claim: () => enqueue(async () => {
      if (leading || (isLeaseRestored() && now() <= leaseEndsAt() + LeaseTiming.claimMarginMs)) return false
      const previous = lastLease?.record
      const previousGrants = describePreviousGrants()
      const outcome = await writeWithLease(ownRecord(false), [])
      if (outcome !== 'written') return false
      leading = true
      grantsBeforeClaim = previousGrants
      logger.info({ ...heldPosition, previous: previous?.holder, released: previous?.released }, 'leadership-claimed')
      return true
    }),
    write: (rows) => enqueue(async () => {
      if (!leading) return 'superseded'
      const outcome = await writeAsHolder(rows)
      // The refused write has returned the current positions.
      const repeated = outcome === 'rows-changed' ? await writeAsHolder(rows) : outcome
      return repeated === 'rows-changed' ? 'unavailable' : repeated
    }),
    async renew () {
      if (!leading || now() - renewedAt < LeaseTiming.renewIntervalMs || now() - attemptedAt < LeaseTiming.retryDelayMs) return false
      return await enqueue(async () => {
        if (!leading || now() - renewedAt < LeaseTiming.renewIntervalMs) return false
        const isRestored = isLeaseRestored()
        const outcome = await writeAsHolder([])
        if (outcome === 'unavailable') logger.warn({ sinceMs: Math.round(now() - acknowledgedAt) }, 'lease-not-renewed')
        return isRestored && outcome === 'written'
      })
    },
    renewNow: () => enqueue(async () => {
      if (!leading) return false
      const before = lastLease?.position
      // While the lease may not be written yet, a response has just shown that the store was restored.
      return !mayRenew() || await writeAsHolder([]) === 'written' || lastLease?.position !== before
    }),
    resign () { stepDown('other hosts reach the store and this one does not') },
    release: (remainingMs) => enqueue(async () => {
      if (!leading) return
      const mayWrite = mayRenew()
      stepDown('the host is shutting down')
      if (!mayWrite) return
      await writeWithLease(remainingMs === undefined ? ownRecord(true) : { ...ownRecord(true), holdsMs: remainingMs }, [])
    })
  }
}
