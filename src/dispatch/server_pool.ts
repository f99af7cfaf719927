/** Tracks slot limits and failures of the servers that a host sends to, and chooses among them. */
import type { Admission } from './grant_manager.ts'
import { createSlotLimit, type SlotLimit } from './slot_limit.ts'

/** Number of consecutive failures after which a server is ejected temporarily. */
const EJECTION_FAILURE_THRESHOLD = 3

/** How long a server stays ejected, in milliseconds. */
const EJECTION_MS = 2000

interface ServerStatistics { limit: SlotLimit, slots: number, failures: number, ejectedUntil: number, lastChoice: number }

/** Server pool of one host. */
export interface ServerPool {
  limitOf (server: string, slots: number): SlotLimit
  /** Returns the least loaded of the servers with a free slot, or `null` if no server has one. */
  choose (admissions: readonly Admission[], slots: number, now: number): Admission | null
  onFailure (server: string, now: number): void
  onSuccess (server: string): void
  /** Discards the statistics of a server, so that after a restart its limit is low again. */
  reset (server: string): void
}

/**
 * Creates an empty pool.
 *
 * @returns The pool.
 */
export function createServerPool (): ServerPool {
  const statisticsByServer = new Map<string, ServerStatistics>()
  let choiceCount = 0

  function statisticsOf (server: string, slots: number): ServerStatistics {
    const known = statisticsByServer.get(server)
    if (known !== undefined && known.slots === slots) return known
    const created = { limit: createSlotLimit({ slots }), slots, failures: 0, ejectedUntil: 0, lastChoice: 0 }
    statisticsByServer.set(server, created)
    return created
  }

  /** Ranks servers by the share of their limit in use; on a tie, the least recently chosen server comes first. */
  function ranksBefore (left: ServerStatistics, right: ServerStatistics): boolean {
    const difference = left.limit.inFlight() / left.limit.limit() - right.limit.inFlight() / right.limit.limit()
    return difference < 0 || (difference === 0 && left.lastChoice < right.lastChoice)
  }

  /** Excludes ejected servers, unless they are more than half of the servers. */
  function withoutEjected (admissions: readonly Admission[], now: number): readonly Admission[] {
    const kept = admissions.filter((admission) => (statisticsByServer.get(admission.server.id)?.ejectedUntil ?? 0) <= now)
    return kept.length * 2 >= admissions.length ? kept : admissions
  }

  return {
    limitOf: (server, slots) => statisticsOf(server, slots).limit,
    choose (admissions, slots, now) {
      let best: { readonly admission: Admission, readonly statistics: ServerStatistics } | null = null
      for (const admission of withoutEjected(admissions, now)) {
        const candidate = { admission, statistics: statisticsOf(admission.server.id, slots) }
        if (candidate.statistics.limit.hasFreeSlot() && (best === null || ranksBefore(candidate.statistics, best.statistics))) best = candidate
      }
      if (best === null) return null
      best.statistics.lastChoice = ++choiceCount
      return best.admission
    },
    onFailure (server, now) {
      const known = statisticsByServer.get(server)
      if (known === undefined) return
      known.failures++
      if (known.failures >= EJECTION_FAILURE_THRESHOLD) known.ejectedUntil = now + EJECTION_MS
    },
    onSuccess (server) {
      const known = statisticsByServer.get(server)
      if (known !== undefined) known.failures = 0
    },
    reset (server) { statisticsByServer.delete(server) }
  }
}
