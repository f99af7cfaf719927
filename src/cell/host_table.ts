/**
 * The leader's table of the hosts of its cell: promises to the leader, dispatch
 * leases that it has issued and reports of the dispatchers. All times are in
 * milliseconds of the leader's monotonic clock, unless stated otherwise.
 */
import { CellTiming } from './timing.ts'
import type { LostServer, Pong, PromiseResponse } from './types.ts'

/** The leader's record of one host. */
export interface HostRecord {
  readonly host: string
  incarnation: number
  /** Time of the host's own clock in its newest message, in milliseconds. */
  echo: number
  /** Arrival time of that message. */
  receivedAt: number
  /** The host follows no other leader before this time. */
  promisedUntil: number
  /** No dispatch lease issued to the host lasts beyond this time. */
  leaseUntil: number
  /** Minimum view version for new leases; assignments of older views may have gone to other hosts. */
  floor: number
  /** Sequence number of the pong that contained the report below. */
  sequence: number
  held: number
  applied: number
  pending: readonly string[]
  lost: readonly LostServer[]
  leaving: boolean
}

/** Table of the hosts in a cell, kept by the leader. */
export interface HostTable {
  get (host: string): HostRecord | undefined
  all (): readonly HostRecord[]
  /** Adds a host or a newer incarnation of it, or updates the message times; returns the record. */
  add (host: string, incarnation: number, received: { readonly echo: number, readonly now: number }): HostRecord
  remove (host: string): void
  onPromise (host: string, response: PromiseResponse, now: number): void
  onPong (host: string, pong: Pong, now: number): void
  /** Time until which a majority of `members` has promised to follow the leader. */
  authorityUntil (members: readonly string[]): number
  /** Newest view version that a majority of `members` has stored. */
  committedVersion (members: readonly string[]): number
  /** Issues a dispatch lease that does not outlast the authority; returns its duration in milliseconds, or 0 if none can be issued. */
  issueLease (host: string, authorityUntil: number): number
  /** Whether a host has sent a message recently enough to dispatch. */
  isAlive (host: string, now: number): boolean
}

/**
 * Creates an empty table.
 *
 * @param currentVersion Returns the leader's newest view version, the minimum
 *   version under which a newly added host may dispatch.
 * @returns The empty table.
 * @example
 * ```ts
 * createHostTable(() => 0).authorityUntil(['127.0.0.1:7100']) // 0
 * ```
 */
export function createHostTable (currentVersion: () => number): HostTable {
  const hosts = new Map<string, HostRecord>()

  function add (host: string, incarnation: number, received: { readonly echo: number, readonly now: number }): HostRecord {
    const record = hosts.get(host)
    if (record !== undefined && record.incarnation >= incarnation) {
      if (record.incarnation === incarnation) recordMessage(record, received)
      return record
    }
    const added: HostRecord = {
      host,
      incarnation,
      echo: received.echo,
      receivedAt: received.now,
      promisedUntil: record?.promisedUntil ?? 0,
      leaseUntil: record?.leaseUntil ?? 0,
      floor: record?.floor ?? currentVersion(),
      sequence: 0,
      held: 0,
      applied: 0,
      pending: [],
      lost: [],
      leaving: false
    }
    hosts.set(host, added)
    return added
  }

  function recordMessage (record: HostRecord, received: { readonly echo: number, readonly now: number }): boolean {
    if (received.echo <= record.echo) return false
    record.echo = received.echo
    record.receivedAt = received.now
    return true
  }

  function majorityValue (members: readonly string[], value: (record: HostRecord) => number): number {
    const values = members.map((host) => {
      const record = hosts.get(host)
      return record === undefined ? 0 : value(record)
    })
    values.sort((left, right) => right - left)
    return values[Math.floor(members.length / 2)] ?? 0
  }

  return {
    get: (host) => hosts.get(host),
    all: () => [...hosts.values()],
    add,
    remove (host) { hosts.delete(host) },
    onPromise (host, response, now) {
      const record = add(host, response.incarnation, { echo: response.sentAt, now })
      if (record.incarnation !== response.incarnation) return
      const until = response.echo + CellTiming.PROMISE_DURATION_MS - CellTiming.CLOCK_DRIFT_MARGIN_MS
      record.promisedUntil = Math.max(record.promisedUntil, until)
    },
    onPong (host, pong, now) {
      const record = add(host, pong.incarnation, { echo: pong.sentAt, now })
      if (record.incarnation !== pong.incarnation) return
      if (pong.promised) {
        const until = pong.echo + CellTiming.PROMISE_DURATION_MS - CellTiming.CLOCK_DRIFT_MARGIN_MS
        record.promisedUntil = Math.max(record.promisedUntil, until)
      }
      if (pong.sequence <= record.sequence) return
      record.sequence = pong.sequence
      record.held = pong.held
      record.applied = pong.applied
      record.pending = pong.pending
      record.lost = pong.lost
      record.leaving = pong.leaving
    },
    authorityUntil: (members) => majorityValue(members, (record) => record.promisedUntil),
    committedVersion: (members) => majorityValue(members, (record) => record.held),
    issueLease (host, authorityUntil) {
      const record = hosts.get(host)
      if (record === undefined || record.echo === 0) return 0
      const length = Math.min(CellTiming.DISPATCH_LEASE_DURATION_MS, Math.floor(authorityUntil - record.receivedAt))
      if (length <= 0) return 0
      record.leaseUntil = Math.max(record.leaseUntil, record.receivedAt + length)
      return length
    },
    isAlive (host, now) {
      const record = hosts.get(host)
      return record !== undefined && now - record.receivedAt < CellTiming.HOST_TIMEOUT_MS
    }
  }
}
