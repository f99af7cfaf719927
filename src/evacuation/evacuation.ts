/** Evacuations as they are read from the store. */
import type { StorePosition } from '../store_history/mod.ts'

/** An order that no request is sent to the servers of an availability zone. */
export interface Evacuation {
  readonly zone: string
  /** Position of the row that orders it. */
  readonly row: StorePosition
}

/** All evacuations that are in force. */
export interface EvacuationList {
  /** Position of the store when the list was read; of two lists, the one with the later position holds. */
  readonly readAt: StorePosition
  readonly evacuations: readonly Evacuation[]
}
