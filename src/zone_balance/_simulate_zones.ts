/** Simulates the hosts and servers of a service in several zones, without a network, for tests of the balance. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createZoneBalance, type ZoneBalance, type ZoneBalanceOptions } from './create_zone_balance.ts'
import type { ZoneLoad } from './zone_load.ts'

/** A simulated zone; functions receive the simulated time in milliseconds. */
export interface SimulatedZone {
  readonly zone: string
  readonly servers: number
  readonly hosts: number
  /** Requests per second that each host receives. */
  readonly perHost: (now: number) => number
  /** Duration of a request, in milliseconds. Default: 100. */
  readonly workMs?: (now: number) => number
  /** Default: responsive. */
  readonly isUnresponsive?: (now: number) => boolean
}

/** Observations of one zone over one heartbeat. */
export interface ZoneSample {
  readonly at: number
  /** Share of the zone's requests that were sent to another zone. */
  readonly left: number
  /** Mean requests at the servers, relative to their slots. */
  readonly utilisation: number
  /** Requests per second from other zones. */
  readonly receivedPerS: number
  readonly refused: number
  readonly requests: number
}

/** Options of {@link simulateZones}. */
export interface SimulateZonesOptions {
  readonly durationMs: number
  readonly bodyBytes?: number
  readonly balance?: Omit<ZoneBalanceOptions, 'zone'>
}

/** Interval of heartbeats with 110 hosts, in milliseconds; the figures in them are as old. */
export const HEARTBEAT_MS = 440

const SEED = 7
const STEP_MS = 10
const SLOTS_PER_SERVER = 4

/** Requests that relays admit, as a multiple of the slots. */
const MAXIMUM_OCCUPANCY = 2

interface Running extends SimulatedZone {
  readonly balances: readonly ZoneBalance[]
  readonly slots: number
  /** When each running request ends; the others wait. */
  ends: number[]
  waiting: number
  counts: { requests: number, left: number, refused: number, received: number, load: number, steps: number }
}

function emptyCounts (): Running['counts'] {
  return { requests: 0, left: 0, refused: 0, received: 0, load: 0, steps: 0 }
}

/** Creates a generator of the same random numbers in every run. */
function createRandom (): () => number {
  const generator = xoroshiro128plus(SEED)
  return () => (generator.next() >>> 0) / 2 ** 32
}

/** Durations vary up to twice the mean, so that requests do not end in step. */
function serve (zone: Running, { now, random }: { readonly now: number, readonly random: () => number }): void {
  zone.ends = zone.ends.filter((end) => end > now)
  while (zone.waiting > 0 && zone.ends.length < zone.slots) {
    zone.ends.push(now + (zone.workMs?.(now) ?? 100) * 2 * random())
    zone.waiting--
  }
}

function loadOf (zone: Running, now: number): ZoneLoad {
  return { zone: zone.zone, servers: zone.servers, slots: zone.slots, inFlight: zone.ends.length + zone.waiting, waiting: 0, workMs: zone.workMs?.(now) ?? 100, isUnresponsive: zone.isUnresponsive?.(now) ?? false }
}

/**
 * Simulates hosts that all draw the zone of each request from their own balance, which sees figures that are one heartbeat old.
 *
 * @param zones The zones.
 * @param options Duration and kind of requests.
 * @returns For each zone, one sample a heartbeat.
 */
export function simulateZones (zones: readonly SimulatedZone[], options: SimulateZonesOptions): Map<string, ZoneSample[]> {
  const random = createRandom()
  const running = zones.map((zone): Running => ({
    ...zone, slots: zone.servers * SLOTS_PER_SERVER, ends: [], waiting: 0, counts: emptyCounts(), balances: Array.from({ length: zone.hosts }, () => createZoneBalance({ ...options.balance, zone: zone.zone }))
  }))
  const samples = new Map(zones.map(({ zone }) => [zone, [] as ZoneSample[]]))
  const request = { bodyBytes: options.bodyBytes ?? 0, latencyGoalMs: 333, remainingMs: 1000 }
  let published: ZoneLoad[] | null = null

  function send (from: Running, balance: ZoneBalance, now: number): void {
    const chosen = balance.chooseZone('orders', request, random())
    const to = running.find(({ zone }) => zone === chosen)
    from.counts.requests++
    if (to === undefined || to.isUnresponsive?.(now) === true || to.ends.length + to.waiting >= to.slots * MAXIMUM_OCCUPANCY) from.counts.refused++
    else to.waiting++
    if (to === undefined || to === from) return
    from.counts.left++
    to.counts.received++
  }

  function publish (now: number): void {
    const seconds = HEARTBEAT_MS / 1000
    for (const { zone, slots, counts } of running) {
      samples.get(zone)?.push({ at: now, left: counts.left / Math.max(1, counts.requests), utilisation: counts.load / Math.max(1, counts.steps * slots), receivedPerS: counts.received / seconds, refused: counts.refused, requests: counts.requests })
    }
    for (const zone of running) zone.counts = emptyCounts()
    for (const { balances } of running) for (const balance of balances) if (published !== null) balance.update('orders', published, now)
    published = running.filter(({ servers }) => servers > 0).map((zone) => loadOf(zone, now))
  }

  for (let now = 0; now < options.durationMs; now += STEP_MS) {
    for (const zone of running) {
      const probability = zone.perHost(now) * STEP_MS / 1000
      for (const balance of zone.balances) if (random() < probability) send(zone, balance, now)
    }
    for (const zone of running) {
      serve(zone, { now, random })
      zone.counts.load += zone.ends.length + zone.waiting
      zone.counts.steps++
    }
    if (now % HEARTBEAT_MS === 0) publish(now)
  }
  return samples
}
