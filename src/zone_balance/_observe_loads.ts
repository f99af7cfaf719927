/** Takes the published loads into the state of the zones, and estimates the demand of each zone. */
import { createZoneState, expectedLoad, isUsable, leavingShare, receivedLoad, type ZoneState } from './_zone_state.ts'
import type { ZoneLoad } from './zone_load.ts'

/** Options of {@link observeLoads}. */
export interface ObserveLoadsOptions {
  /** Zone of this host, which has a state even if it has no servers. */
  readonly ownZone: string
  /** Latency goal of the service, in milliseconds. */
  readonly latencyGoalMs: number
  /** Additional latency of a request to another zone, in milliseconds. */
  readonly roundTripMs: number
  /** Time since the last observation, in milliseconds. */
  readonly elapsedMs: number
}

/** Weight of a new figure: in-flight counts are samples of a random number, which two of them halve. */
const FIGURE_WEIGHT = 0.5

/** Heartbeats until the figures show a change: a report of the hosts, its publication, and the smoothing. */
const FIGURE_DELAY_HEARTBEATS = 3

/** Share of the latency goal to which the work time of a slow zone must fall before the zone counts as fast again. */
const RECOVERED_SHARE = 0.8

/** Least share that is assumed to stay when demand is estimated: below it the estimate would multiply the noise of few requests. */
const MINIMUM_STAYING_SHARE = 0.05

function observeZone (state: ZoneState, load: ZoneLoad, elapsedMs: number): void {
  state.load = load
  state.smoothedLoad += (load.inFlight + load.waiting - state.smoothedLoad) * FIGURE_WEIGHT
  const delayMs = elapsedMs * FIGURE_DELAY_HEARTBEATS + load.workMs
  if (elapsedMs > 0) state.unseenPerMs *= Math.exp(-elapsedMs / delayMs)
}

/** The demand of a zone whose servers do not respond cannot be seen; the last estimate is kept. */
function estimateDemand (states: Map<string, ZoneState>, state: ZoneState): void {
  if (!isUsable(state)) return
  const keptLoad = Math.max(0, expectedLoad(state) - receivedLoad(states, state.load.zone))
  const perMs = keptLoad / state.load.workMs / Math.max(MINIMUM_STAYING_SHARE, 1 - leavingShare(state))
  state.demandPerMs = state.demandPerMs === 0 ? perMs : state.demandPerMs + (perMs - state.demandPerMs) * FIGURE_WEIGHT
}

/**
 * Updates the states of the zones.
 *
 * @param states States by zone; changed in place.
 * @param loads Published loads of all zones that have servers.
 * @param options Zone of this host, times and goals.
 */
export function observeLoads (states: Map<string, ZoneState>, loads: readonly ZoneLoad[], options: ObserveLoadsOptions): void {
  const { ownZone, latencyGoalMs, roundTripMs, elapsedMs } = options
  const withoutServers: ZoneLoad = { zone: ownZone, servers: 0, slots: 0, inFlight: 0, waiting: 0, workMs: 0, isUnresponsive: false }
  const observed = loads.some(({ zone }) => zone === ownZone) ? loads : [...loads, withoutServers]
  const present = new Set(observed.map(({ zone }) => zone))
  for (const zone of states.keys()) if (!present.has(zone)) states.delete(zone)
  for (const load of observed) {
    const state = states.get(load.zone)
    if (state === undefined) states.set(load.zone, createZoneState(load))
    else observeZone(state, load, elapsedMs)
  }
  for (const state of states.values()) estimateDemand(states, state)
  const usable = [...states.values()].filter(isUsable)
  const hasFastZone = usable.some(({ load }) => load.workMs + roundTripMs <= latencyGoalMs)
  for (const state of states.values()) {
    state.isSlow = isUsable(state) && hasFastZone && state.load.workMs > latencyGoalMs * (state.isSlow ? RECOVERED_SHARE : 1)
  }
}
