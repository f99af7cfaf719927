/** Grants to a server that checks them and refuses requests for slices that are not granted. */
import { CellTiming } from '../cell/mod.ts'
import { BaseGrant, type SliceAssignment } from './_base_grant.ts'
import type { GrantAction, GrantOutcome } from './grant_types.ts'
import type { ServerGrant, ServerGrantDump, ServerLoss } from './server_grant.ts'

/** Grant to one server that checks grants. */
export class CheckedServerGrant extends BaseGrant implements ServerGrant {
  #confirmed: SliceAssignment | null = null
  #lastSent: SliceAssignment | null = null
  /** Slices that may still be granted until `#grantEndsAt`, or a drift margin later by the server's clock. */
  #possiblyGranted = new Set<number>()
  #grantEndsAt = 0
  #boot = ''
  #basis = 0
  /** When the response that contained `#basis` arrived. */
  #basisReceivedAt = 0

  admit (slice: number | null, now: number): number | null {
    this.#expireGrant(now)
    if (this.assignment === null || this.#confirmed === null || this.isLost()) return null
    if (slice !== null && !(this.assignment.slices.has(slice) && this.#confirmed.slices.has(slice))) return null
    return now < this.#grantEndsAt - CellTiming.CLOCK_DRIFT_MARGIN_MS ? this.#confirmed.token : null
  }

  nextAction (now: number, leaseUntil: number): GrantAction | null {
    this.#expireGrant(now)
    const target = this.#nextAssignment()
    if (target === null || !this.tryStartMessage(now)) return null
    this.#lastSent = target
    const duration = this.isLost() ? 0 : this.#grantDuration(leaseUntil)
    if (duration > 0) {
      for (const slice of target.slices) this.#possiblyGranted.add(slice)
      this.#grantEndsAt = Math.max(this.#grantEndsAt, this.#basisReceivedAt + duration)
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
    const isSameIncarnation = outcome.answer.boot === this.#boot
    this.#boot = outcome.answer.boot
    this.#basis = outcome.answer.now
    this.#basisReceivedAt = now
    if (isSameIncarnation) this.#confirm(action, now)
    else this.#onServerRestart()
    if (this.#confirmed === null || this.#confirmed.token !== this.assignment?.token) this.scheduleImmediately()
  }

  isPending (now: number): boolean {
    this.#expireGrant(now)
    if (this.assignment === null) return this.#possiblyGranted.size > 0 || this.inFlight.total > 0
    if (!this.hasAnswered || this.inFlight.hasSliceOutside(this.assignment.slices)) return true
    return [...this.#possiblyGranted].some((slice) => !this.assignment?.slices.has(slice))
  }

  loss (now: number): ServerLoss | null {
    this.#expireGrant(now)
    this.recordLoss(this.#possiblyGranted.size === 0)
    return this.isLost() && this.assignment !== null ? { token: this.assignment.token, held: [] } : null
  }

  isIdle (now: number): boolean {
    this.#expireGrant(now)
    return this.assignment === null && this.#possiblyGranted.size === 0 && this.inFlight.total === 0
  }

  dump (now: number): ServerGrantDump {
    return this.dumpOf(this.#confirmed?.token ?? null, this.#grantEndsAt - now)
  }

  /** Returns the assignment to send next. A slice is removed from the server only after its requests have ended. */
  #nextAssignment (): SliceAssignment | null {
    const kept = this.assignment?.slices ?? new Set<number>()
    if (this.#confirmed !== null && this.#mustDrain(kept)) return this.#confirmed
    if (this.assignment !== null) return this.assignment
    if (this.#lastSent === null || this.#possiblyGranted.size === 0) return null
    const isRelease = this.#lastSent.token % 2 === 1
    return { token: isRelease ? this.#lastSent.token : this.#lastSent.token + 1, slices: kept }
  }

  /** Returns the slices until the server has confirmed them; renewals omit them. */
  #slicesToSend (target: SliceAssignment): { readonly slices?: readonly number[] } {
    return this.#confirmed?.token === target.token ? {} : { slices: [...target.slices] }
  }

  #mustDrain (kept: ReadonlySet<number>): boolean {
    return this.assignment === null ? this.inFlight.total > 0 : this.inFlight.hasSliceOutside(kept)
  }

  #grantDuration (leaseUntil: number): number {
    if (this.#basisReceivedAt === 0) return 0
    return Math.max(0, Math.floor(Math.min(CellTiming.GRANT_DURATION_MS, leaseUntil - this.#basisReceivedAt)))
  }

  #confirm (action: GrantAction, now: number): void {
    if (this.#lastSent === null || action.request.token !== this.#lastSent.token) return
    this.#possiblyGranted = new Set(this.#lastSent.slices)
    this.#confirmed = action.request.duration > 0 && now < this.#grantEndsAt ? this.#lastSent : null
  }

  /** Clears all grants, as a restarted server has lost them. */
  #onServerRestart (): void {
    this.#possiblyGranted.clear()
    this.#confirmed = null
  }

  #expireGrant (now: number): void {
    const isServerDown = this.isConnectionRefused && this.inFlight.total === 0
    if (now < this.#grantEndsAt + CellTiming.CLOCK_DRIFT_MARGIN_MS && !isServerDown) return
    this.#possiblyGranted.clear()
    this.#confirmed = null
  }
}
