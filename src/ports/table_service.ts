/** The platform's transactional table service, as the rest of the project sees it. */
import type { Result } from './result.ts'

/** One row of the table; `revision` grows with every change of any row. */
export interface TableRow {
  readonly key: string
  readonly revision: number
  readonly value: unknown
}

/** One conditional write of a transaction; `expectedRevision` 0 means that the row must not exist. */
export interface RowWrite {
  readonly key: string
  readonly expectedRevision: number
  readonly value: unknown
}

/** Rows that changed after a revision, and the newest revision of the table. */
export interface TableChanges {
  readonly revision: number
  readonly rows: readonly TableRow[]
}

/**
 * Why a call to the table service failed. After `unavailable` a write may or
 * may not have taken effect; after `conflict` it has not.
 */
export type TableError =
  | { readonly kind: 'unavailable', readonly detail: string }
  | { readonly kind: 'conflict', readonly current: readonly TableRow[] }

/** Port of the transactional table service. */
export interface TableService {
  /** Reads one row; `null` where it does not exist. */
  read (key: string): Promise<Result<TableRow | null, TableError>>
  /** Reads the rows whose key starts with `prefix` and that changed after `since`. */
  changes (prefix: string, since: number): Promise<Result<TableChanges, TableError>>
  /** Writes all rows or none; returns the revision that the rows now bear. */
  write (writes: readonly RowWrite[]): Promise<Result<number, TableError>>
}
