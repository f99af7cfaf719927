/**
 * State that a dispatcher keeps for one backend server: the slices that the
 * view assigns to it, grants that may still be in force, and requests in flight.
 * Times are in milliseconds on the dispatcher's monotonic clock.
 */
import type { ViewServer } from '../cell/mod.ts'
import type { GrantAction, GrantOutcome } from './grant_types.ts'

/** Loss of a server; `held` lists the slices that the server may still be processing. */
export interface ServerLoss {
  readonly token: number
  readonly held: readonly number[]
}

/** State of a server grant in a diagnostic dump. */
export interface ServerGrantDump {
  readonly server: string
  readonly token: number | null
  readonly slices: readonly number[]
  readonly confirmedToken: number | null
  readonly lapsesInMs: number | null
  readonly inFlight: number
  readonly lost: boolean
}

/** Grant to one server; implementations differ for servers that check grants and those that do not. */
export interface ServerGrant {
  /** Sets the assignment of the latest view; `null` if the server is no longer assigned to this host. */
  setAssignment (server: ViewServer | null, slices: readonly number[]): void
  /** Returns the token to send a request with, or `null` if no request may be sent now. */
  admit (slice: number | null, now: number): number | null
  begin (slice: number | null): void
  end (slice: number | null): void
  /** Returns the next grant or probe if one is due; a grant ends no later than `leaseUntil`. */
  nextAction (now: number, leaseUntil: number): GrantAction | null
  onOutcome (action: GrantAction, outcome: GrantOutcome, now: number): void
  /** Reports whether an older assignment may still be in effect. */
  isPending (now: number): boolean
  loss (now: number): ServerLoss | null
  /** Reports whether the server has no assignment, grant or request of this host left. */
  isIdle (now: number): boolean
  dump (now: number): ServerGrantDump
}
