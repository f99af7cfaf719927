/** Compares placement of keys by slices with baseline algorithms under skewed load, in one seeded run. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { hashText, planSlices, sliceOfKey } from '../src/slices/mod.ts'

/** Result of one placement policy. */
export interface PlacementResult {
  readonly name: string
  /** Keys of the server with the most keys, divided by the mean; mean over the steps. */
  readonly keyImbalance: number
  /** Load of the busiest server divided by the mean: mean over the steps, and the worst step after the first ten. */
  readonly loadImbalance: number
  readonly worstLoadImbalance: number
  /** Keys that changed owner during the run, in thousands. */
  readonly movedKeysThousands: number
  /** Keys that changed owner, divided by the minimum that joining and leaving servers require. */
  readonly movedOverMinimum: number
}

/** Assigns keys to servers; receives the load of the previous step. */
interface PlacementPolicy {
  readonly name: string
  place (servers: readonly string[], keyLoads: Float64Array): Uint16Array
}

const KEYS = 20_000
const STEPS = 60
const HOT_KEYS = 19
const STEPS_PER_HOT_KEY_CHANGE = 6
const ZIPF_EXPONENT = 0.8
const INITIAL_SERVERS = 20

const keyNames = Array.from({ length: KEYS }, (_, key) => `key-${key}`)
const keyHashes = Uint32Array.from(keyNames, (name) => hashText(name))

function serverIndexOf (servers: readonly string[]): (name: string) => number {
  const indices = new Map(servers.map((name) => [name, Number(name.slice(1))]))
  return (name) => indices.get(name) ?? 0
}

function moduloPolicy (): PlacementPolicy {
  return {
    name: 'modulo',
    place: (servers) => Uint16Array.from(keyHashes, (hash) => Number(servers[hash % servers.length]?.slice(1)))
  }
}

function rendezvousPolicy (): PlacementPolicy {
  return {
    name: 'rendezvous',
    place: (servers) => Uint16Array.from(keyNames, (key) => {
      let bestServer = 0
      let highestScore = -1
      for (const server of servers) {
        const score = hashText(`${key}/${server}`)
        if (score > highestScore) {
          highestScore = score
          bestServer = Number(server.slice(1))
        }
      }
      return bestServer
    })
  }
}

/** Consistent hashing with bounded loads: a server gets at most 1.25 times the mean number of keys. */
function boundedLoadPolicy (): PlacementPolicy {
  return {
    name: 'bounded-load consistent hashing',
    place (servers) {
      const ring = servers.flatMap((server) => Array.from({ length: 64 }, (_, copy) => ({ position: hashText(`${server}#${copy}`), server })))
        .sort((left, right) => left.position - right.position)
      const maximumKeys = Math.ceil(KEYS / servers.length * 1.25)
      const keyCounts = new Map(servers.map((server) => [server, 0]))
      return Uint16Array.from(keyHashes, (hash) => {
        let ringIndex = firstAtOrAfter(ring, hash)
        while ((keyCounts.get(ring[ringIndex]?.server ?? '') ?? 0) >= maximumKeys) ringIndex = (ringIndex + 1) % ring.length
        const server = ring[ringIndex]?.server ?? ''
        keyCounts.set(server, (keyCounts.get(server) ?? 0) + 1)
        return Number(server.slice(1))
      })
    }
  }
}

function firstAtOrAfter (ring: ReadonlyArray<{ readonly position: number }>, hash: number): number {
  let low = 0
  let high = ring.length
  while (low < high) {
    const middle = (low + high) >> 1
    if ((ring[middle]?.position ?? 0) < hash) low = middle + 1
    else high = middle
  }
  return low % ring.length
}

function slicePolicy (options: { readonly count: number, readonly isolatesHotKeys: boolean, readonly movesPerStep: number }): PlacementPolicy {
  const sliceOf = Uint16Array.from(keyNames, (key) => sliceOfKey(key, options.count))
  let owners = new Map<number, string | null>()
  const hotSlices = new Map<number, number>()

  /** Gives each of the hottest keys a slice of its own, and removes the slices of keys that are no longer hot. */
  function isolateHotKeys (keyLoads: Float64Array): void {
    if (!options.isolatesHotKeys) return
    const hottest = [...keyLoads.keys()].sort((left, right) => (keyLoads[right] ?? 0) - (keyLoads[left] ?? 0)).slice(0, HOT_KEYS)
    for (const key of [...hotSlices.keys()]) {
      if (hottest.includes(key)) continue
      owners.delete(hotSlices.get(key) ?? 0)
      hotSlices.delete(key)
    }
    for (const key of hottest) {
      if (hotSlices.has(key)) continue
      let freeSlice = options.count
      while ([...hotSlices.values()].includes(freeSlice)) freeSlice++
      hotSlices.set(key, freeSlice)
      owners.set(freeSlice, owners.get(sliceOf[key] ?? 0) ?? null)
    }
  }

  return {
    name: `${options.count} slices${options.isolatesHotKeys ? ', hot keys apart' : ''}, ${options.movesPerStep} moves a step`,
    place (servers, keyLoads) {
      isolateHotKeys(keyLoads)
      const loads = new Map<number, number>()
      for (let key = 0; key < KEYS; key++) {
        const slice = hotSlices.get(key) ?? sliceOf[key] ?? 0
        loads.set(slice, (loads.get(slice) ?? 0) + (keyLoads[key] ?? 0))
      }
      for (let slice = 0; slice < options.count; slice++) if (!owners.has(slice)) owners.set(slice, null)
      owners = new Map(planSlices(owners, { servers, loads, maximumMoves: options.movesPerStep }))
      const index = serverIndexOf(servers)
      return Uint16Array.from(keyNames, (_, key) => index(owners.get(hotSlices.get(key) ?? sliceOf[key] ?? 0) ?? ''))
    }
  }
}

/** Returns the servers at a step: one joins, one leaves, one is lost and returns. */
function serversAt (step: number): string[] {
  const names = Array.from({ length: INITIAL_SERVERS }, (_, server) => `s${server}`)
  if (step >= 15) names.push(`s${INITIAL_SERVERS}`)
  return names.filter((name) => !(name === 's3' && step >= 25) && !(name === 's7' && step >= 35 && step < 45))
}

function minimumMoves (): number {
  let minimum = 0
  for (let step = 1; step < STEPS; step++) {
    const before = serversAt(step - 1)
    const after = serversAt(step)
    const lost = before.filter((name) => !after.includes(name)).length
    const joined = after.filter((name) => !before.includes(name)).length
    minimum += lost * KEYS / before.length + joined * KEYS / after.length
  }
  return minimum
}

function runPolicy (policy: PlacementPolicy, seed: number): PlacementResult {
  const random = xoroshiro128plus(seed)
  const ranks = Uint32Array.from({ length: KEYS }, (_, key) => key)
  for (let rank = KEYS - 1; rank > 0; rank--) swap(ranks, rank, uniformInt(random, 0, rank))
  let previousLoads = new Float64Array(KEYS).fill(1)
  let previousPlacement: Uint16Array | null = null
  const keyImbalances: number[] = []
  const loadImbalances: number[] = []
  let movedKeys = 0
  for (let step = 0; step < STEPS; step++) {
    if (step % STEPS_PER_HOT_KEY_CHANGE === STEPS_PER_HOT_KEY_CHANGE - 1) {
      for (let hot = 0; hot < HOT_KEYS; hot++) swap(ranks, hot, uniformInt(random, HOT_KEYS, KEYS - 1))
    }
    const loads = new Float64Array(KEYS)
    for (const [rank, key] of ranks.entries()) loads[key] = 1 / (rank + 1) ** ZIPF_EXPONENT
    const servers = serversAt(step)
    const placement = policy.place(servers, previousLoads)
    keyImbalances.push(imbalance(placement, new Float64Array(KEYS).fill(1), servers))
    loadImbalances.push(imbalance(placement, loads, servers))
    if (previousPlacement !== null) for (let key = 0; key < KEYS; key++) if (previousPlacement[key] !== placement[key]) movedKeys++
    previousPlacement = placement
    previousLoads = loads
  }
  return {
    name: policy.name,
    keyImbalance: mean(keyImbalances),
    loadImbalance: mean(loadImbalances),
    worstLoadImbalance: Math.max(...loadImbalances.slice(10)),
    movedKeysThousands: movedKeys / 1000,
    movedOverMinimum: movedKeys / minimumMoves()
  }
}

function imbalance (placement: Uint16Array, loads: Float64Array, servers: readonly string[]): number {
  const totals = new Float64Array(INITIAL_SERVERS + 1)
  for (let key = 0; key < KEYS; key++) totals[placement[key] ?? 0] = (totals[placement[key] ?? 0] ?? 0) + (loads[key] ?? 0)
  const serverTotals = servers.map((name) => totals[Number(name.slice(1))] ?? 0)
  return Math.max(...serverTotals) / mean(serverTotals)
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
 * Runs every placement policy with the same load.
 *
 * @param seed Seed of the load.
 * @returns One result for each policy.
 */
export function runPlacementBench (seed: number): PlacementResult[] {
  const policies = [
    moduloPolicy(), rendezvousPolicy(), boundedLoadPolicy(),
    slicePolicy({ count: 80, isolatesHotKeys: false, movesPerStep: 4 }), slicePolicy({ count: 160, isolatesHotKeys: false, movesPerStep: 4 }),
    slicePolicy({ count: 320, isolatesHotKeys: false, movesPerStep: 2 }), slicePolicy({ count: 320, isolatesHotKeys: false, movesPerStep: 4 }),
    slicePolicy({ count: 320, isolatesHotKeys: false, movesPerStep: 16 }), slicePolicy({ count: 1280, isolatesHotKeys: false, movesPerStep: 16 }),
    slicePolicy({ count: 320, isolatesHotKeys: true, movesPerStep: 4 }), slicePolicy({ count: 320, isolatesHotKeys: true, movesPerStep: 16 })
  ]
  return policies.map((policy) => runPolicy(policy, seed))
}
