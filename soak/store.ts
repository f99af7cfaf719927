/** Stand-in for the platform's store: tables of rows, conditional transactions and injected faults. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'

/** Faults that the store injects into calls. */
export interface StoreFaults {
  /** Whether all calls are refused with status 503. */
  busy: boolean
  /** Delay of every response, in milliseconds. */
  slowMs: number
  /** Share of writes whose response is lost although they are applied, from 0 to 1. */
  loseAnswers: number
}

/** A running store. */
export interface SoakStore {
  readonly server: Server
  readonly faults: StoreFaults
  /** Writes a row without conditions, as operators and backend servers do. */
  put (table: string, key: string, value: unknown): void
  remove (table: string, key: string): void
  /** Returns the value of a row as text; empty if there is none. */
  get (table: string, key: string): string
  /** Restores the tables as they were some time ago, in milliseconds, and begins the next era; later versions are given out again. */
  restore (ageMs: number): void
}

/** The tables as they were when a version was written. */
interface Copy { readonly at: number, readonly version: number, readonly tables: ReadonlyMap<string, ReadonlyMap<string, Row>> }

/** Age of the oldest copy, in milliseconds. */
const MAXIMUM_COPY_AGE_MS = 15_000

interface Row { readonly Table: string, readonly part: string, readonly Key: string, readonly Value: string, readonly Ver: number }
interface Transaction {
  readonly Expected: ReadonlyArray<{ readonly Table: string, readonly Key: string, readonly Ver: number }>
  readonly Puts: ReadonlyArray<{ readonly Table: string, readonly Key: string, readonly Value: string }>
}

/**
 * Creates an empty store, whose server does not listen yet.
 *
 * @param random Returns a random number from 0 to 1.
 * @returns The store.
 */
export function createSoakStore (random: () => number): SoakStore {
  const tables = new Map<string, Map<string, Row>>()
  const faults: StoreFaults = { busy: false, slowMs: 4, loseAnswers: 0 }
  let version = 0
  let era = 1
  let copies: Copy[] = []

  function getTable (name: string): Map<string, Row> {
    const table = tables.get(name) ?? new Map<string, Row>()
    tables.set(name, table)
    return table
  }

  function write (table: string, key: string, value: string): void {
    getTable(table).set(key, { Table: table, part: '', Key: key, Value: value, Ver: version })
  }

  function recordCopy (): void {
    const at = performance.now()
    copies = copies.filter((copy, index) => at - copy.at < MAXIMUM_COPY_AGE_MS || index === copies.length - 1)
    copies.push({ at, version, tables: new Map([...tables].map(([name, rows]) => [name, new Map(rows)])) })
  }

  function transact (transaction: Transaction): { readonly status: number, readonly body: unknown } {
    const current = transaction.Expected.map((expected) => ({ expected, row: getTable(expected.Table).get(expected.Key) }))
    if (current.some(({ expected, row }) => (row?.Ver ?? 0) !== expected.Ver)) {
      return { status: 412, body: { Rows: current.flatMap(({ row }) => row ?? []), Ver: version, Now: '0ms' } }
    }
    version++
    for (const put of transaction.Puts) write(put.Table, put.Key, put.Value)
    recordCopy()
    return { status: 200, body: { Ver: version, Now: '0ms' } }
  }

  function read (query: URLSearchParams): unknown {
    const from = query.get('From') ?? ''
    const to = query.get('Target')
    const rows = [...getTable(query.get('Table') ?? '').values()]
      .filter((row) => row.Key >= from && (to === null || row.Key < to))
      .sort((left, right) => left.Key < right.Key ? -1 : 1)
    return { Rows: rows, HasMore: false, Ver: version, Now: '0ms' }
  }

  function respond (request: IncomingMessage, response: ServerResponse, body: string): void {
    response.setHeader('Store-Era', String(era))
    const url = new URL(request.url ?? '/', 'http://store')
    if (faults.busy) {
      response.writeHead(503).end()
    } else if (url.pathname === '/-/rows-tx') {
      const result = transact(JSON.parse(body) as Transaction)
      if (random() < faults.loseAnswers) request.socket.destroy()
      else response.writeHead(result.status).end(JSON.stringify(result.body))
    } else {
      response.end(JSON.stringify(read(url.searchParams)))
    }
  }

  return {
    server: createServer((request, response) => {
      const parts: Buffer[] = []
      request.on('data', (part: Buffer) => { parts.push(part) })
      request.on('end', () => { setTimeout(() => { respond(request, response, Buffer.concat(parts).toString()) }, faults.slowMs) })
    }),
    faults,
    put (table, key, value) {
      version++
      write(table, key, Buffer.from(JSON.stringify(value)).toString('base64'))
      recordCopy()
    },
    remove (table, key) {
      version++
      getTable(table).delete(key)
      recordCopy()
    },
    get: (table, key) => Buffer.from(getTable(table).get(key)?.Value ?? '', 'base64').toString(),
    restore (ageMs) {
      const copy = copies.findLast((candidate) => performance.now() - candidate.at >= ageMs) ?? copies[0]
      era++
      version = copy?.version ?? 0
      tables.clear()
      for (const [name, rows] of copy?.tables ?? []) tables.set(name, new Map(rows))
      copies = []
      recordCopy()
    }
  }
}
