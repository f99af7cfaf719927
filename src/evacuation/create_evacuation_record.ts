/**
 * Decides which evacuations are in force, from the lists that this host reads
 * or receives from the leader.
 *
 * Lists may arrive out of order: a leader without the store still sends what it
 * read last. A store that is restored from a copy may lack a row that operators
 * have not deleted, so an evacuation then ends only after they had time to
 * write the row again.
 */
import { comparePositions } from '../store_history/mod.ts'
import type { Evacuation, EvacuationList } from './evacuation.ts'

/** Source of a list: a read of this host, or a message of the leading host, which has applied the rules for restored stores already. */
export type EvacuationSource = 'store' | 'leader'

/** Effect of a list. */
export interface EvacuationChange {
  readonly started: readonly Evacuation[]
  readonly ended: readonly Evacuation[]
  /** Evacuations that go on with another row, because operators have written it again. */
  readonly renewed: readonly Evacuation[]
}

/** Evacuations as one host knows them. */
export interface EvacuationRecord {
  /** Applies a list; returns `null` if it is older than the one in force. */
  apply (list: EvacuationList, options: { readonly source: EvacuationSource, readonly now: number }): EvacuationChange | null
  /** The list in force; `null` before the first. */
  list (): EvacuationList | null
}

/** Time after a restore of the store for which an evacuation without a row stays in force, in milliseconds: as long as an order may take to come into effect. */
const RESTORED_ROW_GRACE_MS = 5000

/**
 * Creates a record without evacuations.
 *
 * @returns The record.
 */
export function createEvacuationRecord (): EvacuationRecord {
  let current: EvacuationList | null = null
  let restoredAt = -Infinity

  return {
    apply (list, { source, now }) {
      const before = current
      if (before !== null && comparePositions(list.readAt, before.readAt) < 0) return null
      if (before !== null && list.readAt.era > before.readAt.era) restoredAt = now
      const listed = new Set(list.evacuations.map(({ zone }) => zone))
      const missing = (before?.evacuations ?? []).filter(({ zone }) => !listed.has(zone))
      const kept = source === 'store' && now - restoredAt < RESTORED_ROW_GRACE_MS ? missing : []
      current = { readAt: list.readAt, evacuations: [...list.evacuations, ...kept] }
      const known = new Map((before?.evacuations ?? []).map((evacuation) => [evacuation.zone, evacuation]))
      return {
        started: list.evacuations.filter(({ zone }) => !known.has(zone)),
        ended: kept.length > 0 ? [] : missing,
        renewed: list.evacuations.filter(({ zone, row }) => comparePositions(known.get(zone)?.row ?? row, row) !== 0)
      }
    },
    list: () => current
  }
}
