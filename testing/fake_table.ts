/** Fakes of the table service and the object store, with outages, lost responses and restores. */
import { FIRST_ERA, type StorePosition } from '../src/store_history/mod.ts'
import { fail, succeed, type ObjectStore, type RowWrite, type TableChanges, type TableRow, type TableService } from '../src/ports/mod.ts'

/** Behaviour of one call: it works, it does not arrive, its response is lost after it took effect, or, for a write, its response is lost and it takes effect late, if its condition still holds. */
export type CallBehaviour = 'works' | 'down' | 'lost' | 'late'

/** A table whose calls follow the given behaviours in order, and work afterwards. */
export interface FakeTable extends TableService {
  /** Every revision of a row with its value, oldest first. */
  history (key: string): readonly TableRow[]
  setCallBehaviours (behaviours: readonly CallBehaviour[]): void
  /** Behaviour of writes that {@link FakeTable.setCallBehaviours} says nothing of. */
  writeBehaviour: CallBehaviour
  /** Carries out the writes that are late. */
  deliverLateWrites (): void
  /** Current position of the table. */
  position (): StorePosition
  /** Restores the table as it was at a revision of the current era, and begins the next era; later revisions are given out again. */
  restore (revision: number): void
  /** Replaces the value of a row without changing its revision, to corrupt it. */
  corrupt (key: string, value: unknown): void
}

const UNAVAILABLE = { kind: 'unavailable', detail: 'The fake table does not respond' } as const

/**
 * Creates an empty table.
 *
 * @param beforeCall Awaited before each call, so that a scheduler can order the calls. Default: nothing.
 * @returns The table.
 */
export function createFakeTable (beforeCall: () => Promise<unknown> = async () => {}): FakeTable {
  const rows = new Map<string, TableRow>()
  const histories = new Map<string, TableRow[]>()
  let callBehaviours: CallBehaviour[] = []
  let lateWrites: Array<readonly RowWrite[]> = []
  let revision = 0
  let era = FIRST_ERA

  function apply (writes: readonly RowWrite[]): StorePosition | null {
    const hasConflict = writes.some((write) => (rows.get(write.key)?.revision ?? 0) !== write.expectedRevision)
    if (hasConflict) return null
    revision++
    for (const write of writes) {
      const row = { key: write.key, era, revision, value: structuredClone(write.value) }
      rows.set(write.key, row)
      histories.set(write.key, [...(histories.get(write.key) ?? []), row])
    }
    return { era, revision }
  }

  /** A row as it is read now: the era of a reading is that of the response. */
  function readRow (row: TableRow): TableRow {
    return { ...row, era }
  }

  const table: FakeTable = {
    writeBehaviour: 'works',
    history: (key) => histories.get(key) ?? [],
    setCallBehaviours (next) { callBehaviours = [...next] },
    deliverLateWrites () {
      for (const writes of lateWrites) apply(writes)
      lateWrites = []
    },
    position: () => ({ era, revision }),
    restore (copied) {
      era++
      revision = copied
      rows.clear()
      for (const [key, history] of histories) {
        const kept = history.filter((row) => row.revision <= copied)
        histories.set(key, kept)
        const last = kept.at(-1)
        if (last !== undefined) rows.set(key, last)
      }
    },
    corrupt (key, value) { rows.set(key, { key, era, revision: rows.get(key)?.revision ?? revision, value }) },
    async read (key) {
      await beforeCall()
      if ((callBehaviours.shift() ?? 'works') !== 'works') return fail(UNAVAILABLE)
      const row = rows.get(key)
      return succeed(row === undefined ? null : readRow(row))
    },
    async changes (prefix, since) {
      await beforeCall()
      if ((callBehaviours.shift() ?? 'works') !== 'works') return fail(UNAVAILABLE)
      const changes: TableChanges = { era, revision, rows: [...rows.values()].filter((row) => row.key.startsWith(prefix) && row.revision > since).map(readRow) }
      return succeed(changes)
    },
    async write (writes) {
      await beforeCall()
      const behaviour = callBehaviours.shift() ?? table.writeBehaviour
      if (behaviour === 'late') lateWrites.push(writes)
      if (behaviour === 'down' || behaviour === 'late') return fail(UNAVAILABLE)
      const written = apply(writes)
      if (behaviour === 'lost') return fail(UNAVAILABLE)
      if (written !== null) return succeed(written)
      return fail({ kind: 'conflict', era, current: writes.flatMap((write) => rows.get(write.key) ?? []).map(readRow) })
    }
  }
  return table
}

/** Creates an object store whose calls always succeed. */
export function createFakeObjectStore (): ObjectStore {
  const objects = new Map<string, string>()
  return {
    async get (name) {
      const text = objects.get(name)
      return text === undefined ? fail({ kind: 'missing', name }) : succeed(text)
    },
    async put (name, text) {
      objects.set(name, text)
      return succeed(undefined)
    }
  }
}
