/** Grants to a server that checks them: the server itself refuses what is not granted. */
import { CellTiming } from '../cell/mod.ts'
import { BaseGrant, type SliceAssignment } from './_base_grant.ts'
import type { GrantAction, GrantOutcome } from './grant_types.ts'
import type { ServerGrant, ServerGrantDump, ServerLoss } from './server_grant.ts'

/** Keeper of a server that checks grants. */
export class CheckedServerGrant extends BaseGrant implements ServerGrant {
  #confirmed: SliceAssignment | null = null
  #sending: SliceAssignment | null = null
  /** Slices that the server may believe it owns until `#lapseAt`, or by its own clock a drift margin longer. */
  #mayHold = new Set<number>()
  #lapseAt = 0
  #boot = ''
  #basis = 0
  /** When the answer that bore `#basis` arrived. */
  #basisAt = 0

  admit (slice: number | null, now: number): number | null {
    this.#expire(now)
    if (this.assignment === null || this.#confirmed === null || this.isLost()) return null
    if (slice !== null && !(this.assignment.slices.has(slice) && this.#confirmed.slices.has(slice))) return null
    return now < this.#lapseAt - CellTiming.DRIFT_MARGIN_MS ? this.#confirmed.token : null
  }

  nextAction (now: number, leaseUntil: number): GrantAction | null {
    this.#expire(now)
    const target = this.#target()
    if (target === null || !this.tryStartMessage(now)) return null
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
    this.recordOutcome(outcome)
    if (outcome.kind === 'superseded') this.#confirmed = null
    if (outcome.kind !== 'answered') return
    const isSameLife = outcome.answer.boot === this.#boot
    this.#boot = outcome.answer.boot
    this.#basis = outcome.answer.now
    this.#basisAt = now
    if (isSameLife) this.#confirm(action, now)
    else this.#restart()
    if (this.#confirmed === null || this.#confirmed.token !== this.assignment?.token) this.scheduleImmediately()
  }

  isPending (now: number): boolean {
    this.#expire(now)
    if (this.assignment === null) return this.#mayHold.size > 0 || this.inFlight.total > 0
    if (!this.hasAnswered || this.inFlight.hasSliceOutside(this.assignment.slices)) return true
    return [...this.#mayHold].some((slice) => !this.assignment?.slices.has(slice))
  }

  loss (now: number): ServerLoss | null {
    this.#expire(now)
    this.recordLoss(this.#mayHold.size === 0)
    return this.isLost() && this.assignment !== null ? { token: this.assignment.token, held: [] } : null
  }

  isIdle (now: number): boolean {
    this.#expire(now)
    return this.assignment === null && this.#mayHold.size === 0 && this.inFlight.total === 0
  }

  dump (now: number): ServerGrantDump {
    return this.dumpOf(this.#confirmed?.token ?? null, this.#lapseAt - now)
  }

  /** A slice leaves the server only after its requests have ended. */
  #target (): SliceAssignment | null {
    const kept = this.assignment?.slices ?? new Set<number>()
    if (this.#confirmed !== null && this.#mustWait(kept)) return this.#confirmed
    if (this.assignment !== null) return this.assignment
    if (this.#sending === null || this.#mayHold.size === 0) return null
    const isRelease = this.#sending.token % 2 === 1
    return { token: isRelease ? this.#sending.token : this.#sending.token + 1, slices: kept }
  }

  /** Slices go along until the server has confirmed them, and then no more. */
  #slicesToSend (target: SliceAssignment): { readonly slices?: readonly number[] } {
    return this.#confirmed?.token === target.token ? {} : { slices: [...target.slices] }
  }

  #mustWait (kept: ReadonlySet<number>): boolean {
    return this.assignment === null ? this.inFlight.total > 0 : this.inFlight.hasSliceOutside(kept)
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
