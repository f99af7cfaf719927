/**
 * Releases that a leader waits for. A slice moves to another server, and a
 * server to another dispatcher, only after the current holder has released it.
 * All times are in milliseconds of the leader's monotonic clock.
 */
import type { HostTable, HostRecord } from './host_table.ts'

/** A pending release of a server or a slice. */
export interface Release {
  /** Host that dispatches for the server; `null` if there is none. */
  readonly dispatcher: string | null
  readonly server: string
  /** View version that revokes the assignment. */
  readonly version: number
  /** Slice that moves away from the server; `null` if the server moves away from its dispatcher. */
  readonly slice: number | null
}

/** State that one run of {@link ReleaseTracker.removeCompleted} uses. */
export interface ReleaseContext {
  readonly now: number
  readonly hosts: HostTable
  /** Hosts that the platform no longer lists. */
  readonly removedHosts: ReadonlySet<string>
  readonly checksGrants: (server: string) => boolean
}

/** Pending releases of one leader. */
export interface ReleaseTracker {
  begin (key: string, release: Release): void
  get (key: string): Release | undefined
  has (key: string): boolean
  size (): number
  /** Removes the releases that are complete. */
  removeCompleted (context: ReleaseContext): void
  /** Number of hosts that have yet to report whether they still have requests at servers that do not check grants. */
  unconfirmedHostCount (): number
  /** Whether a host may still have requests at one of `servers`, none of which checks grants. */
  mayHaveRequests (servers: readonly string[], hosts: HostTable): boolean
}

/**
 * Creates the release tracker of a newly elected leader.
 *
 * @param unconfirmedHosts Hosts that may have sent requests to servers in earlier epochs.
 * @returns The tracker, without pending releases.
 */
export function createReleaseTracker (unconfirmedHosts: readonly string[]): ReleaseTracker {
  const releases = new Map<string, Release>()
  /** Hosts whose reports are outstanding, with the view version that they must have applied. */
  const unconfirmed = new Map<string, number>(unconfirmedHosts.map((host) => [host, 1]))

  function recordConfirmations (context: ReleaseContext): void {
    for (const [host, version] of unconfirmed) {
      const applied = context.hosts.get(host)?.applied ?? 0
      if (context.removedHosts.has(host) || applied >= version) unconfirmed.delete(host)
    }
  }

  function isReleased (release: Release, context: ReleaseContext): boolean {
    const checksGrants = context.checksGrants(release.server)
    if (release.slice !== null && !checksGrants && mayHaveOtherRequests(release, context)) return false
    if (release.dispatcher === null) return true
    const record = context.hosts.get(release.dispatcher)
    if (record !== undefined && reportsRelease(record, release)) return true
    const hasLeaseEnded = record === undefined || context.now > record.leaseUntil
    if (!hasLeaseEnded) return false
    return checksGrants ? completeAtLeaseEnd(record, release) : completeWithoutReport(record, release, context)
  }

  /** Completes a release at the end of the lease: new leases of the host require the view of the release or a newer one. */
  function completeAtLeaseEnd (record: HostRecord | undefined, release: Release): boolean {
    if (record !== undefined) record.floor = Math.max(record.floor, release.version)
    return true
  }

  /**
   * A server that does not check grants may move to another dispatcher, since it
   * remains the owner. It keeps its slices until the old dispatcher has reported.
   */
  function completeWithoutReport (record: HostRecord | undefined, release: Release, context: ReleaseContext): boolean {
    if (release.dispatcher === null) return true
    if (context.removedHosts.has(release.dispatcher)) return completeAtLeaseEnd(record, release)
    if (release.slice !== null) return false
    unconfirmed.set(release.dispatcher, Math.max(unconfirmed.get(release.dispatcher) ?? 0, release.version))
    return completeAtLeaseEnd(record, release)
  }

  /** Whether requests that another host sent earlier may still be at the server. */
  function mayHaveOtherRequests (release: Release, context: ReleaseContext): boolean {
    return unconfirmed.size > 0 || context.hosts.all().some((record) =>
      record.host !== release.dispatcher && record.pending.includes(release.server) && !context.removedHosts.has(record.host))
  }

  function reportsRelease (record: HostRecord, release: Release): boolean {
    if (record.applied < release.version) return false
    if (!record.pending.includes(release.server)) return true
    const lost = record.lost.find((entry) => entry.server === release.server)
    return lost !== undefined && release.slice !== null && !lost.held.includes(release.slice)
  }

  return {
    begin (key, release) { releases.set(key, release) },
    get: (key) => releases.get(key),
    has: (key) => releases.has(key),
    size: () => releases.size,
    removeCompleted (context) {
      recordConfirmations(context)
      for (const [key, release] of releases) {
        if (isReleased(release, context)) releases.delete(key)
      }
    },
    unconfirmedHostCount: () => unconfirmed.size,
    mayHaveRequests: (servers, hosts) => unconfirmed.size > 0 ||
      hosts.all().some((record) => record.pending.some((server) => servers.includes(server)))
  }
}
