/** HTTP clients for the platform's table service, object store and host list. */
import { Pool } from 'undici'
import { z } from 'zod'
import { sendWithPool } from '../http_call/mod.ts'
import {
  fail, succeed,
  type HostList, type ObjectStore, type RowWrite, type TableService
} from '../ports/mod.ts'
import { FIRST_ERA } from '../store_history/mod.ts'

/** Options of {@link createPlatformClient}. */
export interface PlatformClientOptions {
  /** Base URL of the platform. */
  readonly url: string
  /** Availability zone of this process, sent with every call. Default: not sent. */
  readonly zone?: string
  /** Timeout of a call, in milliseconds. Default: 400. */
  readonly timeoutMs?: number
}

/** Clients for the platform's services. */
export interface PlatformClient {
  readonly table: TableService
  readonly objects: ObjectStore
  readonly hosts: HostList
  close (): Promise<void>
}

const MAXIMUM_CONNECTIONS = 16

/** This table service states no era: it counts as never restored. */
const eraSchema = z.number().default(FIRST_ERA)
const rowSchema = z.object({ key: z.string(), era: eraSchema, revision: z.number(), value: z.unknown() })
const positionSchema = z.object({ era: eraSchema, revision: z.number() })
const changesSchema = positionSchema.extend({ rows: z.array(rowSchema) })
const stateSchema = z.enum(['live', 'leaving'])
const listingSchema = z.object({
  hosts: z.array(z.object({ host: z.string(), zone: z.string(), state: stateSchema })),
  servers: z.array(z.object({
    id: z.string(), service: z.string(), address: z.string(), zone: z.string(), state: stateSchema
  }))
})

/** A response of the platform with its complete body. */
interface PlatformResponse {
  readonly status: number
  readonly text: string
}

/**
 * Creates the clients of one process.
 *
 * @param options Base URL, availability zone and timeout.
 * @returns The clients; no call throws.
 */
export function createPlatformClient (options: PlatformClientOptions): PlatformClient {
  const pool = new Pool(options.url, { connections: MAXIMUM_CONNECTIONS })
  const timeoutMs = options.timeoutMs ?? 400
  const headers = options.zone === undefined ? {} : { 'x-zone': options.zone }

  async function call (method: 'GET' | 'POST' | 'PUT', path: string, body?: string): Promise<PlatformResponse | string> {
    try {
      const response = await sendWithPool(pool, {
        method, path, body: body ?? null, headers: { ...headers, 'content-type': 'application/json' }, signal: AbortSignal.timeout(timeoutMs)
      })
      return { status: response.statusCode, text: await response.body.text() }
    } catch (error) {
      return error instanceof Error ? error.message : String(error)
    }
  }

  function unavailable (response: PlatformResponse | string): { readonly kind: 'unavailable', readonly detail: string } {
    const detail = typeof response === 'string' ? response : `The platform responded with status ${response.status}`
    return { kind: 'unavailable', detail }
  }

  function decode<Value> (response: PlatformResponse | string, schema: z.ZodType<Value>): Value | null {
    if (typeof response === 'string' || response.status !== 200) return null
    const parsed = schema.safeParse(parseJson(response.text))
    return parsed.success ? parsed.data : null
  }

  const table: TableService = {
    async read (key) {
      const response = await call('GET', `/table/row?key=${encodeURIComponent(key)}`)
      const row = decode(response, rowSchema.nullable().transform((value) => ({ value })))
      return row === null ? fail(unavailable(response)) : succeed(row.value)
    },
    async changes (prefix, since) {
      const response = await call('GET', `/table/changes?prefix=${encodeURIComponent(prefix)}&since=${since}`)
      const changes = decode(response, changesSchema)
      return changes === null ? fail(unavailable(response)) : succeed(changes)
    },
    async write (writes: readonly RowWrite[]) {
      const response = await call('POST', '/table/write', JSON.stringify({ writes }))
      if (typeof response !== 'string' && response.status === 409) {
        const current = z.object({ rows: z.array(rowSchema) }).safeParse(parseJson(response.text))
        return fail({ kind: 'conflict', era: FIRST_ERA, current: current.success ? current.data.rows : [] })
      }
      const written = decode(response, positionSchema)
      return written === null ? fail(unavailable(response)) : succeed(written)
    }
  }

  const objects: ObjectStore = {
    async get (name) {
      const response = await call('GET', `/objects/${encodeURIComponent(name)}`)
      if (typeof response === 'string') return fail(unavailable(response))
      if (response.status === 404) return fail({ kind: 'missing', name })
      return response.status === 200 ? succeed(response.text) : fail(unavailable(response))
    },
    async put (name, text) {
      const response = await call('PUT', `/objects/${encodeURIComponent(name)}`, JSON.stringify(text))
      return typeof response !== 'string' && response.status === 200 ? succeed(undefined) : fail(unavailable(response))
    }
  }

  const hosts: HostList = {
    async list () {
      const response = await call('GET', '/hosts')
      const listing = decode(response, listingSchema)
      return listing === null ? fail(unavailable(response)) : succeed(listing)
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
