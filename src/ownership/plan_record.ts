/**
 * The plan of a service's ranges as it is stored.
 *
 * Server identifiers are listed once and ranges refer to them by place, so that
 * some thousands of ranges fit into one row.
 */
import { z } from 'zod'
import { KEY_SPACE } from '../routing/mod.ts'

/** One range as it is stored. */
export interface RecordedRange {
  readonly from: number
  readonly to: number
  readonly owner: string | null
  /** Server that held the range before and may hold it still; `null` where it has certainly let go. */
  readonly previous: string | null
}

const rowSchema = z.object({
  servers: z.array(z.string()),
  ranges: z.array(z.tuple([z.number().int().min(0).max(KEY_SPACE - 1), z.number().int().min(-1), z.number().int().min(-1)]))
})

/**
 * Encodes ranges that cover the space of keys.
 *
 * @param ranges The ranges, in ascending order.
 * @returns The value of a row.
 */
export function encodePlanRecord (ranges: readonly RecordedRange[]): unknown {
  const servers: string[] = []
  const places = new Map<string, number>()
  function place (id: string | null): number {
    if (id === null) return -1
    const known = places.get(id)
    if (known !== undefined) return known
    places.set(id, servers.length)
    servers.push(id)
    return servers.length - 1
  }
  const rows = ranges.map((range) => [range.from, place(range.owner), place(range.previous)])
  return { servers, ranges: rows }
}

/**
 * Decodes the value of a row.
 *
 * @param value The value.
 * @returns The ranges, in ascending order, or `null` where the value is no plan.
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
