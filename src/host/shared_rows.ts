/** Caches the rows of the table service that all hosts share; a row of an earlier position never replaces one of a later position. */
import type { TableRow } from '../ports/mod.ts'
import { comparePositions, FIRST_ERA, type StorePosition } from '../store_history/mod.ts'

/** Prefix of the keys of the shared rows. */
export const SHARED_PREFIX = 'gooseberryfold/'

/** Position before the first write. */
const START: StorePosition = { era: FIRST_ERA, revision: 0 }

/** Cache of the shared rows. */
export interface SharedRows {
  /** Merges rows; returns those that were newer than the cached ones. */
  merge (rows: readonly TableRow[]): TableRow[]
  /** Latest position among the rows. */
  position (): StorePosition
  /** Revision of the latest position. */
  revision (): number
  get (key: string): TableRow | undefined
  withPrefix (prefix: string): TableRow[]
  /** Rows that changed after a position. */
  since (position: StorePosition): TableRow[]
}

/**
 * Creates an empty cache.
 *
 * @returns The cache.
 * @example
 * ```ts
 * createSharedRows().revision() // 0
 * ```
 */
export function createSharedRows (): SharedRows {
  const rows = new Map<string, TableRow>()
  let latest: StorePosition = START
  return {
    merge (incoming) {
      const newer = incoming.filter((row) => comparePositions(row, rows.get(row.key) ?? START) > 0)
      for (const row of newer) {
        rows.set(row.key, row)
        if (comparePositions(row, latest) > 0) latest = { era: row.era, revision: row.revision }
      }
      return newer
    },
    position: () => latest,
    revision: () => latest.revision,
    get: (key) => rows.get(key),
    withPrefix: (prefix) => [...rows.values()].filter((row) => row.key.startsWith(prefix)),
    since: (position) => [...rows.values()].filter((row) => comparePositions(row, position) > 0)
  }
}
