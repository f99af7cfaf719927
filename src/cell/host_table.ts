/**
 * What a leader knows of the hosts of its cell: promises made to it, dispatch
 * leases it has issued and what each dispatcher reported. All times are the
 * leader's monotonic clock in milliseconds, unless a name says otherwise.
 */
import { CellTiming } from './timing.ts'
import type { LostServer, Pong, PromiseResponse } from './types.ts'

/** One host as its leader sees it. */
export interface HostRecord {
  readonly host: string
  incarnation: number
  /** The host's own time in its newest message. */
  echo: number
  /** When that message arrived. */
  receivedAt: number
  /** The host follows no other leader before this time. */
  promisedUntil: number
  /** No dispatch lease issued to the host lasts beyond this time. */
  leaseUntil: number
  /** Leases issued from now on require this view version; what older views gave has been given to others. */
  floor: number
  /** Number of the pong that the report below is from. */
  sequence: number
  held: number
  applied: number
  pending: readonly string[]
  lost: readonly LostServer[]
  leaving: boolean
}

/** Table of the hosts that a leader knows. */
export interface HostTable {
  get (host: string): HostRecord | undefined
  all (): readonly HostRecord[]
  /** Adds a host that asked to join, or returns the known one. */
  add (host: string, incarnation: number, heard: { readonly echo: number, readonly now: number }): HostRecord
  remove (host: string): void
  onPromise (host: string, answer: PromiseResponse, now: number): void
  onPong (host: string, pong: Pong, now: number): void
  /** End of the authority that a majority of `members` gives. */
  authorityUntil (members: readonly string[]): number
  /** Newest view version that a majority of `members` holds. */
  committedVersion (members: readonly string[]): number
  /** Issues a dispatch lease that ends within the authority; returns its length. */
  issueLease (host: string, authorityUntil: number): number
  /** Whether a host answered lately enough to dispatch. */
  isAlive (host: string, now: number): boolean
}

/**
 * Creates an empty table.
 *
 * @param currentVersion Returns the leader's newest view version; a host that
 *   is met anew may act on no older one.
 * @returns The table of a leader that has just begun.
 * @example
 * ```ts
 * createHostTable(() => 0).authorityUntil(['127.0.0.1:7100']) // 0
 * ```
 */
export function createHostTable (currentVersion: () => number): HostTable {
  const hosts = new Map<string, HostRecord>()

  function add (host: string, incarnation: number, heard: { readonly echo: number, readonly now: number }): HostRecord {
    const known = hosts.get(host)
    if (known !== undefined && known.incarnation >= incarnation) {
      if (known.incarnation === incarnation) hear(known, heard)
      return known
    }
    const fresh: HostRecord = {
      host,
      incarnation,
      echo: heard.echo,
      receivedAt: heard.now,
      promisedUntil: known?.promisedUntil ?? 0,
      leaseUntil: known?.leaseUntil ?? 0,
      floor: known?.floor ?? currentVersion(),
      sequence: 0,
      held: 0,
      applied: 0,
      pending: [],
      lost: [],
      leaving: false
    }
    hosts.set(host, fresh)
    return fresh
  }

  function hear (known: HostRecord, heard: { readonly echo: number, readonly now: number }): boolean {
    if (heard.echo <= known.echo) return false
    known.echo = heard.echo
    known.receivedAt = heard.now
    return true
  }

  function majorityValue (members: readonly string[], value: (known: HostRecord) => number): number {
    const values = members.map((host) => {
      const known = hosts.get(host)
      return known === undefined ? 0 : value(known)
    })
    values.sort((left, right) => right - left)
    return values[Math.floor(members.length / 2)] ?? 0
  }

  return {
    get: (host) => hosts.get(host),
    all: () => [...hosts.values()],
    add,
    remove (host) { hosts.delete(host) },
    onPromise (host, answer, now) {
      const known = add(host, answer.incarnation, { echo: answer.sentAt, now })
      if (known.incarnation !== answer.incarnation) return
      const until = answer.echo + CellTiming.PROMISE_DURATION_MS - CellTiming.CLOCK_DRIFT_MARGIN_MS
      known.promisedUntil = Math.max(known.promisedUntil, until)
    },
    onPong (host, pong, now) {
      const known = add(host, pong.incarnation, { echo: pong.sentAt, now })
      if (known.incarnation !== pong.incarnation) return
      if (pong.promised) {
        const until = pong.echo + CellTiming.PROMISE_DURATION_MS - CellTiming.CLOCK_DRIFT_MARGIN_MS
        known.promisedUntil = Math.max(known.promisedUntil, until)
      }
      if (pong.sequence <= known.sequence) return
      known.sequence = pong.sequence
      known.held = pong.held
      known.applied = pong.applied
      known.pending = pong.pending
      known.lost = pong.lost
      known.leaving = pong.leaving
    },
    authorityUntil: (members) => majorityValue(members, (known) => known.promisedUntil),
    committedVersion: (members) => majorityValue(members, (known) => known.held),
    issueLease (host, authorityUntil) {
      const known = hosts.get(host)
      if (known === undefined || known.echo === 0) return 0
      const length = Math.min(CellTiming.DISPATCH_LEASE_DURATION_MS, Math.floor(authorityUntil - known.receivedAt))
      if (length <= 0) return 0
      known.leaseUntil = Math.max(known.leaseUntil, known.receivedAt + length)
      return length
    },
    isAlive (host, now) {
      const known = hosts.get(host)
      return known !== undefined && now - known.receivedAt < CellTiming.HOST_TIMEOUT_MS
    }
  }
}
