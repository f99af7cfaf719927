/** Shared part of grants to both kinds of server: the assignment, the message schedule and loss detection. */
import { CellTiming, type ViewServer } from '../cell/mod.ts'
import type { GrantOutcome } from './grant_types.ts'
import { InFlightRequests } from './_in_flight_requests.ts'
import type { ServerGrantDump } from './server_grant.ts'

/** Slices that are assigned to a server under one fencing token. */
export interface SliceAssignment {
  readonly token: number
  readonly slices: ReadonlySet<number>
}

/** Number of consecutive messages without a response after which a server counts as lost. */
const LOSS_FAILURE_THRESHOLD = 2

/** Base class of the grants to one server. */
export abstract class BaseGrant {
  protected server: ViewServer
  protected assignment: SliceAssignment | null = null
  protected readonly inFlight = new InFlightRequests()
  protected hasAnswered = false
  protected isConnectionRefused = false
  protected lostToken = 0
  #failures = 0
  #nextMessageAt = 0
  #isAwaitingOutcome = false

  constructor (server: ViewServer) {
    this.server = server
  }

  setAssignment (server: ViewServer | null, slices: readonly number[]): void {
    if (server === null) {
      this.assignment = null
      this.scheduleImmediately()
      return
    }
    this.server = server
    if (this.assignment?.token === server.token) return
    this.assignment = { token: server.token, slices: new Set(slices) }
    this.scheduleImmediately()
  }

  begin (slice: number | null): void { this.inFlight.begin(slice) }

  end (slice: number | null): void {
    this.inFlight.end(slice)
    this.scheduleImmediately()
  }

  protected scheduleImmediately (): void { this.#nextMessageAt = 0 }

  protected tryStartMessage (now: number): boolean {
    if (this.#isAwaitingOutcome || now < this.#nextMessageAt) return false
    this.#nextMessageAt = now + CellTiming.GRANT_RENEWAL_INTERVAL_MS
    this.#isAwaitingOutcome = true
    return true
  }

  protected recordOutcome (outcome: GrantOutcome): void {
    this.#isAwaitingOutcome = false
    this.isConnectionRefused = outcome.kind === 'connection-refused'
    this.#failures = outcome.kind === 'no-answer' ? this.#failures + 1 : 0
    if (outcome.kind === 'answered') this.hasAnswered = true
  }

  /** A lost assignment stays lost and gets no more grants until the leader responds to the loss with another token. */
  protected recordLoss (hasEnded: boolean): void {
    if (this.assignment === null || this.lostToken === this.assignment.token) {
      if (this.assignment?.slices.size === 0 && this.isResponsive()) this.lostToken = 0
      return
    }
    if (!this.isResponsive() && hasEnded) this.lostToken = this.assignment.token
  }

  /** Counts failures instead of elapsed time, so that a pause of this host causes one failure and not the loss of the server. */
  protected isResponsive (): boolean {
    return !this.isConnectionRefused && this.#failures < LOSS_FAILURE_THRESHOLD
  }

  protected isLost (): boolean {
    return this.assignment !== null && this.lostToken === this.assignment.token
  }

  protected dumpOf (confirmedToken: number | null, lapsesInMs: number | null): ServerGrantDump {
    return {
      server: this.server.id,
      token: this.assignment?.token ?? null,
      slices: [...(this.assignment?.slices ?? [])],
      confirmedToken,
      lapsesInMs,
      inFlight: this.inFlight.total,
      lost: this.isLost()
    }
  }
}
