/** Fakes of the table service and the object store, with outages and lost responses. */
import { fail, succeed, type ObjectStore, type RowWrite, type TableChanges, type TableRow, type TableService } from '../src/ports/mod.ts'

/** Behaviour of one call: it works, it does not arrive, or its response is lost after it took effect. */
export type CallBehaviour = 'works' | 'down' | 'lost'

/** A table whose calls follow the given behaviours in order, and work afterwards. */
export interface FakeTable extends TableService {
  /** Every revision of a row with its value, oldest first. */
  history (key: string): readonly TableRow[]
  setCallBehaviours (behaviours: readonly CallBehaviour[]): void
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
  let revision = 0

  function apply (writes: readonly RowWrite[]): number | null {
    const hasConflict = writes.some((write) => (rows.get(write.key)?.revision ?? 0) !== write.expectedRevision)
    if (hasConflict) return null
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
    setCallBehaviours (next) { callBehaviours = [...next] },
    async read (key) {
      await beforeCall()
      return (callBehaviours.shift() ?? 'works') === 'works' ? succeed(rows.get(key) ?? null) : fail(UNAVAILABLE)
    },
    async changes (prefix, since) {
      await beforeCall()
      if ((callBehaviours.shift() ?? 'works') !== 'works') return fail(UNAVAILABLE)
      const changes: TableChanges = { revision, rows: [...rows.values()].filter((row) => row.key.startsWith(prefix) && row.revision > since) }
      return succeed(changes)
    },
    async write (writes) {
      await beforeCall()
      const behaviour = callBehaviours.shift() ?? 'works'
      if (behaviour === 'down') return fail(UNAVAILABLE)
      const newRevision = apply(writes)
      if (behaviour === 'lost') return fail(UNAVAILABLE)
      if (newRevision !== null) return succeed(newRevision)
      return fail({ kind: 'conflict', current: writes.map((write) => rows.get(write.key)).filter((row) => row !== undefined) })
    }
  }
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
