/**
 * Stored form of the plan of a service's ranges.
 *
 * Server identifiers are listed once and ranges refer to them by index, so that
 * a few thousand ranges fit into one row.
 */
import * as z from 'zod/mini'
import { KEY_SPACE } from '../routing/mod.ts'

/** A range of a stored plan. */
export interface RecordedRange {
  readonly from: number
  readonly to: number
  readonly owner: string | null
  /** Server that held the range before and may still hold it; `null` if none does. */
  readonly previous: string | null
}

const rowSchema = z.object({
  servers: z.array(z.string()),
  ranges: z.array(z.tuple([z.int().check(z.gte(0), z.lte(KEY_SPACE - 1)), z.int().check(z.gte(-1)), z.int().check(z.gte(-1))]))
})

/**
 * Encodes ranges that cover the key space.
 *
 * @param ranges The ranges, in ascending order.
 * @returns The value of the plan's row.
 */
export function encodePlanRecord (ranges: readonly RecordedRange[]): unknown {
  const servers: string[] = []
  const indexes = new Map<string, number>()
  function indexOf (id: string | null): number {
    if (id === null) return -1
    const knownIndex = indexes.get(id)
    if (knownIndex !== undefined) return knownIndex
    indexes.set(id, servers.length)
    servers.push(id)
    return servers.length - 1
  }
  const rows = ranges.map((range) => [range.from, indexOf(range.owner), indexOf(range.previous)])
  return { servers, ranges: rows }
}

/**
 * Decodes the value of a plan's row.
 *
 * @param value The value as read from the store.
 * @returns The ranges, in ascending order, or `null` if the value is not a valid plan.
 */
export function decodePlanRecord (value: unknown): RecordedRange[] | null {
  const parsed = rowSchema.safeParse(value)
  if (!parsed.success || parsed.data.ranges[0]?.[0] !== 0) return null
  const { servers, ranges } = parsed.data
  return ranges.map(([from, owner, previous], index) => ({
    from,
    to: (ranges[index + 1]?.[0] ?? KEY_SPACE) - 1,
    owner: servers[owner] ?? null,
    previous: servers[previous] ?? null
  }))
}
