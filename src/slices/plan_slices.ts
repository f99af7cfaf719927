/**
 * Decides which server of a cell owns which slice.
 *
 * Slices of servers that are gone are shared out first; after that slices move
 * only while the busiest server stands above the mean by more than a
 * hysteresis, and never more than a given number of them at once. The plan
 * depends on nothing but its arguments, so every leader that sees the same
 * servers and loads arrives at the same plan.
 */
import { hashText } from './slice_of_key.ts'

/** Options of {@link planSlices}. */
export interface PlanSlicesOptions {
  /** Servers that may own slices, in any order. */
  readonly servers: readonly string[]
  /** Load of each slice in any one unit; a slice that is not named weighs `baseLoad`. Default: none named. */
  readonly loads?: ReadonlyMap<number, number>
  /** Load that every slice has besides its measured load, as a share of the mean slice load. Default: 0.25. */
  readonly baseLoadShare?: number
  /** How far a server may stand above the mean before slices leave it, as a share of the mean. Default: 0.15. */
  readonly hysteresis?: number
  /** How many slices may move from servers that stay. Default: 4. */
  readonly maximumMoves?: number
}

/** Owner of each slice; a slice that is not in the map is not planned here. */
export type SliceOwners = ReadonlyMap<number, string>

/**
 * Plans the owner of each slice.
 *
 * @param slices The slices to place, each with its owner so far or `null`.
 * @param options Servers, loads and limits.
 * @returns The new owner of each slice; empty where there is no server.
 * @example
 * ```ts
 * planSlices(new Map([[0, null], [1, 'a']]), { servers: ['a', 'b'] })
 * ```
 */
export function planSlices (
  slices: ReadonlyMap<number, string | null>,
  options: PlanSlicesOptions
): Map<number, string> {
  const servers = [...options.servers].sort()
  const owners = new Map<number, string>()
  if (servers.length === 0) return owners
  const weights = weighSlices(slices, options)
  const totals = new Map(servers.map((server) => [server, 0]))
  const homeless: number[] = []
  for (const [slice, owner] of slices) {
    if (owner === null || !totals.has(owner)) {
      homeless.push(slice)
      continue
    }
    assign(owners, totals, weights, slice, owner)
  }
  placeHomeless(homeless, owners, totals, weights)
  moveFromBusiest(owners, totals, weights, options)
  return owners
}

function weighSlices (
  slices: ReadonlyMap<number, string | null>,
  options: PlanSlicesOptions
): Map<number, number> {
  let sum = 0
  for (const slice of slices.keys()) sum += options.loads?.get(slice) ?? 0
  const mean = slices.size > 0 ? sum / slices.size : 0
  const base = mean > 0 ? mean * (options.baseLoadShare ?? 0.25) : 1
  return new Map([...slices.keys()].map((slice) => [slice, base + (options.loads?.get(slice) ?? 0)]))
}

function assign (
  owners: Map<number, string>,
  totals: Map<string, number>,
  weights: ReadonlyMap<number, number>,
  slice: number,
  owner: string
): void {
  const previous = owners.get(slice)
  const weight = weights.get(slice) ?? 0
  if (previous !== undefined) totals.set(previous, (totals.get(previous) ?? 0) - weight)
  owners.set(slice, owner)
  totals.set(owner, (totals.get(owner) ?? 0) + weight)
}

function placeHomeless (
  homeless: readonly number[],
  owners: Map<number, string>,
  totals: Map<string, number>,
  weights: ReadonlyMap<number, number>
): void {
  const heaviestFirst = [...homeless].sort((left, right) =>
    (weights.get(right) ?? 0) - (weights.get(left) ?? 0) || left - right)
  for (const slice of heaviestFirst) {
    assign(owners, totals, weights, slice, leastLoaded(totals, slice))
  }
}

function leastLoaded (totals: ReadonlyMap<string, number>, slice: number): string {
  let best: string | undefined
  for (const [server, total] of totals) {
    if (best === undefined) {
      best = server
      continue
    }
    const bestTotal = totals.get(best) ?? 0
    const tie = Math.abs(total - bestTotal) < 1e-9
    if (tie ? hashText(`${server}/${slice}`) > hashText(`${best}/${slice}`) : total < bestTotal) best = server
  }
  return best ?? ''
}

function moveFromBusiest (
  owners: Map<number, string>,
  totals: Map<string, number>,
  weights: ReadonlyMap<number, number>,
  options: PlanSlicesOptions
): void {
  const mean = [...totals.values()].reduce((sum, total) => sum + total, 0) / totals.size
  const threshold = mean * (1 + (options.hysteresis ?? 0.15))
  for (let moves = 0; moves < (options.maximumMoves ?? 4); moves++) {
    const [busiest, most] = extreme(totals, (left, right) => left > right)
    const [idlest, least] = extreme(totals, (left, right) => left < right)
    const starved = least < mean * (1 - (options.hysteresis ?? 0.15))
    if (most <= threshold && !starved) return
    const slice = bestSliceToMove(owners, weights, { from: busiest, gap: most - least })
    if (slice === undefined) return
    assign(owners, totals, weights, slice, idlest)
  }
}

function extreme (
  totals: ReadonlyMap<string, number>,
  better: (left: number, right: number) => boolean
): [string, number] {
  let found: [string, number] | undefined
  for (const entry of totals) {
    if (found === undefined || better(entry[1], found[1])) found = entry
  }
  return found ?? ['', 0]
}

/** Picks the slice whose move brings the two servers closest to each other. */
function bestSliceToMove (
  owners: ReadonlyMap<number, string>,
  weights: ReadonlyMap<number, number>,
  move: { readonly from: string, readonly gap: number }
): number | undefined {
  let best: number | undefined
  let bestDistance = move.gap / 2
  for (const [slice, owner] of owners) {
    if (owner !== move.from) continue
    const weight = weights.get(slice) ?? 0
    const distance = Math.abs(move.gap / 2 - weight)
    if (weight < move.gap && distance < bestDistance) {
      best = slice
      bestDistance = distance
    }
  }
  return best
}
