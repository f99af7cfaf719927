/**
 * What a dispatcher keeps about one backend server: what the view assigns to
 * the server, what the server may still believe, and what is in flight there.
 * Times are the dispatcher's monotonic clock in milliseconds.
 */
import type { ViewServer } from '../cell/mod.ts'
import type { GrantAction, GrantOutcome } from './grant_types.ts'

/** A server that is lost, and the slices that may still be at work there. */
export interface ServerLoss {
  readonly token: number
  readonly held: readonly number[]
}

/** State of a server grant as a dump shows it. */
export interface ServerGrantDump {
  readonly server: string
  readonly token: number | null
  readonly slices: readonly number[]
  readonly confirmedToken: number | null
  readonly lapsesInMs: number | null
  readonly inFlight: number
  readonly lost: boolean
}

/** Keeper of one server; servers that check grants and those that do not differ in it. */
export interface ServerGrant {
  /** Sets what the newest view assigns; `null` where the server is not this host's any more. */
  setAssignment (server: ViewServer | null, slices: readonly number[]): void
  /** Returns the token to send a request with, or `null` where none may be sent now. */
  admit (slice: number | null, now: number): number | null
  begin (slice: number | null): void
  end (slice: number | null): void
  /** The next grant or probe to send, if one is due; `leaseUntil` bounds its length. */
  nextAction (now: number, leaseUntil: number): GrantAction | null
  onOutcome (action: GrantAction, outcome: GrantOutcome, now: number): void
  /** Whether an older assignment may still be at work. */
  isPending (now: number): boolean
  loss (now: number): ServerLoss | null
  /** Whether nothing of the server is left to this host. */
  isIdle (now: number): boolean
  dump (now: number): ServerGrantDump
}
