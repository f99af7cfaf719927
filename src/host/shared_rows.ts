/** The rows of the table service that every host holds; a row never goes back to an older revision. */
import type { TableRow } from '../ports/mod.ts'

/** Start of the keys of the rows that every host holds. */
export const SHARED_PREFIX = 'gooseberryfold/'

/** Holder of the shared rows. */
export interface SharedRows {
  /** Takes in rows; returns those that were newer. */
  merge (rows: readonly TableRow[]): TableRow[]
  /** Newest revision among the rows. */
  revision (): number
  get (key: string): TableRow | undefined
  withPrefix (prefix: string): TableRow[]
  /** Rows that changed after a revision. */
  since (revision: number): TableRow[]
}

/**
 * Creates an empty holder.
 *
 * @returns The holder.
 * @example
 * ```ts
 * createSharedRows().revision() // 0
 * ```
 */
export function createSharedRows (): SharedRows {
  const rows = new Map<string, TableRow>()
  let newest = 0
  return {
    merge (incoming) {
      const newer = incoming.filter((row) => row.revision > (rows.get(row.key)?.revision ?? 0))
      for (const row of newer) {
        rows.set(row.key, row)
        newest = Math.max(newest, row.revision)
      }
      return newer
    },
    revision: () => newest,
    get: (key) => rows.get(key),
    withPrefix: (prefix) => [...rows.values()].filter((row) => row.key.startsWith(prefix)),
    since: (revision) => [...rows.values()].filter((row) => row.revision > revision)
  }
}
