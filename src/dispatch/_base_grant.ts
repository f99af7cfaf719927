/** What the keepers of both kinds of server share: the wanted assignment, the timing of messages, and loss. */
import { CellTiming, type ViewServer } from '../cell/mod.ts'
import type { GrantOutcome } from './grant_types.ts'
import { InFlightRequests } from './_in_flight_requests.ts'
import type { ServerGrantDump } from './server_grant.ts'

/** Slices of a server at one fencing token. */
export interface SliceAssignment {
  readonly token: number
  readonly slices: ReadonlySet<number>
}

/** Messages without an answer in a row after which a server counts as lost. */
const LOSING_FAILURES = 2

/** Base of the keepers. */
export abstract class BaseGrant {
  protected server: ViewServer
  protected assignment: SliceAssignment | null = null
  protected readonly inFlight = new InFlightRequests()
  protected hasAnswered = false
  protected isRefused = false
  protected lostToken = 0
  #failures = 0
  #nextDueAt = 0
  #outstanding = false

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

  protected scheduleImmediately (): void { this.#nextDueAt = 0 }

  protected tryStartMessage (now: number): boolean {
    if (this.#outstanding || now < this.#nextDueAt) return false
    this.#nextDueAt = now + CellTiming.GRANT_RENEWAL_MS
    this.#outstanding = true
    return true
  }

  protected recordOutcome (outcome: GrantOutcome): void {
    this.#outstanding = false
    this.isRefused = outcome.kind === 'connection-refused'
    this.#failures = outcome.kind === 'no-answer' ? this.#failures + 1 : 0
    if (outcome.kind === 'answered') this.hasAnswered = true
  }

  /** A lost assignment stays lost, and is granted no more, until the leader has answered the loss with another token. */
  protected recordLoss (hasEnded: boolean): void {
    if (this.assignment === null || this.lostToken === this.assignment.token) {
      if (this.assignment?.slices.size === 0 && this.isResponsive()) this.lostToken = 0
      return
    }
    if (!this.isResponsive() && hasEnded) this.lostToken = this.assignment.token
  }

  /** Failures are counted, not timed: after a pause of this host one answer counts as missing, not the server. */
  protected isResponsive (): boolean {
    return !this.isRefused && this.#failures < LOSING_FAILURES
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
