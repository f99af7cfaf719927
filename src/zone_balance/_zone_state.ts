/** What is known of one zone of a service: its published load, and the demand and shares derived from it. */
import type { ZoneLoad } from './zone_load.ts'

/** State of one zone. */
export interface ZoneState {
  load: ZoneLoad
  /** Requests in flight and waiting, smoothed over two heartbeats. */
  smoothedLoad: number
  /** Requests that the hosts of the zone receive, per millisecond; 0 if unknown. */
  demandPerMs: number
  /** Share of the demand that is sent to each other zone. */
  readonly shares: Map<string, number>
  /** Requests per millisecond that arrive because of recent changes of shares and that the figures do not show yet; negative if fewer arrive. */
  unseenPerMs: number
  /** Whether the work time exceeds the latency goal while that of another zone does not. */
  isSlow: boolean
}

/** State of the zones of a service, by zone. */
export type ZoneStates = ReadonlyMap<string, ZoneState>

/** Creates the state of a zone that has just appeared. */
export function createZoneState (load: ZoneLoad): ZoneState {
  return { load, smoothedLoad: load.inFlight + load.waiting, demandPerMs: 0, shares: new Map(), unseenPerMs: 0, isSlow: false }
}

/** Whether servers of the zone respond. */
export function isUsable ({ load }: ZoneState): boolean {
  return load.slots > 0 && load.workMs > 0 && !load.isUnresponsive
}

/** Share of the demand that leaves the zone. */
export function leavingShare (state: ZoneState): number {
  let share = 0
  for (const part of state.shares.values()) share += part
  return share
}

/** Load of the zone once the figures show all changes of shares. */
export function expectedLoad ({ smoothedLoad, unseenPerMs, load }: ZoneState): number {
  return Math.max(0, smoothedLoad + unseenPerMs * load.workMs)
}

/** Requests at the zone that the hosts of other zones have sent; `isCounted` limits these zones. */
export function receivedLoad (states: ZoneStates, zone: string, isCounted: (state: ZoneState) => boolean = () => true): number {
  let perMs = 0
  for (const state of states.values()) if (isCounted(state)) perMs += (state.shares.get(zone) ?? 0) * state.demandPerMs
  return perMs * (states.get(zone)?.load.workMs ?? 0)
}

/** Sets the share that one zone sends to another, and records what the figures do not show yet. */
export function setShare (states: ZoneStates, { from, to, share }: { readonly from: string, readonly to: string, readonly share: number }): void {
  const source = states.get(from)
  if (source === undefined) return
  const addedPerMs = (share - (source.shares.get(to) ?? 0)) * source.demandPerMs
  source.unseenPerMs -= addedPerMs
  const target = states.get(to)
  if (target !== undefined) target.unseenPerMs += addedPerMs
  if (share > 0) source.shares.set(to, share)
  else source.shares.delete(to)
}
