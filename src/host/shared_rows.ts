/** Caches the rows of the table service that all hosts share; an older revision never replaces a newer one. */
import type { TableRow } from '../ports/mod.ts'

/** Prefix of the keys of the shared rows. */
export const SHARED_PREFIX = 'gooseberryfold/'

/** Cache of the shared rows. */
export interface SharedRows {
  /** Merges rows; returns those that were newer than the cached ones. */
  merge (rows: readonly TableRow[]): TableRow[]
  /** Highest revision among the rows. */
  revision (): number
  get (key: string): TableRow | undefined
  withPrefix (prefix: string): TableRow[]
  /** Rows that changed after a revision. */
  since (revision: number): TableRow[]
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
  let highestRevision = 0
  return {
    merge (incoming) {
      const newer = incoming.filter((row) => row.revision > (rows.get(row.key)?.revision ?? 0))
      for (const row of newer) {
        rows.set(row.key, row)
        highestRevision = Math.max(highestRevision, row.revision)
      }
      return newer
    },
    revision: () => highestRevision,
    get: (key) => rows.get(key),
    withPrefix: (prefix) => [...rows.values()].filter((row) => row.key.startsWith(prefix)),
    since: (revision) => [...rows.values()].filter((row) => row.revision > revision)
  }
}
