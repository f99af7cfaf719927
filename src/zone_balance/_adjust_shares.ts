/**
 * Adjusts the shares of demand that leave each zone, by one step for each
 * published heartbeat. All steps are computed from the expected loads, in which
 * earlier steps are included before the figures show them.
 */
import { expectedLoad, isUsable, leavingShare, receivedLoad, setShare, type ZoneState, type ZoneStates } from './_zone_state.ts'

/** Options of {@link adjustShares}. */
export interface AdjustSharesOptions {
  /** Additional latency of a request to another zone, in milliseconds. */
  readonly roundTripMs: number
  /** Time since the last adjustment, in milliseconds. */
  readonly elapsedMs: number
}

/** Maximum share of the slots that are free in a full zone: fewer free slots cannot be found by hosts that compare three servers. */
const MAXIMUM_FREE_SHARE = 0.1

/** Share of the slots between the load at which demand returns and that at which it leaves, and between those at which a zone receives demand and sends it back. */
const HYSTERESIS_SHARE = 0.05

/** Part of a difference that one step corrects: the rest waits for figures that confirm it. */
const STEP_SHARE = 0.5

/** The same for free slots that are filled: with half of them, random peaks of the demand overfilled zones close to their capacity. */
const RECEIVING_STEP_SHARE = 0.25

/** The same for demand that returns: what returns too early is refused, what returns late only costs bytes. */
const RETURN_STEP_SHARE = 0.2

/** The same for the division of a demand that cannot be seen, so that its changes appear in the figures only after several steps. */
const DIVISION_STEP_SHARE = 0.3

/** Utilisation above which zones count as equally full: twice the slots is what relays admit. */
const MAXIMUM_UTILISATION = 2

/** Maximum change of a share, per second: a burst is spread within a second, and returns more slowly than it left. */
const MAXIMUM_RISE_PER_S = 1
const MAXIMUM_FALL_PER_S = 0.25

/** Part of the shares that returns at any load, per second, and leaves again if there is no room: it makes hosts with different shares equal within minutes. */
const RETURN_PER_S = 0.02

/** Maximum share that leaves a zone with responsive servers: the rest shows how much demand there is and how fast the servers are. */
const MAXIMUM_SHARE = 0.95

/** Shares below this end: they are within the noise of the figures. */
const NEGLIGIBLE_SHARE = 0.002

/** Share that leaves from which a zone is not sent requests of others. */
const EXPORTING_SHARE = 0.01

/** Load from which demand leaves the zone: there, the expected wait for a slot equals the additional round trip. */
function fullLoad ({ load, isSlow }: ZoneState, roundTripMs: number): number {
  if (isSlow) return 0
  return load.slots * (1 - Math.min(MAXIMUM_FREE_SHARE, load.workMs / (load.slots * roundTripMs)))
}

/** Load up to which the zone receives demand of others: the rest is left for bursts of its own. A zone with less free capacity than it is sent would refuse its own requests. */
function receivingLoad ({ load, isSlow }: ZoneState): number {
  return isSlow ? 0 : load.slots * (1 - HYSTERESIS_SHARE)
}

/** Multiplies the shares of a zone, or its share to one other zone, within the maximum change. */
function lowerShares (states: ZoneStates, from: string, { factor, to, elapsedMs }: { readonly factor: number, readonly to?: string, readonly elapsedMs: number }): void {
  const shares = states.get(from)?.shares ?? new Map<string, number>()
  for (const [zone, share] of [...shares]) {
    if (to !== undefined && zone !== to) continue
    const lowered = Math.max(share * factor, share - MAXIMUM_FALL_PER_S * elapsedMs / 1000)
    setShare(states, { from, to: zone, share: lowered < NEGLIGIBLE_SHARE ? 0 : lowered })
  }
}

/** Sends back what a zone without free slots receives from others, before its own demand leaves. */
function returnReceived (states: ZoneStates, zone: string, options: AdjustSharesOptions): void {
  const state = states.get(zone)
  if (state === undefined || !isUsable(state)) return
  const excess = expectedLoad(state) - (state.isSlow ? 0 : state.load.slots)
  const received = receivedLoad(states, zone)
  if (excess <= 0 || received <= 0) return
  // The more the own demand alone exceeds the slots, the less of the excess is a queue that ends by itself.
  const factor = 1 - Math.min(STEP_SHARE, RETURN_STEP_SHARE * excess / received)
  for (const [from, source] of states) if (isUsable(source)) lowerShares(states, from, { factor, to: zone, elapsedMs: options.elapsedMs })
}

/** Takes demand back into the free slots of its own zone. */
function returnDemand (states: ZoneStates, zone: string, options: AdjustSharesOptions): void {
  const state = states.get(zone)
  if (state === undefined || !isUsable(state) || state.shares.size === 0) return
  const free = fullLoad(state, options.roundTripMs) - state.load.slots * HYSTERESIS_SHARE - expectedLoad(state)
  const away = leavingShare(state) * state.demandPerMs * state.load.workMs
  const factor = free > 0 ? 1 - RETURN_STEP_SHARE * Math.min(1, free / away) : 1 - RETURN_PER_S * options.elapsedMs / 1000
  lowerShares(states, zone, { factor, elapsedMs: options.elapsedMs })
}

/** Requests per millisecond that may begin to leave the zone in this step. */
function wantedPerMs (states: ZoneStates, state: ZoneState, options: AdjustSharesOptions): number {
  if (!isUsable(state)) return 0
  const excess = expectedLoad(state) - receivedLoad(states, state.load.zone) - fullLoad(state, options.roundTripMs)
  const rise = Math.min(MAXIMUM_RISE_PER_S * options.elapsedMs / 1000, MAXIMUM_SHARE - leavingShare(state))
  return Math.max(0, Math.min(STEP_SHARE * excess / state.load.workMs, rise * state.demandPerMs))
}

/** Requests per millisecond that the zone may begin to receive in this step. */
function roomPerMs (state: ZoneState): number {
  if (!isUsable(state) || leavingShare(state) > EXPORTING_SHARE) return 0
  return RECEIVING_STEP_SHARE * Math.max(0, receivingLoad(state) - expectedLoad(state)) / state.load.workMs
}

/** Lets the excess of all zones leave into the free slots of others, within the room that there is for all of them. */
function sendExcess (states: ZoneStates, options: AdjustSharesOptions): void {
  const wanted = new Map([...states].map(([zone, state]) => [zone, wantedPerMs(states, state, options)]))
  const room = new Map([...states].map(([zone, state]) => [zone, (wanted.get(zone) ?? 0) > 0 ? 0 : roomPerMs(state)]))
  const sum = (values: Iterable<number>): number => [...values].reduce((total, value) => total + value, 0)
  const totalRoom = sum(room.values())
  const granted = Math.min(1, totalRoom / sum(wanted.values()))
  if (totalRoom === 0) return
  for (const [from, perMs] of wanted) {
    const state = states.get(from)
    if (perMs === 0 || state === undefined) continue
    for (const [to, roomThere] of room) {
      if (roomThere === 0) continue
      setShare(states, { from, to, share: (state.shares.get(to) ?? 0) + perMs * granted * roomThere / totalRoom / state.demandPerMs })
    }
  }
}

/** Load of a zone, relative to its slots, if zones with servers kept their demand: what a zone without servers sends must not push out the demand of others. */
function utilisation (states: ZoneStates, state: ZoneState): number {
  const { zone, workMs, slots } = state.load
  const kept = expectedLoad(state) + leavingShare(state) * state.demandPerMs * workMs - receivedLoad(states, zone, isUsable)
  return Math.max(0, kept) / Math.max(1, slots)
}

/** Initial weight of a zone that receives the demand of one without servers: its free throughput. */
function initialWeight (states: ZoneStates, state: ZoneState): number {
  return state.load.slots / Math.max(1, state.load.workMs) * Math.max(HYSTERESIS_SHARE, 1 - utilisation(states, state))
}

/** Divides the whole demand of a zone without responsive servers among the others, and moves it towards those with a lower utilisation. */
function sendEverything (states: ZoneStates, zone: string): void {
  const own = states.get(zone)
  if (own === undefined) return
  const others = [...states].filter(([name, { load }]) => name !== zone && load.servers > 0)
  const usable = others.filter(([, state]) => isUsable(state))
  // Without any servers of its own, a zone tries others even if they did not respond.
  const targets = usable.length > 0 || own.load.servers > 0 ? usable : others
  const isDivided = own.shares.size === targets.length && targets.every(([name]) => own.shares.has(name)) && leavingShare(own) > MAXIMUM_SHARE
  const weights = targets.map(([name, state]) => isDivided ? (own.shares.get(name) ?? 0) * Math.exp(-DIVISION_STEP_SHARE * Math.min(MAXIMUM_UTILISATION, utilisation(states, state))) : initialWeight(states, state))
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  for (const [index, [name]] of targets.entries()) setShare(states, { from: zone, to: name, share: Math.max(NEGLIGIBLE_SHARE, (weights[index] ?? 0) / total) })
}

/**
 * Adjusts the shares of all zones of a service.
 *
 * @param states States of the zones after their loads were observed; changed in place.
 * @param options Times.
 */
export function adjustShares (states: ZoneStates, options: AdjustSharesOptions): void {
  for (const [zone, state] of states) {
    for (const to of [...state.shares.keys()]) {
      const target = states.get(to)
      if (target === undefined || !isUsable(target)) setShare(states, { from: zone, to, share: 0 })
    }
    if (!isUsable(state)) sendEverything(states, zone)
    else if (leavingShare(state) > MAXIMUM_SHARE) {
      // The servers of the zone respond again: its demand returns by steps.
      const factor = MAXIMUM_SHARE / leavingShare(state)
      for (const [to, share] of [...state.shares]) setShare(states, { from: zone, to, share: share * factor })
    }
  }
  for (const zone of states.keys()) returnReceived(states, zone, options)
  for (const zone of states.keys()) returnDemand(states, zone, options)
  sendExcess(states, options)
}
