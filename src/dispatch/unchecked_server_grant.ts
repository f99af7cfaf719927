/** Assignment of a server that does not check grants: only its sole sender protects it. */
import { BaseGrant, type Assigned } from './_base_grant.ts'
import type { GrantAction, GrantOutcome } from './grant_types.ts'
import type { ServerGrant, ServerGrantDump, ServerLoss } from './server_grant.ts'

/** Keeper of a server that does not check grants. */
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
