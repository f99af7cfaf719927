/**
 * Plans which backend server owns which range of keys.
 *
 * Busy keys lie close to one another, so neighbouring ranges are assigned to
 * different servers, and a range whose load is too high to move is split by the
 * measured load of its keys. Servers are compared by utilisation: load divided
 * by capacity. The plan is a pure function of its arguments.
 */
import { KEY_SPACE } from '../routing/mod.ts'

/** Keys `from` to `to`, both inclusive, and the server planned to own them. */
export interface PlannedRange {
  readonly from: number
  readonly to: number
  readonly owner: string | null
}

/** A server that may own keys. */
export interface OwnerCandidate {
  readonly id: string
  /** Relative request rate that the server can handle, in the same unit for all servers; above 0. */
  readonly capacity: number
}

/** Options of {@link planRanges}. */
export interface PlanRangesOptions {
  readonly candidates: readonly OwnerCandidate[]
  /** Measured load of each key, as a count of requests; absent keys have no load. */
  readonly keyLoads: ReadonlyMap<number, number>
  /** Whether a range must keep its owner and bounds in this plan. Default: none. */
  readonly isFixed?: (range: PlannedRange) => boolean
  /** Share by which a server's utilisation may exceed the mean before ranges are moved off it. Default: 0.25. */
  readonly hysteresis?: number
  /** Maximum number of ranges moved off servers that remain candidates. Default: 8. */
  readonly maximumMoves?: number
  /** Maximum number of ranges in the plan; no range is split beyond it. Default: 1024. */
  readonly maximumRanges?: number
}

/** Standard deviations of a random count by which a server's load must exceed its fair share. Smaller excesses are common by chance among a dozen servers. */
const NOISE_DEVIATIONS = 3

/** Factor by which another server's capacity must be higher before an oversized key moves there, as each move briefly leaves the key unserved. */
const OVERSIZED_KEY_CAPACITY_GAIN = 1.25

/** Factor by which a moved range may exceed the exactly balanced load. */
const OVERFILL_TOLERANCE = 1.15

/** Width added to every range when comparing load per key, in keys; below it, a narrower range is hardly preferred. */
const RANGE_WIDTH_OFFSET_KEYS = 32

/** Keys with load in ascending order, and the prefix sums of their loads. */
interface CumulativeLoad { readonly keys: readonly number[], readonly sums: readonly number[] }
/** A range while it is being planned. */
interface DraftRange { from: number, to: number, owner: string | null, load: number, fixed: boolean }

/** Load added to the measured load of each range, as a share of the mean load of a range. */
const IDLE_LOAD_SHARE = 0.05

/** Ranges per server in a new plan: enough for each server to own some of any group of neighbouring busy keys. */
const INITIAL_RANGES_PER_SERVER = 12

/** Minimum and maximum number of ranges in a new plan; the maximum limits how many renewals the leader has to send. */
const INITIAL_RANGES = { minimum: 64, maximum: 768 } as const

/**
 * Partitions the key space evenly for a service that has no plan yet.
 *
 * @param servers Number of servers that share the keys.
 * @returns Ranges without owners, in ascending order.
 */
export function partitionKeySpace (servers: number): PlannedRange[] {
  const count = Math.min(INITIAL_RANGES.maximum, Math.max(INITIAL_RANGES.minimum, servers * INITIAL_RANGES_PER_SERVER))
  return Array.from({ length: count }, (_, index) => ({
    from: Math.floor(index * KEY_SPACE / count),
    to: Math.floor((index + 1) * KEY_SPACE / count) - 1,
    owner: null
  }))
}

/** Number of ranges that a plan may move for balance even if the service has few servers: as many as a group of neighbouring busy keys has. */
const MINIMUM_MOVES = 16

/** Ranges that a plan may move for balance per server of the service: busy keys of a large service overload many servers at once. */
const MOVES_PER_SERVER = 0.4

/**
 * Returns how many ranges of a service may move for balance in one plan.
 *
 * @param servers Number of servers of the service.
 * @returns A limit for {@link PlanRangesOptions.maximumMoves}.
 */
export function maximumMovesPerPlan (servers: number): number {
  return Math.max(MINIMUM_MOVES, Math.ceil(servers * MOVES_PER_SERVER))
}

/**
 * Plans the owner of each range.
 *
 * @param ranges The current ranges, in ascending order.
 * @param options Servers, loads and limits.
 * @returns The new ranges, in ascending order; owners are `null` only if there is no candidate.
 */
export function planRanges (ranges: readonly PlannedRange[], options: PlanRangesOptions): PlannedRange[] {
  const load = indexLoads(options.keyLoads)
  const idle = idleLoad(ranges.length, load)
  const capacities = new Map(options.candidates.map((candidate) => [candidate.id, candidate.capacity]))
  const drafts = ranges.map((range): DraftRange => ({
    from: range.from,
    to: range.to,
    owner: range.owner,
    load: loadBetween(load, range.from, range.to) + idle,
    fixed: options.isFixed?.(range) ?? false
  }))
  if (capacities.size === 0) return drafts.map(({ from, to, owner }) => ({ from, to, owner: options.isFixed === undefined ? null : owner }))
  const loads = new Map([...capacities.keys()].map((id) => [id, 0]))
  for (const draft of drafts) {
    if (draft.owner !== null && loads.has(draft.owner)) loads.set(draft.owner, (loads.get(draft.owner) ?? 0) + draft.load)
  }
  assignUnownedRanges(drafts, loads, capacities)
  const total = [...loads.values()].reduce((sum, value) => sum + value, 0)
  placeOversizedKeys(drafts, { total, loads, capacities, load, idle, options })
  relieveBusiest(drafts, { total, loads, capacities, load, idle, options })
  return drafts.map(({ from, to, owner }) => ({ from, to, owner }))
}

function indexLoads (keyLoads: ReadonlyMap<number, number>): CumulativeLoad {
  const keys = [...keyLoads.keys()].sort((left, right) => left - right)
  const sums = [0]
  for (const key of keys) sums.push((sums.at(-1) ?? 0) + (keyLoads.get(key) ?? 0))
  return { keys, sums }
}

/** Returns the index of the first key that is not below `key`. */
function lowerBound (keys: readonly number[], key: number): number {
  let low = 0
  let high = keys.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if ((keys[middle] ?? 0) < key) low = middle + 1
    else high = middle
  }
  return low
}

function loadBetween (load: CumulativeLoad, from: number, to: number): number {
  return (load.sums[lowerBound(load.keys, to + 1)] ?? 0) - (load.sums[lowerBound(load.keys, from)] ?? 0)
}

function idleLoad (ranges: number, load: CumulativeLoad): number {
  const total = load.sums.at(-1) ?? 0
  return total > 0 ? total / ranges * IDLE_LOAD_SHARE : 1
}

/** Assigns ranges whose owner is not a candidate, highest load first; ranges of equal load are assigned in turn, so that neighbours get different servers. */
function assignUnownedRanges (drafts: readonly DraftRange[], loads: Map<string, number>, capacities: ReadonlyMap<string, number>): void {
  const unowned = drafts.filter((draft) => !draft.fixed && (draft.owner === null || !capacities.has(draft.owner)))
  unowned.sort((left, right) => right.load - left.load || left.from - right.from)
  for (const draft of unowned) {
    const target = leastUtilised(loads, capacities, draft.load)
    draft.owner = target
    loads.set(target, (loads.get(target) ?? 0) + draft.load)
  }
}

/** Returns the server whose utilisation would be lowest with `extra` load added. */
function leastUtilised (loads: ReadonlyMap<string, number>, capacities: ReadonlyMap<string, number>, extra: number): string {
  let best = ''
  let lowest = Infinity
  for (const [id, capacity] of capacities) {
    const utilisation = ((loads.get(id) ?? 0) + extra) / capacity
    if (utilisation < lowest) {
      best = id
      lowest = utilisation
    }
  }
  return best
}

/** Loads and capacities shared by the steps of one plan. */
interface PlanContext {
  /** Sum of all loads. */
  readonly total: number
  readonly loads: Map<string, number>
  readonly capacities: ReadonlyMap<string, number>
  readonly load: CumulativeLoad
  readonly idle: number
  readonly options: PlanRangesOptions
}

/** Whether a range is a single key that alone overloads a server of mean capacity. Such a key is not moved for balance. */
function isOversizedKey (draft: DraftRange, { total, capacities }: PlanContext): boolean {
  return draft.from === draft.to && draft.load * capacities.size > total * OVERFILL_TOLERANCE
}

/** Assigns oversized keys to the servers with the highest capacity, one key to each server. */
function placeOversizedKeys (drafts: readonly DraftRange[], context: PlanContext): void {
  const { loads, capacities, options } = context
  if ((options.maximumMoves ?? 1) === 0) return
  const oversizedKeys = drafts.filter((draft) => !draft.fixed && isOversizedKey(draft, context)).sort((left, right) => right.load - left.load)
  const usedServers = new Set<string>()
  for (const oversizedKey of oversizedKeys) {
    const [bestServer, capacity] = [...capacities].filter(([id]) => !usedServers.has(id)).sort((left, right) => right[1] - left[1])[0] ?? ['', 0]
    const current = oversizedKey.owner ?? ''
    if (capacity > (capacities.get(current) ?? 0) * OVERSIZED_KEY_CAPACITY_GAIN || usedServers.has(current)) {
      loads.set(current, (loads.get(current) ?? 0) - oversizedKey.load)
      loads.set(bestServer, (loads.get(bestServer) ?? 0) + oversizedKey.load)
      oversizedKey.owner = bestServer
    }
    usedServers.add(oversizedKey.owner ?? '')
  }
}

/** Moves ranges off the busiest servers and splits those whose load is too high to move whole. */
function relieveBusiest (drafts: DraftRange[], context: PlanContext): void {
  const { total, loads, capacities, options } = context
  const capacity = [...capacities.values()].reduce((sum, value) => sum + value, 0)
  const hysteresis = options.hysteresis ?? 0.25
  const maximumMoves = options.maximumMoves ?? 8
  const maximumRanges = options.maximumRanges ?? 1024
  const notRelievable = new Set<string>()
  for (let moves = 0; moves < maximumMoves;) {
    const busiest = mostUtilised(loads, capacities, notRelievable)
    if (busiest === null) return
    const fairLoad = total / capacity * (capacities.get(busiest) ?? 1)
    const excess = (loads.get(busiest) ?? 0) - fairLoad
    if (excess <= Math.max(fairLoad * hysteresis, NOISE_DEVIATIONS * Math.sqrt(fairLoad))) {
      notRelievable.add(busiest)
      continue
    }
    const draft = rangeToMove(drafts.filter((candidate) => !isOversizedKey(candidate, context)), busiest, excess)
    if (draft === null) {
      notRelievable.add(busiest)
      continue
    }
    const target = leastUtilised(loads, capacities, draft.load)
    // A range whose load is above the excess, or above what the target can take, is split first.
    const overfills = (loads.get(target) ?? 0) + draft.load > total / capacity * (capacities.get(target) ?? 1) * OVERFILL_TOLERANCE
    if ((overfills || draft.load > excess * OVERFILL_TOLERANCE) && drafts.length < maximumRanges && split(drafts, draft, context)) continue
    const improvesBalance = ((loads.get(target) ?? 0) + draft.load) / (capacities.get(target) ?? 1) <
      (loads.get(busiest) ?? 0) / (capacities.get(busiest) ?? 1)
    if (target === busiest || !improvesBalance) {
      notRelievable.add(busiest)
      continue
    }
    loads.set(busiest, (loads.get(busiest) ?? 0) - draft.load)
    loads.set(target, (loads.get(target) ?? 0) + draft.load)
    draft.owner = target
    moves++
  }
}

function mostUtilised (loads: ReadonlyMap<string, number>, capacities: ReadonlyMap<string, number>, except: ReadonlySet<string>): string | null {
  let best: string | null = null
  let highest = -1
  for (const [id, capacity] of capacities) {
    const utilisation = (loads.get(id) ?? 0) / capacity
    if (!except.has(id) && utilisation > highest) {
      best = id
      highest = utilisation
    }
  }
  return best
}

/** Returns the range with the highest load per key that fits into the excess; if its load is small, the range with the lowest load above the excess. */
function rangeToMove (drafts: readonly DraftRange[], owner: string, excess: number): DraftRange | null {
  let fitting: DraftRange | null = null
  let larger: DraftRange | null = null
  for (const draft of drafts) {
    if (draft.owner !== owner || draft.fixed) continue
    if (draft.load <= excess * OVERFILL_TOLERANCE) {
      if (fitting === null || loadPerKey(draft) > loadPerKey(fitting)) fitting = draft
    } else if (larger === null || draft.load < larger.load) {
      larger = draft
    }
  }
  if (fitting !== null && fitting.load >= excess * 0.25) return fitting
  return larger ?? fitting
}

/** Load moved per key. Moved keys are cold for a while, so narrow busy ranges are preferred. */
function loadPerKey (draft: DraftRange): number {
  return draft.load / (draft.to - draft.from + RANGE_WIDTH_OFFSET_KEYS)
}

/** Splits a range into halves of equal load; returns false for a single key. */
function split (drafts: DraftRange[], draft: DraftRange, context: PlanContext): boolean {
  if (draft.from === draft.to) return false
  const { load, idle } = context
  const start = load.sums[lowerBound(load.keys, draft.from)] ?? 0
  const half = start + loadBetween(load, draft.from, draft.to) / 2
  let index = lowerBound(load.keys, draft.from)
  while ((load.sums[index + 1] ?? Infinity) < half) index++
  const middle = Math.min(draft.to - 1, Math.max(draft.from, load.keys[index] ?? draft.from))
  const second: DraftRange = { from: middle + 1, to: draft.to, owner: draft.owner, load: loadBetween(load, middle + 1, draft.to) + idle, fixed: false }
  const addedLoad = loadBetween(load, draft.from, middle) + idle + second.load - draft.load
  draft.to = middle
  draft.load = loadBetween(load, draft.from, middle) + idle
  if (draft.owner !== null) context.loads.set(draft.owner, (context.loads.get(draft.owner) ?? 0) + addedLoad)
  drafts.splice(drafts.indexOf(draft) + 1, 0, second)
  return true
}
