/** Placement of keys under skewed load: this project's slices against baselines, in one seeded run. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { hashText, planSlices, sliceOfKey } from '../src/slices/mod.ts'

/** Result of one way of placing keys. */
export interface PlacementResult {
  readonly name: string
  /** Keys of the fullest server over the mean; mean of the steps. */
  readonly keyImbalance: number
  /** Load of the busiest server over the mean; mean of the steps, and the worst step after the first ten. */
  readonly loadImbalance: number
  readonly worstLoadImbalance: number
  /** Keys that changed owner over the whole run, in thousands. */
  readonly movedKeysThousands: number
  /** Keys that changed owner over the least that the comings and goings of servers require. */
  readonly movedOverMinimum: number
}

/** A way of placing keys; it sees the load of the step before. */
interface Policy {
  readonly name: string
  place (servers: readonly string[], keyLoads: Float64Array): Uint16Array
}

const KEYS = 20_000
const STEPS = 60
const HOT_KEYS = 19
const HOT_EVERY_STEPS = 6
const ZIPF_EXPONENT = 0.8
const SERVERS = 20

const keyNames = Array.from({ length: KEYS }, (_, key) => `key-${key}`)
const keyHashes = Uint32Array.from(keyNames, (name) => hashText(name))

function indexOf (servers: readonly string[]): (name: string) => number {
  const places = new Map(servers.map((name) => [name, Number(name.slice(1))]))
  return (name) => places.get(name) ?? 0
}

function modulo (): Policy {
  return {
    name: 'modulo',
    place: (servers) => Uint16Array.from(keyHashes, (hash) => Number(servers[hash % servers.length]?.slice(1)))
  }
}

function rendezvous (): Policy {
  return {
    name: 'rendezvous',
    place: (servers) => Uint16Array.from(keyNames, (key) => {
      let best = 0
      let highest = -1
      for (const server of servers) {
        const score = hashText(`${key}/${server}`)
        if (score > highest) {
          highest = score
          best = Number(server.slice(1))
        }
      }
      return best
    })
  }
}

/** Consistent hashing with bounded loads: no server gets more keys than 1.25 times the mean. */
function boundedLoad (): Policy {
  return {
    name: 'bounded-load consistent hashing',
    place (servers) {
      const ring = servers.flatMap((server) => Array.from({ length: 64 }, (_, copy) => ({ at: hashText(`${server}#${copy}`), server })))
        .sort((left, right) => left.at - right.at)
      const limit = Math.ceil(KEYS / servers.length * 1.25)
      const counts = new Map(servers.map((server) => [server, 0]))
      return Uint16Array.from(keyHashes, (hash) => {
        let place = firstAtOrAfter(ring, hash)
        while ((counts.get(ring[place]?.server ?? '') ?? 0) >= limit) place = (place + 1) % ring.length
        const server = ring[place]?.server ?? ''
        counts.set(server, (counts.get(server) ?? 0) + 1)
        return Number(server.slice(1))
      })
    }
  }
}

function firstAtOrAfter (ring: ReadonlyArray<{ readonly at: number }>, hash: number): number {
  let low = 0
  let high = ring.length
  while (low < high) {
    const middle = (low + high) >> 1
    if ((ring[middle]?.at ?? 0) < hash) low = middle + 1
    else high = middle
  }
  return low % ring.length
}

function slices (options: { readonly count: number, readonly isolateHot: boolean, readonly moves: number }): Policy {
  const sliceOf = Uint16Array.from(keyNames, (key) => sliceOfKey(key, options.count))
  let owners = new Map<number, string | null>()
  const hotSlices = new Map<number, number>()

  /** A hot key becomes a slice of its own while it is among the hottest. */
  function isolate (keyLoads: Float64Array): void {
    if (!options.isolateHot) return
    const hottest = [...keyLoads.keys()].sort((left, right) => (keyLoads[right] ?? 0) - (keyLoads[left] ?? 0)).slice(0, HOT_KEYS)
    for (const key of [...hotSlices.keys()]) {
      if (hottest.includes(key)) continue
      owners.delete(hotSlices.get(key) ?? 0)
      hotSlices.delete(key)
    }
    for (const key of hottest) {
      if (hotSlices.has(key)) continue
      let free = options.count
      while ([...hotSlices.values()].includes(free)) free++
      hotSlices.set(key, free)
      owners.set(free, owners.get(sliceOf[key] ?? 0) ?? null)
    }
  }

  return {
    name: `${options.count} slices${options.isolateHot ? ', hot keys apart' : ''}, ${options.moves} moves a step`,
    place (servers, keyLoads) {
      isolate(keyLoads)
      const loads = new Map<number, number>()
      for (let key = 0; key < KEYS; key++) {
        const slice = hotSlices.get(key) ?? sliceOf[key] ?? 0
        loads.set(slice, (loads.get(slice) ?? 0) + (keyLoads[key] ?? 0))
      }
      for (let slice = 0; slice < options.count; slice++) if (!owners.has(slice)) owners.set(slice, null)
      owners = new Map(planSlices(owners, { servers, loads, maximumMoves: options.moves }))
      const index = indexOf(servers)
      return Uint16Array.from(keyNames, (_, key) => index(owners.get(hotSlices.get(key) ?? sliceOf[key] ?? 0) ?? ''))
    }
  }
}

/** Servers at each step: one joins, one leaves, one is lost and comes back. */
function serversAt (step: number): string[] {
  const names = Array.from({ length: SERVERS }, (_, server) => `s${server}`)
  if (step >= 15) names.push(`s${SERVERS}`)
  return names.filter((name) => !(name === 's3' && step >= 25) && !(name === 's7' && step >= 35 && step < 45))
}

function leastMoves (): number {
  let least = 0
  for (let step = 1; step < STEPS; step++) {
    const before = serversAt(step - 1)
    const after = serversAt(step)
    const lost = before.filter((name) => !after.includes(name)).length
    const joined = after.filter((name) => !before.includes(name)).length
    least += lost * KEYS / before.length + joined * KEYS / after.length
  }
  return least
}

function run (policy: Policy, seed: number): PlacementResult {
  const random = xoroshiro128plus(seed)
  const ranks = Uint32Array.from({ length: KEYS }, (_, key) => key)
  for (let place = KEYS - 1; place > 0; place--) swap(ranks, place, uniformInt(random, 0, place))
  let seen = new Float64Array(KEYS).fill(1)
  let previous: Uint16Array | null = null
  const keyImbalances: number[] = []
  const loadImbalances: number[] = []
  let moved = 0
  for (let step = 0; step < STEPS; step++) {
    if (step % HOT_EVERY_STEPS === HOT_EVERY_STEPS - 1) {
      for (let hot = 0; hot < HOT_KEYS; hot++) swap(ranks, hot, uniformInt(random, HOT_KEYS, KEYS - 1))
    }
    const loads = new Float64Array(KEYS)
    for (const [rank, key] of ranks.entries()) loads[key] = 1 / (rank + 1) ** ZIPF_EXPONENT
    const servers = serversAt(step)
    const placed = policy.place(servers, seen)
    keyImbalances.push(imbalance(placed, new Float64Array(KEYS).fill(1), servers))
    loadImbalances.push(imbalance(placed, loads, servers))
    if (previous !== null) for (let key = 0; key < KEYS; key++) if (previous[key] !== placed[key]) moved++
    previous = placed
    seen = loads
  }
  return {
    name: policy.name,
    keyImbalance: mean(keyImbalances),
    loadImbalance: mean(loadImbalances),
    worstLoadImbalance: Math.max(...loadImbalances.slice(10)),
    movedKeysThousands: moved / 1000,
    movedOverMinimum: moved / leastMoves()
  }
}

function imbalance (placed: Uint16Array, loads: Float64Array, servers: readonly string[]): number {
  const totals = new Float64Array(SERVERS + 1)
  for (let key = 0; key < KEYS; key++) totals[placed[key] ?? 0] = (totals[placed[key] ?? 0] ?? 0) + (loads[key] ?? 0)
  const present = servers.map((name) => totals[Number(name.slice(1))] ?? 0)
  return Math.max(...present) / mean(present)
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function swap (values: Uint32Array, left: number, right: number): void {
  const value = values[left] ?? 0
  values[left] = values[right] ?? 0
  values[right] = value
}

/**
 * Runs every way of placing keys over the same load.
 *
 * @param seed Seed of the load.
 * @returns One result for each way.
 */
export function runPlacementBench (seed: number): PlacementResult[] {
  const policies = [
    modulo(), rendezvous(), boundedLoad(),
    slices({ count: 80, isolateHot: false, moves: 4 }), slices({ count: 160, isolateHot: false, moves: 4 }),
    slices({ count: 320, isolateHot: false, moves: 2 }), slices({ count: 320, isolateHot: false, moves: 4 }),
    slices({ count: 320, isolateHot: false, moves: 16 }), slices({ count: 1280, isolateHot: false, moves: 16 }),
    slices({ count: 320, isolateHot: true, moves: 4 }), slices({ count: 320, isolateHot: true, moves: 16 })
  ]
  return policies.map((policy) => run(policy, seed))
}
