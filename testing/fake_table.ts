/** Fakes of the table service and the object store, with outages and lost answers. */
import { fail, succeed, type ObjectStore, type RowWrite, type TableChanges, type TableRow, type TableService } from '../src/ports/mod.ts'

/** What happens to one call: it works, it does not arrive, or its answer is lost after it took effect. */
export type CallBehaviour = 'works' | 'down' | 'lost'

/** A table whose calls meet the given fates in turn, and work afterwards. */
export interface FakeTable extends TableService {
  /** Revisions and values that a key has had. */
  history (key: string): readonly TableRow[]
  setCallBehaviours (fates: readonly CallBehaviour[]): void
}

const UNAVAILABLE = { kind: 'unavailable', detail: 'The fake table does not answer' } as const

/**
 * Creates an empty table.
 *
 * @param before Awaited before each call, so that a scheduler can order the calls. Default: nothing.
 * @returns The table.
 */
export function createFakeTable (before: () => Promise<unknown> = async () => {}): FakeTable {
  const rows = new Map<string, TableRow>()
  const histories = new Map<string, TableRow[]>()
  let fates: CallBehaviour[] = []
  let revision = 0

  function apply (writes: readonly RowWrite[]): number | null {
    const conflicts = writes.some((write) => (rows.get(write.key)?.revision ?? 0) !== write.expectedRevision)
    if (conflicts) return null
    revision++
    for (const write of writes) {
      const row = { key: write.key, revision, value: structuredClone(write.value) }
      rows.set(write.key, row)
      histories.set(write.key, [...(histories.get(write.key) ?? []), row])
    }
    return revision
  }

  return {
    history: (key) => histories.get(key) ?? [],
    setCallBehaviours (next) { fates = [...next] },
    async read (key) {
      await before()
      return (fates.shift() ?? 'works') === 'works' ? succeed(rows.get(key) ?? null) : fail(UNAVAILABLE)
    },
    async changes (prefix, since) {
      await before()
      if ((fates.shift() ?? 'works') !== 'works') return fail(UNAVAILABLE)
      const changes: TableChanges = { revision, rows: [...rows.values()].filter((row) => row.key.startsWith(prefix) && row.revision > since) }
      return succeed(changes)
    },
    async write (writes) {
      await before()
      const fate = fates.shift() ?? 'works'
      if (fate === 'down') return fail(UNAVAILABLE)
      const written = apply(writes)
      if (fate === 'lost') return fail(UNAVAILABLE)
      if (written !== null) return succeed(written)
      return fail({ kind: 'conflict', current: writes.map((write) => rows.get(write.key)).filter((row) => row !== undefined) })
    }
  }
}

/** Creates an object store that always works. */
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
