/** Slot limits and failures of the servers that a host sends to, and the choice among them. */
import type { Admission } from './grant_manager.ts'
import { createSlotLimit, type SlotLimit } from './slot_limit.ts'

/** Failures in a row after which a server is left out for a while. */
const EJECTING_FAILURES = 3

/** How long a server is left out, in milliseconds. */
const EJECTION_MS = 2000

interface Track { limit: SlotLimit, slots: number, failures: number, ejectedUntil: number, lastChosen: number }

/** Servers of one host. */
export interface ServerPool {
  limitOf (server: string, slots: number): SlotLimit
  /** Chooses the least loaded of the servers that have room; `null` where none has. */
  choose (admissions: readonly Admission[], slots: number, now: number): Admission | null
  onFailure (server: string, now: number): void
  onSuccess (server: string): void
  /** Starts a server that has come back with a low limit again. */
  reset (server: string): void
}

/**
 * Creates a pool that has met no server.
 *
 * @returns The pool.
 */
export function createServerPool (): ServerPool {
  const tracks = new Map<string, Track>()
  let choices = 0

  function track (server: string, slots: number): Track {
    const known = tracks.get(server)
    if (known !== undefined && known.slots === slots) return known
    const fresh = { limit: createSlotLimit({ slots }), slots, failures: 0, ejectedUntil: 0, lastChosen: 0 }
    tracks.set(server, fresh)
    return fresh
  }

  /** The server with the smaller share of its slots in use; of two alike, the one that was chosen longer ago. */
  function ranksBefore (left: Track, right: Track): boolean {
    const difference = left.limit.inFlight() / left.limit.limit() - right.limit.inFlight() / right.limit.limit()
    return difference < 0 || (difference === 0 && left.lastChosen < right.lastChosen)
  }

  /** Never leaves out more than half of the servers. */
  function withoutEjected (admissions: readonly Admission[], now: number): readonly Admission[] {
    const kept = admissions.filter((admission) => (tracks.get(admission.server.id)?.ejectedUntil ?? 0) <= now)
    return kept.length * 2 >= admissions.length ? kept : admissions
  }

  return {
    limitOf: (server, slots) => track(server, slots).limit,
    choose (admissions, slots, now) {
      let best: { readonly admission: Admission, readonly track: Track } | null = null
      for (const admission of withoutEjected(admissions, now)) {
        const candidate = { admission, track: track(admission.server.id, slots) }
        if (candidate.track.limit.hasRoom() && (best === null || ranksBefore(candidate.track, best.track))) best = candidate
      }
      if (best === null) return null
      best.track.lastChosen = ++choices
      return best.admission
    },
    onFailure (server, now) {
      const known = tracks.get(server)
      if (known === undefined) return
      known.failures++
      if (known.failures >= EJECTING_FAILURES) known.ejectedUntil = now + EJECTION_MS
    },
    onSuccess (server) {
      const known = tracks.get(server)
      if (known !== undefined) known.failures = 0
    },
    reset (server) { tracks.delete(server) }
  }
}
