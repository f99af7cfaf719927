/** Port of the platform's transactional table service. */
import type { StorePosition } from '../store_history/mod.ts'
import type { Result } from './result.ts'

/** One row of the table; its revision is the table's revision at the row's last change, and its era the one in which the row was read. */
export interface TableRow extends StorePosition {
  readonly key: string
  readonly value: unknown
}

/** One conditional write of a transaction; `expectedRevision` 0 means that the row must not exist. */
export interface RowWrite {
  readonly key: string
  readonly expectedRevision: number
  readonly value: unknown
}

/** Rows that changed after a revision, and the current position of the table. */
export interface TableChanges extends StorePosition {
  readonly rows: readonly TableRow[]
}

/**
 * Error of a failed call to the table service. After `unavailable`, a write may
 * or may not have taken effect; after `conflict`, it has not. `era` is the era of
 * the response.
 */
export type TableError =
  | { readonly kind: 'unavailable', readonly detail: string }
  | { readonly kind: 'conflict', readonly era: number, readonly current: readonly TableRow[] }

/** Transactional table service. */
export interface TableService {
  /** Reads one row; `null` if it does not exist. */
  read (key: string): Promise<Result<TableRow | null, TableError>>
  /** Reads the rows whose key starts with `prefix` and that changed after `since`. */
  changes (prefix: string, since: number): Promise<Result<TableChanges, TableError>>
  /** Writes all rows or none; returns the new position of the rows. Its era may be later than the one that the expected revisions were read in. */
  write (writes: readonly RowWrite[]): Promise<Result<StorePosition, TableError>>
}
