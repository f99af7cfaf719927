/**
 * What a dispatcher keeps about one backend server: what the view assigns to
 * the server, what the server may still believe, and what is in flight there.
 * Times are the dispatcher's monotonic clock in milliseconds.
 */
import { CellTiming, type ViewServer } from '../cell/mod.ts'
import { InFlight } from './_in_flight.ts'
import type { GrantAction, GrantOutcome } from './grant_types.ts'

/** Slices of a server at one fencing token. */
interface Assigned {
  readonly token: number
  readonly slices: ReadonlySet<number>
}

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

/** Messages without an answer in a row after which a server counts as lost. */
const LOSING_FAILURES = 2

/** Keeper of one server; servers that check grants and those that do not differ in it. */
export interface ServerGrant {
  /** Sets what the newest view assigns; `null` where the server is not this host's any more. */
  want (server: ViewServer | null, slices: readonly number[]): void
  /** Returns the token to send a request with, or `null` where none may be sent now. */
  admit (slice: number | null, now: number): number | null
  begin (slice: number | null): void
  end (slice: number | null): void
  /** The next grant or probe to send, if one is due; `leaseUntil` bounds its length. */
  due (now: number, leaseUntil: number): GrantAction | null
  onOutcome (action: GrantAction, outcome: GrantOutcome, now: number): void
  /** Whether an older assignment may still be at work. */
  isPending (now: number): boolean
  loss (now: number): ServerLoss | null
  /** Whether nothing of the server is left to this host. */
  isIdle (now: number): boolean
  dump (now: number): ServerGrantDump
}

/** What both kinds of keeper share: the wanted assignment, timing of messages and loss. */
abstract class BaseGrant {
  protected server: ViewServer
  protected wanted: Assigned | null = null
  protected readonly inFlight = new InFlight()
  protected hasAnswered = false
  protected isRefused = false
  protected lostToken = 0
  #failures = 0
  #nextDueAt = 0
  #outstanding = false

  constructor (server: ViewServer) {
    this.server = server
  }

  want (server: ViewServer | null, slices: readonly number[]): void {
    if (server === null) {
      this.wanted = null
      this.hasten()
      return
    }
    this.server = server
    if (this.wanted?.token === server.token) return
    this.wanted = { token: server.token, slices: new Set(slices) }
    this.hasten()
  }

  begin (slice: number | null): void { this.inFlight.begin(slice) }

  end (slice: number | null): void {
    this.inFlight.end(slice)
    this.hasten()
  }

  protected hasten (): void { this.#nextDueAt = 0 }

  protected takeTurn (now: number): boolean {
    if (this.#outstanding || now < this.#nextDueAt) return false
    this.#nextDueAt = now + CellTiming.GRANT_RENEWAL_MS
    this.#outstanding = true
    return true
  }

  protected noteOutcome (outcome: GrantOutcome): void {
    this.#outstanding = false
    this.isRefused = outcome.kind === 'connection-refused'
    this.#failures = outcome.kind === 'no-answer' ? this.#failures + 1 : 0
    if (outcome.kind === 'answered') this.hasAnswered = true
  }

  /** A lost assignment stays lost, and is granted no more, until the leader has answered the loss with another token. */
  protected noteLoss (hasEnded: boolean): void {
    if (this.wanted === null || this.lostToken === this.wanted.token) {
      if (this.wanted?.slices.size === 0 && this.isResponsive()) this.lostToken = 0
      return
    }
    if (!this.isResponsive() && hasEnded) this.lostToken = this.wanted.token
  }

  /** Failures are counted, not timed: after a pause of this host one answer counts as missing, not the server. */
  protected isResponsive (): boolean {
    return !this.isRefused && this.#failures < LOSING_FAILURES
  }

  protected isLost (): boolean {
    return this.wanted !== null && this.lostToken === this.wanted.token
  }

  protected dumpOf (confirmedToken: number | null, lapsesInMs: number | null): ServerGrantDump {
    return {
      server: this.server.id,
      token: this.wanted?.token ?? null,
      slices: [...(this.wanted?.slices ?? [])],
      confirmedToken,
      lapsesInMs,
      inFlight: this.inFlight.total,
      lost: this.isLost()
    }
  }
}

/** Keeper of a server that checks grants: the server itself refuses what is not granted. */
export class CheckedServerGrant extends BaseGrant implements ServerGrant {
  #confirmed: Assigned | null = null
  #sending: Assigned | null = null
  /** Slices that the server may believe it owns until `#lapseAt`, or by its own clock a drift margin longer. */
  #mayHold = new Set<number>()
  #lapseAt = 0
  #boot = ''
  #basis = 0
  /** When the answer that bore `#basis` arrived. */
  #basisAt = 0

  admit (slice: number | null, now: number): number | null {
    this.#expire(now)
    if (this.wanted === null || this.#confirmed === null || this.isLost()) return null
    if (slice !== null && !(this.wanted.slices.has(slice) && this.#confirmed.slices.has(slice))) return null
    return now < this.#lapseAt - CellTiming.DRIFT_MARGIN_MS ? this.#confirmed.token : null
  }

  due (now: number, leaseUntil: number): GrantAction | null {
    this.#expire(now)
    const target = this.#target()
    if (target === null || !this.takeTurn(now)) return null
    this.#sending = target
    const duration = this.isLost() ? 0 : this.#grantLength(leaseUntil)
    if (duration > 0) {
      for (const slice of target.slices) this.#mayHold.add(slice)
      this.#lapseAt = Math.max(this.#lapseAt, this.#basisAt + duration)
    }
    return {
      server: this.server.id,
      address: this.server.address,
      checksGrants: true,
      sentAt: now,
      request: { token: target.token, ...this.#slicesToSend(target), boot: this.#boot, basis: this.#basis, duration }
    }
  }

  onOutcome (action: GrantAction, outcome: GrantOutcome, now: number): void {
    this.noteOutcome(outcome)
    if (outcome.kind === 'superseded') this.#confirmed = null
    if (outcome.kind !== 'answered') return
    const isSameLife = outcome.answer.boot === this.#boot
    this.#boot = outcome.answer.boot
    this.#basis = outcome.answer.now
    this.#basisAt = now
    if (isSameLife) this.#confirm(action, now)
    else this.#restart()
    if (this.#confirmed === null || this.#confirmed.token !== this.wanted?.token) this.hasten()
  }

  isPending (now: number): boolean {
    this.#expire(now)
    if (this.wanted === null) return this.#mayHold.size > 0 || this.inFlight.total > 0
    if (!this.hasAnswered || this.inFlight.hasOutside(this.wanted.slices)) return true
    return [...this.#mayHold].some((slice) => !this.wanted?.slices.has(slice))
  }

  loss (now: number): ServerLoss | null {
    this.#expire(now)
    this.noteLoss(this.#mayHold.size === 0)
    return this.isLost() && this.wanted !== null ? { token: this.wanted.token, held: [] } : null
  }

  isIdle (now: number): boolean {
    this.#expire(now)
    return this.wanted === null && this.#mayHold.size === 0 && this.inFlight.total === 0
  }

  dump (now: number): ServerGrantDump {
    return this.dumpOf(this.#confirmed?.token ?? null, this.#lapseAt - now)
  }

  /** A slice leaves the server only after its requests have ended. */
  #target (): Assigned | null {
    const kept = this.wanted?.slices ?? new Set<number>()
    if (this.#confirmed !== null && this.#mustWait(kept)) return this.#confirmed
    if (this.wanted !== null) return this.wanted
    if (this.#sending === null || this.#mayHold.size === 0) return null
    const isRelease = this.#sending.token % 2 === 1
    return { token: isRelease ? this.#sending.token : this.#sending.token + 1, slices: kept }
  }

  /** Slices go along until the server has confirmed them, and then no more. */
  #slicesToSend (target: Assigned): { readonly slices?: readonly number[] } {
    return this.#confirmed?.token === target.token ? {} : { slices: [...target.slices] }
  }

  #mustWait (kept: ReadonlySet<number>): boolean {
    return this.wanted === null ? this.inFlight.total > 0 : this.inFlight.hasOutside(kept)
  }

  #grantLength (leaseUntil: number): number {
    if (this.#basisAt === 0) return 0
    return Math.max(0, Math.floor(Math.min(CellTiming.GRANT_MS, leaseUntil - this.#basisAt)))
  }

  #confirm (action: GrantAction, now: number): void {
    if (this.#sending === null || action.request.token !== this.#sending.token) return
    this.#mayHold = new Set(this.#sending.slices)
    this.#confirmed = action.request.duration > 0 && now < this.#lapseAt ? this.#sending : null
  }

  /** A new life of the server has forgotten every grant. */
  #restart (): void {
    this.#mayHold.clear()
    this.#confirmed = null
  }

  #expire (now: number): void {
    const isDead = this.isRefused && this.inFlight.total === 0
    if (now < this.#lapseAt + CellTiming.DRIFT_MARGIN_MS && !isDead) return
    this.#mayHold.clear()
    this.#confirmed = null
  }
}

/** Keeper of a server that does not check grants: only its sole sender protects it. */
export class UncheckedServerGrant extends BaseGrant implements ServerGrant {
  admit (slice: number | null, _now: number): number | null {
    if (this.wanted === null || this.isLost() || !this.hasAnswered || !this.isResponsive()) return null
    if (slice !== null && !this.wanted.slices.has(slice)) return null
    return this.wanted.token
  }

  due (now: number, _leaseUntil: number): GrantAction | null {
    if (this.wanted === null || !this.takeTurn(now)) return null
    return {
      server: this.server.id,
      address: this.server.address,
      checksGrants: false,
      sentAt: now,
      request: { token: this.wanted.token, boot: '', basis: 0, duration: 0 }
    }
  }

  onOutcome (_action: GrantAction, outcome: GrantOutcome, _now: number): void {
    this.noteOutcome(outcome)
  }

  isPending (_now: number): boolean {
    if (this.wanted === null) return this.inFlight.total > 0
    return !this.hasAnswered || this.inFlight.hasOutside(this.wanted.slices)
  }

  loss (_now: number): ServerLoss | null {
    this.noteLoss(true)
    if (!this.isLost() || this.wanted === null) return null
    return { token: this.wanted.token, held: this.#held(this.wanted) }
  }

  isIdle (_now: number): boolean {
    return this.wanted === null && this.inFlight.total === 0
  }

  dump (_now: number): ServerGrantDump {
    return this.dumpOf(this.wanted?.token ?? null, null)
  }

  /** A server that never answered may be frozen with requests of an earlier sender. */
  #held (wanted: Assigned): readonly number[] {
    if (!this.hasAnswered && !this.isRefused) return [...wanted.slices]
    return this.inFlight.slices()
  }
}
