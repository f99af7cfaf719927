/** Sums of what all hosts tell of backend servers; kept by the leading host. */
import type { ServerSample, ServerView } from '../gateway/server_loads.ts'

/** A host that reports. */
export interface ReportingHost { readonly name: string, readonly zone: string }

/** What bounds the requests that a server can run. */
export interface ServerCapacity {
  readonly slots: number
  /** Duration of a request that is assumed where nobody has measured it, in milliseconds. */
  readonly assumedWorkMs: number
}

/** Sums over all hosts. */
export interface LoadAggregator {
  add (host: ReportingHost, samples: ReadonlyArray<readonly [server: string, sample: ServerSample]>, now: number): void
  /** Forgets the requests in flight of a host that has left. */
  removeHost (host: string): void
  views (now: number): Map<string, ServerView>
  /**
   * Sets the shares of requests that hosts send to servers whose keys are asked
   * for more than they can run. Called once for each telling of loads: hosts
   * learn of one another's requests only then, and many of them sending one
   * request each would already overfill a server.
   */
  adjustShares (describe: (server: string) => ServerCapacity | undefined, now: number): void
  /**
   * Whether several hosts, one of them in the server's own zone, were refused
   * connections and none has had an answer since. Together with an entry that
   * is gone this shows that the server has ended; a cut that answers with
   * resets does not part a server from its own zone.
   */
  isRefusing (server: string, zone: string): boolean
  /** Whether any host has had an answer of the server lately. */
  isAnswering (server: string, now: number): boolean
}

interface Track {
  readonly inFlight: Map<string, number>
  /** Age of each host's oldest request in flight. */
  readonly oldestMs: Map<string, number>
  workMs: number
  failureShare: number
  answeredAt: number
  lost: number
  lostAt: number
  admitShare: number
  /** Requests for its keys, refused ones included, and answers, since shares were last adjusted. */
  wanted: number
  completed: number
  /** Answers a second while all its slots are busy; 0 where unknown. */
  capacity: number
  /** Zones of the hosts that were refused a connection since the last answer. */
  readonly refusedBy: Map<string, string>
}

/** Weight that a mean keeps for each further sample. */
const MEAN_RETENTION = 0.93

/** Weight that the share of failures keeps for each further sample. */
const FAILURE_RETENTION = 0.9

/** Multiple of the mean at which requests in flight show that a server has become slow. */
const OVERDUE_FACTOR = 2.5

/** Requests at a crowded server that are wanted, as a multiple of its slots: all slots busy, and a short queue. */
const WANTED_OCCUPANCY = 1.75

/** Crowding up to this multiple of what is wanted is left to each host's own admission. */
const TOLERATED_CROWDING = 2.2

/** Time within which a queue that is too long or too short is corrected, in seconds: some tellings of loads. */
const QUEUE_CORRECTION_SECONDS = 1

/** Weight of a new measurement of a busy server's answers. */
const CAPACITY_WEIGHT = 0.3

/** Least share of requests that is sent: some must reach the server to show what it answers. */
const LEAST_SHARE = 0.005

/** Hosts that must have been refused a connection before a server counts as refusing. */
const REFUSED_HOSTS = 3

/** Lost requests without an answer in between after which a server counts as silent. */
const SILENT_LOST = 2

/** Time without an answer that silence needs besides, in milliseconds. */
const SILENT_MS = 500

/** How long a server counts as silent after the last lost request, in milliseconds; then it is tried again. */
const SILENCE_LASTS_MS = 1500

/**
 * Creates sums of nothing.
 *
 * @returns The sums.
 */
export function createLoadAggregator (): LoadAggregator {
  const tracks = new Map<string, Track>()
  let adjustedAt = -Infinity

  function track (server: string): Track {
    const known = tracks.get(server)
    if (known !== undefined) return known
    const fresh: Track = { inFlight: new Map(), oldestMs: new Map(), workMs: 0, failureShare: 0, answeredAt: -Infinity, lost: 0, lostAt: -Infinity, admitShare: 1, wanted: 0, completed: 0, capacity: 0, refusedBy: new Map() }
    tracks.set(server, fresh)
    return fresh
  }

  function addSample (known: Track, sample: ServerSample, host: ReportingHost, now: number): void {
    known.wanted += sample.wanted
    known.completed += sample.served
    const answers = sample.served + sample.failed + sample.shed
    if (answers > 0) {
      known.answeredAt = now
      known.lost = 0
      known.refusedBy.clear()
      const retained = FAILURE_RETENTION ** answers
      known.failureShare = known.failureShare * retained + (sample.failed + sample.shed) / answers * (1 - retained)
    }
    if (sample.refused > 0) known.refusedBy.set(host.name, host.zone)
    if (sample.lost > 0) {
      known.lost += sample.lost
      known.lostAt = now
    }
    if (sample.served === 0) return
    const mean = sample.workMs / sample.served
    known.workMs = known.workMs === 0 ? mean : known.workMs + (mean - known.workMs) * (1 - MEAN_RETENTION ** sample.served)
  }

  function forget (host: string): void {
    for (const known of tracks.values()) {
      known.inFlight.delete(host)
      known.oldestMs.delete(host)
    }
  }

  /** The mean, or what requests in flight show to be more; one alone may just be a long one. */
  function currentWorkMs (known: Track): number {
    const [, second = 0] = [...known.oldestMs.values()].sort((left, right) => right - left)
    return second > known.workMs * OVERDUE_FACTOR ? second : known.workMs
  }

  function isSilent (known: Track, now: number): boolean {
    return known.lost >= SILENT_LOST && now - known.answeredAt > SILENT_MS && now - known.lostAt < SILENCE_LASTS_MS
  }

  function totalInFlight (known: Track): number {
    let total = 0
    for (const count of known.inFlight.values()) total += count
    return total
  }

  /** Admits as many requests as the server answers, more while its queue is short and fewer while it is long. */
  function adjustShare (known: Track, { slots, assumedWorkMs }: ServerCapacity, seconds: number): void {
    const inFlight = totalInFlight(known)
    if (inFlight >= slots) {
      const rate = known.completed / seconds
      known.capacity = known.capacity === 0 ? slots * 1000 / (known.workMs > 0 ? known.workMs : assumedWorkMs) : known.capacity + (rate - known.capacity) * CAPACITY_WEIGHT
    }
    const wanted = slots * WANTED_OCCUPANCY
    if (known.admitShare === 1 && inFlight <= wanted * TOLERATED_CROWDING) return
    const admitted = Math.max(0, known.capacity + (wanted - inFlight) / QUEUE_CORRECTION_SECONDS)
    known.admitShare = Math.min(1, Math.max(LEAST_SHARE, admitted * seconds / Math.max(1, known.wanted)))
  }

  return {
    add (host, samples, now) {
      forget(host.name)
      for (const [server, sample] of samples) {
        const known = track(server)
        if (sample.inFlight > 0) {
          known.inFlight.set(host.name, sample.inFlight)
          known.oldestMs.set(host.name, sample.oldestMs)
        }
        addSample(known, sample, host, now)
      }
    },
    removeHost: forget,
    views (now) {
      const views = new Map<string, ServerView>()
      for (const [server, known] of tracks) {
        views.set(server, { inFlight: totalInFlight(known), workMs: currentWorkMs(known), failureShare: known.failureShare, silent: isSilent(known, now), admitShare: known.admitShare })
      }
      return views
    },
    adjustShares (describe, now) {
      const seconds = Math.max(0.05, (now - adjustedAt) / 1000)
      adjustedAt = now
      for (const [server, known] of tracks) {
        const room = describe(server)
        if (room !== undefined) adjustShare(known, room, seconds)
        known.wanted = 0
        known.completed = 0
      }
    },
    isRefusing (server, zone) {
      const zones = [...tracks.get(server)?.refusedBy.values() ?? []]
      return zones.length >= REFUSED_HOSTS && zones.includes(zone)
    },
    isAnswering: (server, now) => now - (tracks.get(server)?.answeredAt ?? -Infinity) < SILENCE_LASTS_MS
  }
}
