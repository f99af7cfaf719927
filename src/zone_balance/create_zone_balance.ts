/**
 * Decides which requests without a key leave their availability zone. Hosts
 * compute the shares from the same published loads, so that together they send
 * a zone no more than it has free; each request is drawn by these shares.
 */
import { adjustShares } from './_adjust_shares.ts'
import { observeLoads } from './_observe_loads.ts'
import { isUsable, leavingShare, type ZoneState } from './_zone_state.ts'
import type { ZoneLoad } from './zone_load.ts'

/** A request without a key. */
export interface ZoneRequest {
  /** Length of its body, in bytes. */
  readonly bodyBytes: number
  /** Latency up to which a response has its full value, in milliseconds. */
  readonly latencyGoalMs: number
  /** Time until its timeout, in milliseconds. */
  readonly remainingMs: number
}

/** Balance between the zones, as one host computes it. */
export interface ZoneBalance {
  /** Applies the loads of a published heartbeat; `now` is monotonic time in milliseconds. */
  update (service: string, zones: readonly ZoneLoad[], now: number): void
  /**
   * Chooses the zone that a request is sent to.
   *
   * @param service Name of the service.
   * @param request Properties of the request.
   * @param random Random number from 0 to 1.
   * @returns The zone; `null` if no zone has servers.
   */
  chooseZone (service: string, request: ZoneRequest, random: number): string | null
  /** Share of this zone's requests that each zone receives, its own included. */
  shares (service: string): ReadonlyMap<string, number>
}

/** Options of {@link createZoneBalance}. */
export interface ZoneBalanceOptions {
  /** Zone of this host. */
  readonly zone: string
  /** Shortest latency goal of a service's routes, in milliseconds. Default: none. */
  readonly latencyGoalMs?: (service: string) => number
  /** Additional latency of a request to another zone, in milliseconds. Default: {@link DEFAULT_ROUND_TRIP_MS}. */
  readonly roundTripMs?: number
  /** Price of a KiB that is sent to another zone, as the latency that is accepted to save it, in milliseconds. Default: {@link DEFAULT_PRICE_MS_PER_KIB}. */
  readonly priceMsPerKib?: number
}

/** Default of the additional latency of a request to another zone, in milliseconds: zones are 0.5 to 1.4 ms apart in each direction. */
const DEFAULT_ROUND_TRIP_MS = 2

/** Default price of a KiB to another zone, in milliseconds: what a link of 80 Mbit/s, a usual one of a host, takes to transfer it once more. */
const DEFAULT_PRICE_MS_PER_KIB = 0.1

/** Maximum time between two heartbeats that counts, in milliseconds: what happened in a longer gap is unknown. */
const MAXIMUM_ELAPSED_MS = 1000

interface ServiceState {
  readonly zones: Map<string, ZoneState>
  updatedAt: number
}

/**
 * Creates a balance without loads, under which all requests stay in their zone.
 *
 * @param options Zone of the host and costs of other zones.
 * @returns The balance.
 */
export function createZoneBalance (options: ZoneBalanceOptions): ZoneBalance {
  const { zone: ownZone, latencyGoalMs = () => Infinity, roundTripMs = DEFAULT_ROUND_TRIP_MS, priceMsPerKib = DEFAULT_PRICE_MS_PER_KIB } = options
  const services = new Map<string, ServiceState>()

  function isServerless (service: ServiceState): boolean {
    for (const { load } of service.zones.values()) if (load.servers > 0) return false
    return true
  }

  /** Expected wait for a slot of the own zone, in milliseconds. */
  function waitMs ({ load, smoothedLoad }: ZoneState): number {
    return Math.max(0, smoothedLoad / load.slots - 1) * load.workMs
  }

  /** Part of the requests like this one that leave out of those whose turn it is. */
  function leavingPart (own: ZoneState, request: ZoneRequest): number {
    if (!isUsable(own)) return 1
    const wait = waitMs(own)
    if (wait + own.load.workMs > Math.min(request.latencyGoalMs, request.remainingMs)) return 1
    return (roundTripMs + wait) / (roundTripMs + wait + request.bodyBytes / 1024 * priceMsPerKib)
  }

  function isInTimeAt (state: ZoneState | undefined, request: ZoneRequest): boolean {
    if (state === undefined) return false
    return state.load.workMs + roundTripMs + request.bodyBytes / 1024 * priceMsPerKib <= request.remainingMs
  }

  return {
    update (service, zones, now) {
      const known = services.get(service)
      const state = known ?? { zones: new Map<string, ZoneState>(), updatedAt: now }
      services.set(service, state)
      const elapsedMs = Math.max(0, Math.min(MAXIMUM_ELAPSED_MS, now - state.updatedAt))
      state.updatedAt = now
      observeLoads(state.zones, zones, { ownZone, latencyGoalMs: latencyGoalMs(service), roundTripMs, elapsedMs })
      adjustShares(state.zones, { roundTripMs, elapsedMs })
    },
    chooseZone (service, request, random) {
      const state = services.get(service)
      if (state === undefined) return ownZone
      if (isServerless(state)) return null
      const own = state.zones.get(ownZone)
      if (own === undefined || own.shares.size === 0) return ownZone
      const part = leavingPart(own, request)
      const total = isUsable(own) ? 1 : leavingShare(own)
      let remaining = random * total
      let last = ownZone
      for (const [zone, share] of own.shares) {
        remaining -= share * part
        last = zone
        if (remaining < 0) return !isUsable(own) || isInTimeAt(state.zones.get(zone), request) ? zone : ownZone
      }
      return isUsable(own) ? ownZone : last
    },
    shares (service) {
      const own = services.get(service)?.zones.get(ownZone)
      const shares = new Map(own?.shares ?? [])
      const staying = 1 - (own === undefined ? 0 : leavingShare(own))
      if (staying > 0.0001) shares.set(ownZone, staying)
      return shares
    }
  }
}
