/** Aggregates the loads of backend servers that all hosts report to the leading host. */
import { limitRetentionMs } from '../gateway/request_limits.ts'
import type { ServerSample, ServerView } from '../gateway/server_loads.ts'
import type { RoutedServer } from '../routing/mod.ts'

/** A host that reports. */
export interface ReportingHost { readonly name: string, readonly zone: string }

/** Capacity of a server for concurrent requests. */
export interface ServerCapacity {
  readonly slots: number
  /** Assumed duration of a request while no host has measured it, in milliseconds. */
  readonly assumedWorkMs: number
}

/** Aggregated loads of all hosts. */
export interface LoadAggregator {
  add (host: ReportingHost, samples: ReadonlyArray<readonly [server: string, sample: ServerSample]>, now: number): void
  /** Removes the requests in flight of a host that has left. */
  removeHost (host: string): void
  /** Discards what a host has reported about servers, because it reaches none: its requests in flight, and the connections that it was refused. */
  discardHost (host: string): void
  views (now: number): Map<string, ServerView>
  /**
   * Sets the share of requests that hosts admit to servers whose keys receive
   * more requests than the server can run. Called once before each publication
   * of loads: only then does a host learn how many requests the others have
   * sent, and many hosts with one request each are enough to overload a server.
   */
  adjustShares (capacityOf: (server: string) => ServerCapacity | undefined, now: number): void
  /** Discards what reports have shown of an earlier run of a server that has started again since. */
  setServers (servers: readonly RoutedServer[]): void
  /**
   * Whether this run of the server refused connections from several hosts, one
   * of them in its own zone, within the duration of a grant, and has not
   * responded since. A partition that resets connections does not separate a
   * server from its own zone.
   */
  isRefusingConnections (server: RoutedServer, now: number): boolean
  /** Requests per second that the server takes from all hosts together; `null` if it names no limit. */
  requestLimit (server: string, now: number): number | null
  /** Whether any host has recently received a response from the server. */
  isResponding (server: string, now: number): boolean
}

/** A host that was refused a connection by a run of a server. */
interface Refusal {
  readonly zone: string
  readonly bornAt: number
  readonly at: number
}

interface ServerLoad {
  readonly inFlight: Map<string, number>
  /** Age of each host's oldest request in flight. */
  readonly oldestMs: Map<string, number>
  workMs: number
  failureShare: number
  lastResponseAt: number
  lost: number
  lostAt: number
  admitShare: number
  /** Requests for its keys, including refused ones, and successful responses since shares were last adjusted. */
  wanted: number
  completed: number
  /** Successful responses per second while all its slots are busy; 0 if unknown. */
  capacity: number
  /** Last refusal by host, since the last response. */
  readonly refusedBy: Map<string, Refusal>
  /** Limit that the server has named, in requests per second; 0 if none. */
  limitPerSecond: number
  /** When a response last showed the limit, or its end. */
  limitObservedAt: number
}

/** Weight that the mean duration retains for each additional sample. */
const MEAN_RETENTION = 0.93

/** Weight that the share of failures retains for each additional sample. */
const FAILURE_RETENTION = 0.9

/** Multiple of the mean duration from which requests in flight show that a server has become slow. */
const OVERDUE_FACTOR = 2.5

/** Target for the requests at an overloaded server, as a multiple of its slots: all slots busy and a short queue. */
const TARGET_OCCUPANCY = 1.75

/** Multiple of the target occupancy up to which overload is left to the admission control of each host. */
const TOLERATED_OVERLOAD = 2.2

/** Time within which the queue length is corrected, in seconds: several publications of loads. */
const QUEUE_CORRECTION_SECONDS = 1

/** Weight of a new measurement of a busy server's response rate. */
const CAPACITY_WEIGHT = 0.3

/** Minimum share of requests that is admitted: some must reach the server to measure its response rate. */
const MINIMUM_SHARE = 0.005

/** Number of hosts that must have been refused a connection before a server counts as refusing. */
const MINIMUM_REFUSED_HOSTS = 3

/** Time for which a refused connection counts, in milliseconds: the maximum duration of a grant, so that every grant of before has expired after it. */
const REFUSAL_RETENTION_MS = 10_000

/** Consecutive lost requests after which a server counts as unresponsive. */
const UNRESPONSIVE_LOST_REQUESTS = 2

/** Time without a response that is also required for a server to count as unresponsive, in milliseconds. */
const UNRESPONSIVE_AFTER_MS = 500

/** Time for which a server counts as unresponsive after the last lost request, in milliseconds; then requests are sent to it again. */
const UNRESPONSIVE_WINDOW_MS = 1500

/**
 * Creates an aggregator without loads.
 *
 * @param assumedWorkMs Assumed duration of a request at a server without measurements, in milliseconds; `undefined` if its service is unknown. Default: unknown for every server.
 * @returns The aggregator.
 */
export function createLoadAggregator (assumedWorkMs: (server: string) => number | undefined = () => undefined): LoadAggregator {
  const serverLoads = new Map<string, ServerLoad>()
  /** Start time of each server's present run, as listed. */
  const startTimes = new Map<string, number>()
  let adjustedAt = -Infinity

  function loadOf (server: string): ServerLoad {
    const load = serverLoads.get(server)
    if (load !== undefined) return load
    const created: ServerLoad = { inFlight: new Map(), oldestMs: new Map(), workMs: 0, failureShare: 0, lastResponseAt: -Infinity, lost: 0, lostAt: -Infinity, admitShare: 1, wanted: 0, completed: 0, capacity: 0, refusedBy: new Map(), limitPerSecond: 0, limitObservedAt: -Infinity }
    serverLoads.set(server, created)
    return created
  }

  /** The newest observation of any host counts: reports arrive in any order. */
  function recordLimit (load: ServerLoad, [perSecond, ageMs]: readonly [perSecond: number, ageMs: number], now: number): void {
    if (now - ageMs < load.limitObservedAt) return
    load.limitPerSecond = perSecond
    load.limitObservedAt = now - ageMs
  }

  function addSample (server: string, { sample, host, now }: { readonly sample: ServerSample, readonly host: ReportingHost, readonly now: number }): void {
    const load = loadOf(server)
    if (sample.limit !== undefined) recordLimit(load, sample.limit, now)
    load.wanted += sample.wanted
    load.completed += sample.served
    const responses = sample.served + sample.failed + sample.shed
    if (responses > 0) {
      load.lastResponseAt = now
      load.lost = 0
      load.refusedBy.clear()
      const retention = FAILURE_RETENTION ** responses
      load.failureShare = load.failureShare * retention + (sample.failed + sample.shed) / responses * (1 - retention)
    }
    const startTime = startTimes.get(server) ?? 0
    const { refusedBornAt = startTime } = sample
    if (sample.refused > 0 && refusedBornAt >= startTime) load.refusedBy.set(host.name, { zone: host.zone, bornAt: refusedBornAt, at: now })
    // A refusal by an earlier run is no loss of the present one.
    const lost = refusedBornAt >= startTime ? sample.lost : sample.lost - sample.refused
    if (lost > 0) {
      load.lost += lost
      load.lostAt = now
    }
    if (sample.served === 0) return
    const mean = sample.workMs / sample.served
    // The average begins with the assumed duration: a server whose first request takes a small part of what others take is not faster by that factor.
    const before = load.workMs === 0 ? assumedWorkMs(server) ?? mean : load.workMs
    load.workMs = before + (mean - before) * (1 - MEAN_RETENTION ** sample.served)
  }

  /** The speed of a server outlasts its restart; what its process did does not. */
  function discardRun (load: ServerLoad): void {
    load.lastResponseAt = -Infinity
    load.lost = 0
    load.lostAt = -Infinity
    load.failureShare = 0
    load.limitPerSecond = 0
    load.refusedBy.clear()
  }

  function removeHost (host: string): void {
    for (const load of serverLoads.values()) {
      load.inFlight.delete(host)
      load.oldestMs.delete(host)
    }
  }

  /** The mean duration, or a longer one that the requests in flight of two hosts show; a single one may be an outlier. */
  function currentWorkMs (load: ServerLoad): number {
    const [, secondOldestMs = 0] = [...load.oldestMs.values()].sort((left, right) => right - left)
    return secondOldestMs > load.workMs * OVERDUE_FACTOR ? secondOldestMs : load.workMs
  }

  function isUnresponsive (load: ServerLoad, now: number): boolean {
    return load.lost >= UNRESPONSIVE_LOST_REQUESTS && now - load.lastResponseAt > UNRESPONSIVE_AFTER_MS && now - load.lostAt < UNRESPONSIVE_WINDOW_MS
  }

  function totalInFlight (load: ServerLoad): number {
    let total = 0
    for (const count of load.inFlight.values()) total += count
    return total
  }

  /** Admits requests at the rate at which the server responds: more while its queue is short, fewer while it is long. */
  function adjustShare (load: ServerLoad, { slots, assumedWorkMs }: ServerCapacity, seconds: number): void {
    const inFlight = totalInFlight(load)
    if (inFlight >= slots) {
      const rate = load.completed / seconds
      load.capacity = load.capacity === 0 ? slots * 1000 / (load.workMs > 0 ? load.workMs : assumedWorkMs) : load.capacity + (rate - load.capacity) * CAPACITY_WEIGHT
    }
    const target = slots * TARGET_OCCUPANCY
    if (load.admitShare === 1 && inFlight <= target * TOLERATED_OVERLOAD) return
    const admitted = Math.max(0, load.capacity + (target - inFlight) / QUEUE_CORRECTION_SECONDS)
    load.admitShare = Math.min(1, Math.max(MINIMUM_SHARE, admitted * seconds / Math.max(1, load.wanted)))
  }

  return {
    add (host, samples, now) {
      removeHost(host.name)
      for (const [server, sample] of samples) {
        const load = loadOf(server)
        if (sample.inFlight > 0) {
          load.inFlight.set(host.name, sample.inFlight)
          load.oldestMs.set(host.name, sample.oldestMs)
        }
        addSample(server, { sample, host, now })
      }
    },
    removeHost,
    discardHost (host) {
      removeHost(host)
      for (const load of serverLoads.values()) load.refusedBy.delete(host)
    },
    views (now) {
      const views = new Map<string, ServerView>()
      for (const [server, load] of serverLoads) {
        views.set(server, { inFlight: totalInFlight(load), workMs: currentWorkMs(load), failureShare: load.failureShare, silent: isUnresponsive(load, now), admitShare: load.admitShare })
      }
      return views
    },
    adjustShares (capacityOf, now) {
      const seconds = Math.max(0.05, (now - adjustedAt) / 1000)
      adjustedAt = now
      for (const [server, load] of serverLoads) {
        const serverCapacity = capacityOf(server)
        if (serverCapacity !== undefined) adjustShare(load, serverCapacity, seconds)
        load.wanted = 0
        load.completed = 0
      }
    },
    setServers (servers) {
      for (const { id, bornAt } of servers) {
        const load = serverLoads.get(id)
        if (load !== undefined && startTimes.has(id) && startTimes.get(id) !== bornAt) discardRun(load)
        startTimes.set(id, bornAt)
      }
    },
    isRefusingConnections (server, now) {
      const refusals = [...serverLoads.get(server.id)?.refusedBy.values() ?? []].filter(({ bornAt, at }) => bornAt === server.bornAt && now - at <= REFUSAL_RETENTION_MS)
      return refusals.length >= MINIMUM_REFUSED_HOSTS && refusals.some(({ zone }) => zone === server.zone)
    },
    requestLimit (server, now) {
      const load = serverLoads.get(server)
      if (load === undefined || load.limitPerSecond === 0 || now - load.limitObservedAt > limitRetentionMs(load.limitPerSecond)) return null
      return load.limitPerSecond
    },
    isResponding: (server, now) => now - (serverLoads.get(server)?.lastResponseAt ?? -Infinity) < UNRESPONSIVE_WINDOW_MS
  }
}
