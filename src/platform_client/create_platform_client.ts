/** Adapters of the platform's table service, object store and host list over HTTP. */
import { Pool } from 'undici'
import { z } from 'zod'
import {
  fail, succeed,
  type HostList, type ObjectStore, type RowWrite, type TableService
} from '../ports/mod.ts'

/** Options of {@link createPlatformClient}. */
export interface PlatformClientOptions {
  /** Base URL of the platform. */
  readonly url: string
  /** Availability zone of the caller. Default: none is named. */
  readonly zone?: string
  /** Time after which a call counts as unanswered, in milliseconds. Default: 400. */
  readonly timeoutMs?: number
}

/** The three services of the platform. */
export interface PlatformClient {
  readonly table: TableService
  readonly objects: ObjectStore
  readonly hosts: HostList
  close (): Promise<void>
}

/** Connections to the platform at most. */
const CONNECTIONS = 16

const rowSchema = z.object({ key: z.string(), revision: z.number(), value: z.unknown() })
const changesSchema = z.object({ revision: z.number(), rows: z.array(rowSchema) })
const stateSchema = z.enum(['live', 'leaving'])
const listingSchema = z.object({
  hosts: z.array(z.object({ host: z.string(), zone: z.string(), state: stateSchema })),
  servers: z.array(z.object({
    id: z.string(), service: z.string(), address: z.string(), zone: z.string(), state: stateSchema
  }))
})

/** An answer of the platform, read whole. */
interface Answer {
  readonly status: number
  readonly text: string
}

/**
 * Creates the adapters of one process.
 *
 * @param options Address and time limits.
 * @returns The services; no call throws.
 */
export function createPlatformClient (options: PlatformClientOptions): PlatformClient {
  const pool = new Pool(options.url, { connections: CONNECTIONS })
  const timeoutMs = options.timeoutMs ?? 400
  const headers = options.zone === undefined ? {} : { 'x-zone': options.zone }

  async function call (method: 'GET' | 'POST' | 'PUT', path: string, body?: string): Promise<Answer | string> {
    try {
      const response = await pool.request({
        method, path, body, headers: { ...headers, 'content-type': 'application/json' }, signal: AbortSignal.timeout(timeoutMs)
      })
      return { status: response.statusCode, text: await response.body.text() }
    } catch (error) {
      return error instanceof Error ? error.message : String(error)
    }
  }

  function unavailable (answer: Answer | string): { readonly kind: 'unavailable', readonly detail: string } {
    const detail = typeof answer === 'string' ? answer : `The platform answered with status ${answer.status}`
    return { kind: 'unavailable', detail }
  }

  function decode<Value> (answer: Answer | string, schema: z.ZodType<Value>): Value | null {
    if (typeof answer === 'string' || answer.status !== 200) return null
    const parsed = schema.safeParse(parseJson(answer.text))
    return parsed.success ? parsed.data : null
  }

  const table: TableService = {
    async read (key) {
      const answer = await call('GET', `/table/row?key=${encodeURIComponent(key)}`)
      const row = decode(answer, rowSchema.nullable().transform((value) => ({ value })))
      return row === null ? fail(unavailable(answer)) : succeed(row.value)
    },
    async changes (prefix, since) {
      const answer = await call('GET', `/table/changes?prefix=${encodeURIComponent(prefix)}&since=${since}`)
      const changes = decode(answer, changesSchema)
      return changes === null ? fail(unavailable(answer)) : succeed(changes)
    },
    async write (writes: readonly RowWrite[]) {
      const answer = await call('POST', '/table/write', JSON.stringify({ writes }))
      if (typeof answer !== 'string' && answer.status === 409) {
        const current = z.object({ rows: z.array(rowSchema) }).safeParse(parseJson(answer.text))
        return fail({ kind: 'conflict', current: current.success ? current.data.rows : [] })
      }
      const written = decode(answer, z.object({ revision: z.number() }))
      return written === null ? fail(unavailable(answer)) : succeed(written.revision)
    }
  }

  const objects: ObjectStore = {
    async get (name) {
      const answer = await call('GET', `/objects/${encodeURIComponent(name)}`)
      if (typeof answer === 'string') return fail(unavailable(answer))
      if (answer.status === 404) return fail({ kind: 'missing', name })
      return answer.status === 200 ? succeed(answer.text) : fail(unavailable(answer))
    },
    async put (name, text) {
      const answer = await call('PUT', `/objects/${encodeURIComponent(name)}`, JSON.stringify(text))
      return typeof answer !== 'string' && answer.status === 200 ? succeed(undefined) : fail(unavailable(answer))
    }
  }

  const hosts: HostList = {
    async list () {
      const answer = await call('GET', '/hosts')
      const listing = decode(answer, listingSchema)
      return listing === null ? fail(unavailable(answer)) : succeed(listing)
    }
  }

  return { table, objects, hosts, close: () => pool.close() }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
