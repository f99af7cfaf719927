/**
 * Stored form of the plan of a service's ranges.
 *
 * Server identifiers are listed once and ranges refer to them by index, so that
 * a few thousand ranges fit into one row.
 */
import * as z from 'zod/mini'
import { KEY_SPACE } from '../routing/mod.ts'
import type { StorePosition } from '../store_history/mod.ts'

/** A range of a stored plan. */
export interface RecordedRange {
  readonly from: number
  readonly to: number
  readonly owner: string | null
  /** Server that held the range before and may still hold it; `null` if none does. */
  readonly previous: string | null
}

/** A stored plan. */
export interface PlanRecord {
  /** Latest era of the store whose grants the plan covers: servers may hold keys by grants of later eras that it does not list. */
  readonly era: number
  /** The ranges, in ascending order. */
  readonly ranges: readonly RecordedRange[]
}

const rowSchema = z.object({
  era: z.optional(z.int()),
  servers: z.array(z.string()),
  ranges: z.array(z.tuple([z.int().check(z.gte(0), z.lte(KEY_SPACE - 1)), z.int().check(z.gte(-1)), z.int().check(z.gte(-1))]))
})

/**
 * Encodes a plan whose ranges cover the key space.
 *
 * @param plan The plan.
 * @returns The value of the plan's row.
 */
export function encodePlanRecord (plan: PlanRecord): unknown {
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
  const rows = plan.ranges.map((range) => [range.from, indexOf(range.owner), indexOf(range.previous)])
  return { era: plan.era, servers, ranges: rows }
}

/**
 * Decodes a plan's row.
 *
 * @param row The row as read from the store.
 * @returns The plan, or `null` if the value is not a valid plan.
 */
export function decodePlanRecord (row: StorePosition & { readonly value: unknown }): PlanRecord | null {
  const parsed = rowSchema.safeParse(row.value)
  if (!parsed.success || parsed.data.ranges[0]?.[0] !== 0) return null
  const { servers, ranges } = parsed.data
  return {
    era: parsed.data.era ?? row.era,
    ranges: ranges.map(([from, owner, previous], index) => ({
      from,
      to: (ranges[index + 1]?.[0] ?? KEY_SPACE) - 1,
      owner: servers[owner] ?? null,
      previous: servers[previous] ?? null
    }))
  }
}
