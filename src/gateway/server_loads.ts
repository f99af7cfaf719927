/**
 * What a host knows of the load and the speed of backend servers: its own
 * requests, and the sums that the leading host tells all hosts.
 */
import type { RoutedServer } from '../routing/mod.ts'
import { createGroupFailureDetector } from './group_failure_detector.ts'

/** How a request at a server ended. */
export type LoadOutcome =
  | { readonly kind: 'served', readonly durationMs: number }
  /** The server answered with a failure of its own. */
  | { readonly kind: 'failed' }
  /** The server refused for want of room. */
  | { readonly kind: 'shed' }
  /** The router or the caller gave up before the server answered. */
  | { readonly kind: 'abandoned', readonly durationMs: number }
  /** No answer, or no connection; `refused` where the connection was refused. */
  | { readonly kind: 'lost', readonly refused: boolean }
  /** The caller left, or the request does not say anything of the server. */
  | { readonly kind: 'other' }

/** What hosts tell about one server since their last report. */
export interface ServerSample {
  readonly inFlight: number
  readonly served: number
  /** Sum of the durations of served requests, brought down to an idle server, in milliseconds. */
  readonly workMs: number
  readonly failed: number
  readonly shed: number
  readonly lost: number
  /** Requests for its keys, those that were refused for want of room included. */
  readonly wanted: number
  /** Connections that were refused; part of `lost`. */
  readonly refused: number
  /** Age of the oldest request in flight, brought down to an idle server, in milliseconds; 0 where there is none. */
  readonly oldestMs: number
}

/** What is known of a server over all hosts. */
export interface ServerView {
  readonly inFlight: number
  /** Mean duration of a request at the server while it is idle, in milliseconds; 0 where unknown. */
  readonly workMs: number
  /** Share of its requests that it fails or sheds with room left, from 0 to 1. */
  readonly failureShare: number
  /** Whether no host has had an answer for some time while requests were lost. */
  readonly silent: boolean
  /** Share of the requests for its keys that hosts send; the others are refused, since all together are more than it can run. */
  readonly admitShare: number
}

/** Loads of one host. */
export interface ServerLoads {
  trackRequest (server: RoutedServer): (outcome: LoadOutcome) => void
  /** Notes a request that another host passes on and counts; it tells this host of the server's zone only. */
  trackRelayedRequest (server: RoutedServer): (answered: boolean) => void
  /**
   * Takes the sums over all hosts; this host's own share as it was last reported is taken off.
   * Servers that are not among them are forgotten where the views are `complete`.
   */
  applyViews (views: ReadonlyMap<string, ServerView>, complete?: boolean): void
  /** Requests at the server, those of other hosts included. */
  inFlight (id: string): number
  /** Mean duration of a request at an idle server, in milliseconds. */
  workMs (server: RoutedServer): number
  /** Expected time until a request that is sent now is answered, in milliseconds. */
  expectedMs (server: RoutedServer): number
  failureShare (id: string): number
  /** Counts a request for one of the server's keys; returns the share of such requests that hosts send. */
  admitShare (id: string): number
  /** Whether the server has just refused for want of room. */
  isFull (id: string): boolean
  /** Whether the server, or its whole zone, is better left alone at this moment. */
  isUnresponsive (server: RoutedServer): boolean
  /** Samples since the last call. */
  takeSamples (): Map<string, ServerSample>
}

interface Track {
  own: number
  reported: number
  others: number
  viewedWorkMs: number
  ownWorkMs: number
  failureShare: number
  silentView: boolean
  admitShare: number
  lostInRow: number
  silentUntil: number
  fullUntil: number
  readonly pending: Set<Pending>
  sample: { served: number, workMs: number, failed: number, shed: number, lost: number, refused: number, wanted: number }
}

/** A request in flight. */
interface Pending { readonly startedAt: number, readonly crowding: number }

/** Weight of a new sample in the mean of this host. */
const SAMPLE_WEIGHT = 0.15

/** Lost requests in a row after which a server is left alone. */
const LOST_IN_ROW = 2

/** How long it is left alone, in milliseconds, before one request tries again. */
const SILENCE_MS = 1000

/**
 * Most by which a duration is brought down for the queue before it. The queue
 * is believed, not known: too low a figure would let the queue grow further,
 * too high a one lets it shrink.
 */
const MOST_CROWDING = 2

/** Multiple of the expected time after which a request that was given up counts as lost. */
const OVERDUE_FACTOR = 4

/** How long a server that refused for want of room is left alone, in milliseconds: about the time until a slot is free. */
const FULL_MS = 60

/** How much slower a server is while it warms up. */
const WARM_UP_FACTOR = 2

/**
 * Creates loads of servers that nothing is known of.
 *
 * @param now Monotonic time in milliseconds.
 * @param assumedWorkMs Duration of a request that is assumed at a server of a service nobody has sent to, in milliseconds. Default: 120 for every service.
 * @returns The loads.
 */
export function createServerLoads (now: () => number, assumedWorkMs: (service: string) => number = () => 120): ServerLoads {
  const tracks = new Map<string, Track>()
  const zones = createGroupFailureDetector(now)

  function track (id: string): Track {
    const known = tracks.get(id)
    if (known !== undefined) return known
    const fresh: Track = {
      own: 0, reported: 0, others: 0, viewedWorkMs: 0, ownWorkMs: 0, failureShare: 0, silentView: false, admitShare: 1, lostInRow: 0, silentUntil: 0, fullUntil: 0, pending: new Set(), sample: emptySample()
    }
    tracks.set(id, fresh)
    return fresh
  }

  function idleWorkMs (known: Track, server: RoutedServer): number {
    return known.viewedWorkMs > 0 ? known.viewedWorkMs : known.ownWorkMs > 0 ? known.ownWorkMs : assumedWorkMs(server.service)
  }

  function workMs (server: RoutedServer): number {
    const known = track(server.id)
    const base = idleWorkMs(known, server)
    return known.viewedWorkMs === 0 && server.warmUpLeftMs > 0 ? base * WARM_UP_FACTOR : base
  }

  function expectedMs (server: RoutedServer): number {
    const known = track(server.id)
    const ahead = known.own + known.others + 1
    return workMs(server) * Math.max(1, ahead / server.slots)
  }

  function addWork (known: Track, workMs: number): void {
    known.sample.served++
    known.sample.workMs += workMs
    known.ownWorkMs = known.ownWorkMs === 0 ? workMs : known.ownWorkMs + (workMs - known.ownWorkMs) * SAMPLE_WEIGHT
  }

  /** A request that was given up says that the server takes at least that long. */
  function noteAbandoned (known: Track, server: RoutedServer, workMs: number): void {
    const expected = idleWorkMs(known, server)
    if (workMs <= expected) return
    addWork(known, workMs)
    if (workMs > expected * OVERDUE_FACTOR) noteLost(known)
  }

  function noteLost (known: Track): void {
    known.sample.lost++
    known.lostInRow++
    if (known.lostInRow >= LOST_IN_ROW) known.silentUntil = now() + SILENCE_MS
  }

  function note (known: Track, server: RoutedServer, { outcome, crowding }: { readonly outcome: LoadOutcome, readonly crowding: number }): void {
    const { sample } = known
    const divisor = Math.min(crowding, MOST_CROWDING)
    if (outcome.kind === 'other') return
    if (outcome.kind === 'abandoned') return noteAbandoned(known, server, outcome.durationMs / divisor)
    if (outcome.kind === 'lost') {
      if (outcome.refused) sample.refused++
      return noteLost(known)
    }
    known.lostInRow = 0
    known.silentUntil = 0
    if (outcome.kind === 'failed') sample.failed++
    if (outcome.kind === 'shed') sample.shed++
    // A crowded server refuses requests or resets connections for want of room; one that seems half empty has another reason.
    if (outcome.kind !== 'served' && crowding > 1) known.fullUntil = now() + FULL_MS
    if (outcome.kind === 'served') addWork(known, outcome.durationMs / divisor)
  }

  function oldestMs (known: Track): number {
    let oldest = 0
    for (const { startedAt, crowding } of known.pending) oldest = Math.max(oldest, (now() - startedAt) / crowding)
    return Math.round(oldest)
  }

  return {
    trackRequest (server) {
      const known = track(server.id)
      const crowding = Math.max(1, (known.own + known.others + 1) / server.slots)
      known.own++
      const pending = { startedAt: now(), crowding: Math.min(crowding, MOST_CROWDING) }
      known.pending.add(pending)
      const endInZone = zones.trackRequest({ id: server.id, group: server.zone }, expectedMs(server))
      let ended = false
      return (outcome) => {
        if (ended) return
        ended = true
        known.own--
        known.pending.delete(pending)
        endInZone(outcome.kind !== 'lost' && outcome.kind !== 'abandoned')
        note(known, server, { outcome, crowding })
      }
    },
    trackRelayedRequest: (server) => zones.trackRequest({ id: server.id, group: server.zone }, expectedMs(server)),
    applyViews (views, complete = true) {
      for (const [id, view] of views) {
        const known = track(id)
        known.others = Math.max(0, view.inFlight - known.reported)
        known.viewedWorkMs = view.workMs
        known.failureShare = view.failureShare
        known.silentView = view.silent
        known.admitShare = view.admitShare
      }
      if (!complete) return
      for (const [id, known] of tracks) {
        if (!views.has(id)) {
          known.others = 0
          known.admitShare = 1
          if (known.own === 0) tracks.delete(id)
        }
      }
    },
    inFlight: (id) => track(id).own + track(id).others,
    workMs,
    expectedMs,
    failureShare: (id) => track(id).failureShare,
    admitShare (id) {
      const known = track(id)
      known.sample.wanted++
      return known.admitShare
    },
    isFull: (id) => track(id).fullUntil > now(),
    isUnresponsive: (server) => track(server.id).silentView || track(server.id).silentUntil > now() || zones.isUnresponsive(server.zone),
    takeSamples () {
      const samples = new Map<string, ServerSample>()
      for (const [id, known] of tracks) {
        known.reported = known.own
        const { sample } = known
        if (known.own === 0 && sample.served + sample.failed + sample.shed + sample.lost + sample.wanted === 0) continue
        samples.set(id, { inFlight: known.own, oldestMs: oldestMs(known), ...sample })
        known.sample = emptySample()
      }
      return samples
    }
  }
}

function emptySample (): Track['sample'] {
  return { served: 0, workMs: 0, failed: 0, shed: 0, lost: 0, refused: 0, wanted: 0 }
}
