/** Assignment of a server that does not check grants and relies on having only one sender. */
import { BaseGrant, type SliceAssignment } from './_base_grant.ts'
import type { GrantAction, GrantOutcome } from './grant_types.ts'
import type { ServerGrant, ServerGrantDump, ServerLoss } from './server_grant.ts'

/** Assignment of one server that does not check grants. */
export class UncheckedServerGrant extends BaseGrant implements ServerGrant {
  admit (slice: number | null, _now: number): number | null {
    if (this.assignment === null || this.isLost() || !this.hasAnswered || !this.isResponsive()) return null
    if (slice !== null && !this.assignment.slices.has(slice)) return null
    return this.assignment.token
  }

  nextAction (now: number, _leaseUntil: number): GrantAction | null {
    if (this.assignment === null || !this.tryStartMessage(now)) return null
    return {
      server: this.server.id,
      address: this.server.address,
      checksGrants: false,
      sentAt: now,
      request: { token: this.assignment.token, boot: '', basis: 0, duration: 0 }
    }
  }

  onOutcome (_action: GrantAction, outcome: GrantOutcome, _now: number): void {
    this.recordOutcome(outcome)
  }

  isPending (_now: number): boolean {
    if (this.assignment === null) return this.inFlight.total > 0
    return !this.hasAnswered || this.inFlight.hasSliceOutside(this.assignment.slices)
  }

  loss (_now: number): ServerLoss | null {
    this.recordLoss(true)
    if (!this.isLost() || this.assignment === null) return null
    return { token: this.assignment.token, held: this.#heldSlices(this.assignment) }
  }

  isIdle (_now: number): boolean {
    return this.assignment === null && this.inFlight.total === 0
  }

  dump (_now: number): ServerGrantDump {
    return this.dumpOf(this.assignment?.token ?? null, null)
  }

  /** Returns slices in flight, or all slices if the server never responded: it may be stuck on requests of a previous sender. */
  #heldSlices (assignment: SliceAssignment): readonly number[] {
    if (!this.hasAnswered && !this.isConnectionRefused) return [...assignment.slices]
    return this.inFlight.slices()
  }
}
