/**
 * Tracks which servers are cold, and limits what this host sends to them.
 *
 * A cold server ends when it receives requests at its usual rate. Only its relay
 * sends to it, at most its request rate in any second, so that two or three
 * hosts that each take themselves for the relay stay within what it tolerates.
 */
import type { RoutedServer, ServiceWarmUp } from '../routing/mod.ts'
import { coldPeriod, coldUntil, createColdRun, sharedColdPeriod, type ColdPeriod, type ColdReason, type ColdRun } from './_cold_run.ts'
import { createSendWindow, type SendWindow } from './_send_window.ts'
import { hostRate, type WarmUpBound } from './host_rate.ts'

/** A run that is cold, for other hosts; the time left is in milliseconds, because clocks differ between hosts. */
export type ColdServerNotice = readonly [id: string, bornAt: number, leftMs: number]

/** A server that has become cold or warm. */
export interface WarmUpChange {
  readonly server: RoutedServer
  readonly isCold: boolean
  readonly reason: ColdReason
  /** Time for which it stays cold as far as is known, or was cold, in milliseconds. */
  readonly durationMs: number
  /** Requests that this host has sent to it while it was cold. */
  readonly sent: number
  /** Times that a request had to wait or go elsewhere because it was cold. */
  readonly refused: number
}

/** A cold server, for the operator. */
export interface ColdServerDescription {
  readonly server: string
  readonly service: string
  readonly zone: string
  readonly reason: ColdReason
  readonly leftMs: number
  /** Requests that this host has sent to it since it became cold. */
  readonly sent: number
  readonly refused: number
  /** Requests that this host has sent to it within the window of the limit. */
  readonly sentInWindow: number
}

/** Warm-up of the servers as one host knows it. */
export interface WarmUpTracker {
  /** Applies a list of servers that was read or received. */
  onListed (servers: readonly RoutedServer[]): void
  /** Records that a connection to the server was refused or timed out: it may come back cold under the same id. */
  recordRefusedConnection (server: RoutedServer): void
  /** Records that the evacuation of a zone has ended; its servers may have become cold meanwhile. */
  recordZoneReturned (zone: string): void
  /** Applies what the leader says about cold servers. */
  recordNotices (notices: readonly ColdServerNotice[]): void
  isCold (server: RoutedServer): boolean
  /** Time until the server is warm, in milliseconds; 0 if it is. */
  coldForMs (server: RoutedServer): number
  /** Whether the server is cold, or its entry says so although its service states no request rate; such a server is only slow. */
  isWarmingUp (server: RoutedServer): boolean
  /** Requests per second that the server may receive; `null` if it is warm. */
  requestsPerSecond (server: RoutedServer): number | null
  /** Takes the permit for a request that is about to be sent; returns `null` if it may be sent now, otherwise the time until there is capacity for this host, in milliseconds. */
  take (server: RoutedServer): number | null
  /** Returns the permit that was taken at `takenAt`, or right after it, for a request that was not sent after all, or received 421. Monotonic time in milliseconds. */
  returnTaken (server: RoutedServer, takenAt: number): void
  /** Cold servers as the other hosts have not been notified of them; each extension is returned once. */
  takeNotices (): ColdServerNotice[]
  /** All servers that are cold by what every host can know, for a host that connects. */
  notices (): ColdServerNotice[]
  /** Reports servers that have become warm, or cold by a change of the configuration; called regularly. */
  tick (): void
  /** Cold servers, why, and what they received. */
  describe (): ColdServerDescription[]
}

/** Options of {@link createWarmUpTracker}. */
export interface WarmUpTrackerOptions {
  /** Returns the warm-up of a service; `undefined` if its servers are never cold. */
  readonly warmUpOf: (service: string) => ServiceWarmUp | undefined
  /** Bound on the requests of all hosts together to a cold server; `null` if there is none. */
  readonly bound: WarmUpBound | null
  /** Whether this host is the server's relay. */
  readonly isRelay: (server: RoutedServer) => boolean
  /** Called when a server becomes cold or warm. */
  readonly onChange: (change: WarmUpChange) => void
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Time for which runs that are no longer listed are remembered, in milliseconds: entries of live servers may be missing from the list during an outage of the store. */
const UNLISTED_RETENTION_MS = 60_000

/** Minimum extension that other hosts are notified of, in milliseconds: entries are read up to a few hundred milliseconds after they were written, and say so much more than is left. */
const SIGNIFICANT_EXTENSION_MS = 250

/** Maximum time left in a message, in milliseconds; as of an entry. */
const MAXIMUM_STATED_MS = 60_000

/** What a cold server received from this host. */
interface ColdRecord {
  readonly run: ColdRun
  readonly reason: ColdReason
  readonly since: number
  sent: number
  refused: number
}

/**
 * Creates a tracker without servers.
 *
 * @param options Warm-up of the services, relays and clock.
 * @returns The tracker.
 */
export function createWarmUpTracker (options: WarmUpTrackerOptions): WarmUpTracker {
  const { now, warmUpOf } = options
  const runs = new Map<string, ColdRun>()
  /** The same by the entry, which is looked up for every server at each request. */
  const runsByEntry = new WeakMap<RoutedServer, ColdRun>()
  const windows = new Map<string, SendWindow>()
  const coldRecords = new Map<string, ColdRecord>()
  let hasList = false
  /** Latest of the times in all runs until when an entry says that a server is cold, and from when the warm-up time counts: usually no server is cold, which is then found out without a look at each run. */
  let latestStatedUntil = -Infinity
  let latestMarkAt = -Infinity

  function keyOf ({ id, bornAt }: Pick<RoutedServer, 'id' | 'bornAt'>): string {
    return `${bornAt} ${id}`
  }

  function runOf (server: RoutedServer): ColdRun | undefined {
    return runsByEntry.get(server) ?? runs.get(keyOf(server))
  }

  function openRun (run: Pick<RoutedServer, 'id' | 'bornAt'>): ColdRun {
    const key = keyOf(run)
    const known = runs.get(key)
    if (known !== undefined) return known
    const created = createColdRun(run, now())
    runs.set(key, created)
    return created
  }

  function warmUpOfRun (run: ColdRun): ServiceWarmUp | undefined {
    return run.server === null ? undefined : warmUpOf(run.server.service)
  }

  /** The period in which the run is cold; `null` if it is warm, or not listed. */
  function currentPeriod (run: ColdRun): ColdPeriod | null {
    const warmUp = warmUpOfRun(run)
    return warmUp !== undefined && run.unlistedAt === Infinity && coldUntil(run, warmUp.durationMs) > now() ? coldPeriod(run, warmUp.durationMs) : null
  }

  /** Reports a run that has become cold or warm; returns its record while it is cold. */
  function update (run: ColdRun): ColdRecord | null {
    const key = keyOf(run)
    const period = currentPeriod(run)
    const known = coldRecords.get(key)
    if (period !== null && known !== undefined) return known
    if (period !== null && run.server !== null) {
      const record: ColdRecord = { run, reason: period.reason, since: now(), sent: 0, refused: 0 }
      coldRecords.set(key, record)
      options.onChange({ server: run.server, isCold: true, reason: period.reason, durationMs: period.until - now(), sent: 0, refused: 0 })
      return record
    }
    if (known !== undefined && coldRecords.delete(key) && run.server !== null) {
      options.onChange({ server: run.server, isCold: false, reason: known.reason, durationMs: now() - known.since, sent: known.sent, refused: known.refused })
    }
    return null
  }

  /** Applies the entry of a run. A value that has not changed since is no news: lists of the leader repeat old entries. */
  function applyEntry (run: ColdRun, server: RoutedServer): void {
    const isNewRun = run.server === null && hasList
    run.server = server
    runsByEntry.set(server, run)
    run.unlistedAt = Infinity
    if (isNewRun) mark(run, 'startedAt')
    if (server.warmUpLeftMs !== run.statedMs) {
      run.statedMs = server.warmUpLeftMs
      extendStated(run, server.warmUpLeftMs)
    }
    // Other hosts receive the list itself with a new run.
    if (isNewRun) run.noticedUntil = sharedUntil(run)
    update(run)
  }

  function extendStated (run: ColdRun, leftMs: number): void {
    run.statedUntil = Math.max(run.statedUntil, now() + leftMs)
    latestStatedUntil = Math.max(latestStatedUntil, run.statedUntil)
  }

  /** Records that a run may be cold for the warm-up time of its service from now on. */
  function mark (run: ColdRun, time: 'startedAt' | 'unreachableAt' | 'zoneReturnedAt'): void {
    run[time] = now()
    latestMarkAt = run[time]
  }

  function sharedUntil (run: ColdRun): number {
    return sharedColdPeriod(run, warmUpOfRun(run)?.durationMs ?? 0).until
  }

  function toNotice (run: ColdRun): ColdServerNotice {
    return [run.id, run.bornAt, Math.ceil(sharedUntil(run) - now())]
  }

  function isNoticeable (run: ColdRun): boolean {
    return warmUpOfRun(run) !== undefined && sharedUntil(run) > now()
  }

  function discardOldRuns (listed: ReadonlySet<string>): void {
    for (const [key, run] of runs) {
      if (listed.has(key)) continue
      run.unlistedAt = Math.min(run.unlistedAt, now())
      // A run that has ended does not become warm; another one may have its id.
      coldRecords.delete(key)
      if (now() - run.unlistedAt > UNLISTED_RETENTION_MS) runs.delete(key)
    }
    const ids = new Set([...runs.values()].map((run) => run.id))
    for (const id of windows.keys()) if (!ids.has(id)) windows.delete(id)
  }

  /** Window of a server. It continues over a restart, which this host may learn of late. */
  function windowOf (server: RoutedServer): SendWindow {
    const known = windows.get(server.id)
    if (known !== undefined) return known
    const created = createSendWindow()
    windows.set(server.id, created)
    return created
  }

  function coldForMs (server: RoutedServer): number {
    const warmUp = warmUpOf(server.service)
    if (warmUp === undefined || now() >= Math.max(latestStatedUntil, latestMarkAt + warmUp.durationMs)) return 0
    const run = runOf(server)
    return run === undefined ? 0 : Math.max(0, coldUntil(run, warmUp.durationMs) - now())
  }

  /** Time until this host may send to a cold server, in milliseconds; 0 if it may now. */
  function waitMs (server: RoutedServer, warmUp: ServiceWarmUp): number {
    const remainingMs = coldForMs(server)
    if (remainingMs === 0 || !options.isRelay(server)) return remainingMs
    return Math.min(remainingMs, windowOf(server).waitMs(hostRate(warmUp, options.bound), now()))
  }

  return {
    onListed (servers) {
      if (servers.length === 0) return
      for (const server of servers) applyEntry(openRun(server), server)
      hasList = true
      discardOldRuns(new Set(servers.map(keyOf)))
    },
    recordRefusedConnection (server) {
      const run = runOf(server)
      if (run === undefined) return
      mark(run, 'unreachableAt')
      update(run)
    },
    recordZoneReturned (zone) {
      for (const run of runs.values()) {
        if (run.server?.zone !== zone) continue
        mark(run, 'zoneReturnedAt')
        // Each host learns from the configuration that the evacuation has ended.
        run.noticedUntil = Math.max(run.noticedUntil, sharedUntil(run))
        update(run)
      }
    },
    recordNotices (notices) {
      for (const [id, bornAt, leftMs] of notices) {
        if (!Number.isFinite(leftMs)) continue
        const run = openRun({ id, bornAt })
        extendStated(run, Math.min(MAXIMUM_STATED_MS, leftMs))
        run.noticedUntil = Math.max(run.noticedUntil, run.statedUntil)
        update(run)
      }
    },
    isCold: (server) => coldForMs(server) > 0,
    coldForMs,
    isWarmingUp: (server) => coldForMs(server) > 0 || (runOf(server)?.statedUntil ?? -Infinity) > now(),
    requestsPerSecond (server) {
      const warmUp = warmUpOf(server.service)
      return warmUp === undefined || coldForMs(server) === 0 ? null : hostRate(warmUp, options.bound)
    },
    take (server) {
      const warmUp = warmUpOf(server.service)
      if (warmUp === undefined) return null
      const run = runOf(server)
      const record = run === undefined ? null : update(run)
      const remainingMs = waitMs(server, warmUp)
      if (remainingMs > 0) {
        if (record !== null) record.refused++
        return remainingMs
      }
      // Requests to a warm server count, too: it may become cold within the next second.
      windowOf(server).add(now())
      if (record !== null) record.sent++
      return null
    },
    returnTaken (server, takenAt) {
      if (windows.get(server.id)?.remove(takenAt, now()) !== true) return
      const record = coldRecords.get(keyOf(server))
      if (record !== undefined && takenAt >= record.since && record.sent > 0) record.sent--
    },
    takeNotices () {
      const extended = [...runs.values()].filter((run) => isNoticeable(run) && sharedUntil(run) > run.noticedUntil + SIGNIFICANT_EXTENSION_MS)
      for (const run of extended) run.noticedUntil = sharedUntil(run)
      return extended.map(toNotice)
    },
    notices: () => [...runs.values()].filter(isNoticeable).map(toNotice),
    tick () { for (const run of runs.values()) update(run) },
    describe: () => [...coldRecords.values()].flatMap(({ run, reason, sent, refused }) => run.server === null
      ? []
      : [{ server: run.id, service: run.server.service, zone: run.server.zone, reason, leftMs: Math.max(0, Math.round((currentPeriod(run)?.until ?? now()) - now())), sent, refused, sentInWindow: windows.get(run.id)?.count(now()) ?? 0 }])
  }
}
