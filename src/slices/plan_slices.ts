/**
 * Decides which server of a cell owns which slice.
 *
 * Slices whose owner is not present are assigned first. After that, slices move
 * only while the busiest or the least loaded server deviates from the mean load
 * by more than a hysteresis. At most a given number of slices move at once. The
 * plan depends only on its arguments, so every leader with the same servers and
 * loads computes the same plan.
 */
import { hashText } from './slice_of_key.ts'

/** Options of {@link planSlices}. */
export interface PlanSlicesOptions {
  /** Servers that may own slices, in any order. */
  readonly servers: readonly string[]
  /** Measured load of each slice, all in the same unit; an absent slice has only the base load. Default: empty. */
  readonly loads?: ReadonlyMap<number, number>
  /** Base load added to the measured load of every slice, as a share of the mean slice load. Default: 0.25. */
  readonly baseLoadShare?: number
  /** Deviation of a server from the mean load above which slices move, as a share of the mean. Default: 0.15. */
  readonly hysteresis?: number
  /** Maximum number of slices that move away from servers that remain. Default: 4. */
  readonly maximumMoves?: number
}

/** Owner of each slice; slices outside the plan are absent. */
export type SliceOwners = ReadonlyMap<number, string>

/**
 * Plans the owner of each slice.
 *
 * @param slices The slices to assign, each with its current owner or `null`.
 * @param options Servers, loads and limits.
 * @returns The new owner of each slice; empty if there is no server.
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
  const weights = computeWeights(slices, options)
  const totals = new Map(servers.map((server) => [server, 0]))
  const unassigned: number[] = []
  for (const [slice, owner] of slices) {
    if (owner === null || !totals.has(owner)) {
      unassigned.push(slice)
      continue
    }
    assign(owners, totals, weights, slice, owner)
  }
  assignUnassigned(unassigned, owners, totals, weights)
  moveFromBusiest(owners, totals, weights, options)
  return owners
}

function computeWeights (
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

function assignUnassigned (
  unassigned: readonly number[],
  owners: Map<number, string>,
  totals: Map<string, number>,
  weights: ReadonlyMap<number, number>
): void {
  const heaviestFirst = [...unassigned].sort((left, right) =>
    (weights.get(right) ?? 0) - (weights.get(left) ?? 0) || left - right)
  for (const slice of heaviestFirst) {
    assign(owners, totals, weights, slice, findLeastLoaded(totals, slice))
  }
}

function findLeastLoaded (totals: ReadonlyMap<string, number>, slice: number): string {
  let best: string | undefined
  for (const [server, total] of totals) {
    if (best === undefined) {
      best = server
      continue
    }
    const bestTotal = totals.get(best) ?? 0
    const isTie = Math.abs(total - bestTotal) < 1e-9
    if (isTie ? hashText(`${server}/${slice}`) > hashText(`${best}/${slice}`) : total < bestTotal) best = server
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
    const [busiestServer, maximumLoad] = findExtreme(totals, (left, right) => left > right)
    const [leastLoadedServer, minimumLoad] = findExtreme(totals, (left, right) => left < right)
    const isUnderloaded = minimumLoad < mean * (1 - (options.hysteresis ?? 0.15))
    if (maximumLoad <= threshold && !isUnderloaded) return
    const slice = bestSliceToMove(owners, weights, { from: busiestServer, gap: maximumLoad - minimumLoad })
    if (slice === undefined) return
    assign(owners, totals, weights, slice, leastLoadedServer)
  }
}

function findExtreme (
  totals: ReadonlyMap<string, number>,
  isBetter: (left: number, right: number) => boolean
): [string, number] {
  let best: [string, number] | undefined
  for (const entry of totals) {
    if (best === undefined || isBetter(entry[1], best[1])) best = entry
  }
  return best ?? ['', 0]
}

/** Returns the slice whose move brings the loads of the two servers closest to each other. */
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
