/**
 * Decides which backend server owns which range of keys.
 *
 * Busy keys lie close to one another, so neighbouring ranges are dealt to
 * different servers, and a range that is too heavy to move is split by the
 * measured load of its keys. Servers are compared by utilisation: load divided
 * by capacity. The plan depends on nothing but its arguments.
 */
import { KEY_SPACE } from '../routing/mod.ts'

/** Keys `from` to `to`, both inclusive, and the server that is to own them. */
export interface PlannedRange {
  readonly from: number
  readonly to: number
  readonly owner: string | null
}

/** A server that may own keys. */
export interface OwnerCandidate {
  readonly id: string
  /** Requests a second that it can serve, in any unit that is the same for all servers; above 0. */
  readonly capacity: number
}

/** Options of {@link planRanges}. */
export interface PlanRangesOptions {
  readonly candidates: readonly OwnerCandidate[]
  /** Measured load of each key, as a count of requests; keys that are absent have none. */
  readonly keyLoads: ReadonlyMap<number, number>
  /** Ranges that may not change now. Default: none. */
  readonly isFixed?: (range: PlannedRange) => boolean
  /** How far a server's utilisation may stand above the mean before ranges leave it, as a share. Default: 0.25. */
  readonly hysteresis?: number
  /** Most ranges that move between servers that stay. Default: 8. */
  readonly maximumMoves?: number
  /** Most ranges that the plan may have; none is split beyond it. Default: 1024. */
  readonly maximumRanges?: number
}

/** Deviations of a random count by which a server must stand above its fair share: of some dozen servers one often shows fewer by chance. */
const NOISE_DEVIATIONS = 3

/** How much more capacity another server must have before a key that overfills any server moves there: each move leaves it unserved for a moment. */
const GIANT_GAIN = 1.25

/** How far a move may go beyond what balances exactly. */
const OVERFILL = 1.15

/** Width below which narrower ranges are no better to move, in keys. */
const WIDTH_OFFSET = 32

interface Load { readonly keys: readonly number[], readonly sums: readonly number[] }
interface Piece { from: number, to: number, owner: string | null, load: number, fixed: boolean }

/** Load of a range without measured requests, as a share of the mean load of a range. */
const IDLE_SHARE = 0.05

/** How finely the ranges of a new plan are cut for each server, so that each holds parts of every neighbourhood. */
const FIRST_RANGES_PER_SERVER = 12

/** Fewest and most ranges of a new plan; the upper bound keeps renewals affordable for one host. */
const FIRST_RANGES = { least: 64, most: 768 } as const

/**
 * Cuts the space of keys evenly for a service that has no plan yet.
 *
 * @param servers How many servers share the keys.
 * @returns Ranges without owners.
 */
export function partitionKeySpace (servers: number): PlannedRange[] {
  const wanted = Math.min(FIRST_RANGES.most, Math.max(FIRST_RANGES.least, servers * FIRST_RANGES_PER_SERVER))
  return Array.from({ length: wanted }, (_, index) => ({
    from: Math.floor(index * KEY_SPACE / wanted),
    to: Math.floor((index + 1) * KEY_SPACE / wanted) - 1,
    owner: null
  }))
}

/** Ranges of one service that may move for balance in one plan, at least: those of a busy neighbourhood. */
const LEAST_MOVES = 16

/** Share of a service's servers for each of which one range may move in one plan: busy keys of a large service overfill many servers at once. */
const MOVES_PER_SERVER = 0.4

/**
 * How many ranges of a service may move for balance in one plan.
 *
 * @param servers How many servers the service has.
 * @returns A limit for {@link PlanRangesOptions.maximumMoves}.
 */
export function maximumMovesPerPlan (servers: number): number {
  return Math.max(LEAST_MOVES, Math.ceil(servers * MOVES_PER_SERVER))
}

/**
 * Plans the owner of each range.
 *
 * @param ranges The ranges so far, in ascending order.
 * @param options Servers, loads and limits.
 * @returns The new ranges, in ascending order; owners are `null` only where there is no server.
 */
export function planRanges (ranges: readonly PlannedRange[], options: PlanRangesOptions): PlannedRange[] {
  const load = indexLoads(options.keyLoads)
  const idle = idleLoad(ranges.length, load)
  const capacities = new Map(options.candidates.map((candidate) => [candidate.id, candidate.capacity]))
  const pieces = ranges.map((range): Piece => ({
    from: range.from,
    to: range.to,
    owner: range.owner,
    load: loadBetween(load, range.from, range.to) + idle,
    fixed: options.isFixed?.(range) ?? false
  }))
  if (capacities.size === 0) return pieces.map(({ from, to, owner }) => ({ from, to, owner: options.isFixed === undefined ? null : owner }))
  const loads = new Map([...capacities.keys()].map((id) => [id, 0]))
  for (const piece of pieces) {
    if (piece.owner !== null && loads.has(piece.owner)) loads.set(piece.owner, (loads.get(piece.owner) ?? 0) + piece.load)
  }
  placeOrphans(pieces, loads, capacities)
  const total = [...loads.values()].reduce((sum, value) => sum + value, 0)
  placeGiants(pieces, { total, loads, capacities, load, idle, options })
  relieveBusiest(pieces, { total, loads, capacities, load, idle, options })
  return pieces.map(({ from, to, owner }) => ({ from, to, owner }))
}

function indexLoads (keyLoads: ReadonlyMap<number, number>): Load {
  const keys = [...keyLoads.keys()].sort((left, right) => left - right)
  const sums = [0]
  for (const key of keys) sums.push((sums.at(-1) ?? 0) + (keyLoads.get(key) ?? 0))
  return { keys, sums }
}

/** Index of the first key that is not below `key`. */
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

function loadBetween (load: Load, from: number, to: number): number {
  return (load.sums[lowerBound(load.keys, to + 1)] ?? 0) - (load.sums[lowerBound(load.keys, from)] ?? 0)
}

function idleLoad (ranges: number, load: Load): number {
  const total = load.sums.at(-1) ?? 0
  return total > 0 ? total / ranges * IDLE_SHARE : 1
}

/** Deals ranges whose owner is gone, heaviest first; equal ones go in turn, so that neighbours part. */
function placeOrphans (pieces: readonly Piece[], loads: Map<string, number>, capacities: ReadonlyMap<string, number>): void {
  const orphans = pieces.filter((piece) => !piece.fixed && (piece.owner === null || !capacities.has(piece.owner)))
  orphans.sort((left, right) => right.load - left.load || left.from - right.from)
  for (const orphan of orphans) {
    const target = leastUtilised(loads, capacities, orphan.load)
    orphan.owner = target
    loads.set(target, (loads.get(target) ?? 0) + orphan.load)
  }
}

/** The server whose utilisation would be lowest with `extra` load added. */
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

interface Balance {
  /** Sum of all loads. */
  readonly total: number
  readonly loads: Map<string, number>
  readonly capacities: ReadonlyMap<string, number>
  readonly load: Load
  readonly idle: number
  readonly options: PlanRangesOptions
}

/** Whether a range is one key that alone overfills a server of mean capacity: it stays where it is best served. */
function isGiant (piece: Piece, { total, capacities }: Balance): boolean {
  return piece.from === piece.to && piece.load * capacities.size > total * OVERFILL
}

/** Puts keys that are busier than a server on the servers with the most capacity. */
function placeGiants (pieces: readonly Piece[], balance: Balance): void {
  const { loads, capacities, options } = balance
  if ((options.maximumMoves ?? 1) === 0) return
  const giants = pieces.filter((piece) => !piece.fixed && isGiant(piece, balance)).sort((left, right) => right.load - left.load)
  const taken = new Set<string>()
  for (const giant of giants) {
    const [best, most] = [...capacities].filter(([id]) => !taken.has(id)).sort((left, right) => right[1] - left[1])[0] ?? ['', 0]
    const current = giant.owner ?? ''
    if (most > (capacities.get(current) ?? 0) * GIANT_GAIN || taken.has(current)) {
      loads.set(current, (loads.get(current) ?? 0) - giant.load)
      loads.set(best, (loads.get(best) ?? 0) + giant.load)
      giant.owner = best
    }
    taken.add(giant.owner ?? '')
  }
}

/** Moves ranges off the busiest servers, splitting those that are too heavy to move whole. */
function relieveBusiest (pieces: Piece[], balance: Balance): void {
  const { total, loads, capacities, options } = balance
  const capacity = [...capacities.values()].reduce((sum, value) => sum + value, 0)
  const hysteresis = options.hysteresis ?? 0.25
  const maximumMoves = options.maximumMoves ?? 8
  const maximumRanges = options.maximumRanges ?? 1024
  const stuck = new Set<string>()
  for (let moves = 0; moves < maximumMoves;) {
    const busiest = mostUtilised(loads, capacities, stuck)
    if (busiest === null) return
    const fair = total / capacity * (capacities.get(busiest) ?? 1)
    const excess = (loads.get(busiest) ?? 0) - fair
    if (excess <= Math.max(fair * hysteresis, NOISE_DEVIATIONS * Math.sqrt(fair))) {
      stuck.add(busiest)
      continue
    }
    const piece = pieceToMove(pieces.filter((candidate) => !isGiant(candidate, balance)), busiest, excess)
    if (piece === null) {
      stuck.add(busiest)
      continue
    }
    const target = leastUtilised(loads, capacities, piece.load)
    // A range that is too heavy for its place and for any other is split first.
    const overfills = (loads.get(target) ?? 0) + piece.load > total / capacity * (capacities.get(target) ?? 1) * OVERFILL
    if ((overfills || piece.load > excess * OVERFILL) && pieces.length < maximumRanges && split(pieces, piece, balance)) continue
    const improves = ((loads.get(target) ?? 0) + piece.load) / (capacities.get(target) ?? 1) <
      (loads.get(busiest) ?? 0) / (capacities.get(busiest) ?? 1)
    if (target === busiest || !improves) {
      stuck.add(busiest)
      continue
    }
    loads.set(busiest, (loads.get(busiest) ?? 0) - piece.load)
    loads.set(target, (loads.get(target) ?? 0) + piece.load)
    piece.owner = target
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

/** The heaviest range that fits into the excess, or else the lightest above it. */
function pieceToMove (pieces: readonly Piece[], owner: string, excess: number): Piece | null {
  let fitting: Piece | null = null
  let larger: Piece | null = null
  for (const piece of pieces) {
    if (piece.owner !== owner || piece.fixed) continue
    if (piece.load <= excess * OVERFILL) {
      if (fitting === null || worth(piece) > worth(fitting)) fitting = piece
    } else if (larger === null || piece.load < larger.load) {
      larger = piece
    }
  }
  if (fitting !== null && fitting.load >= excess * 0.25) return fitting
  return larger ?? fitting
}

/** Load that a move brings for each key that it moves: moved keys are cold for a while, so narrow busy ranges go first. */
function worth (piece: Piece): number {
  return piece.load / (piece.to - piece.from + WIDTH_OFFSET)
}

/** Splits a range where its load is halved; returns false for a single key. */
function split (pieces: Piece[], piece: Piece, balance: Balance): boolean {
  if (piece.from === piece.to) return false
  const { load, idle } = balance
  const start = load.sums[lowerBound(load.keys, piece.from)] ?? 0
  const half = start + loadBetween(load, piece.from, piece.to) / 2
  let index = lowerBound(load.keys, piece.from)
  while ((load.sums[index + 1] ?? Infinity) < half) index++
  const middle = Math.min(piece.to - 1, Math.max(piece.from, load.keys[index] ?? piece.from))
  const second: Piece = { from: middle + 1, to: piece.to, owner: piece.owner, load: loadBetween(load, middle + 1, piece.to) + idle, fixed: false }
  const gained = loadBetween(load, piece.from, middle) + idle + second.load - piece.load
  piece.to = middle
  piece.load = loadBetween(load, piece.from, middle) + idle
  if (piece.owner !== null) balance.loads.set(piece.owner, (balance.loads.get(piece.owner) ?? 0) + gained)
  pieces.splice(pieces.indexOf(piece) + 1, 0, second)
  return true
}
