/**
 * Releases that a leader waits for: a slice goes to another server, and a
 * server to another dispatcher, only after the holder so far is known to have
 * let go. All times are the leader's monotonic clock in milliseconds.
 */
import type { HostTable, HostRecord } from './host_table.ts'

/** A holder that has been told to let go. */
export interface Release {
  /** Host that sends to the server; `null` where none does. */
  readonly dispatcher: string | null
  readonly server: string
  /** View version that takes the assignment away. */
  readonly version: number
  /** The slice that leaves the server; `null` where the server leaves its dispatcher. */
  readonly slice: number | null
}

/** What a leader knows when it asks whether holders have let go. */
export interface ReleaseContext {
  readonly now: number
  readonly hosts: HostTable
  /** Hosts that the platform's list names no more. */
  readonly removedHosts: ReadonlySet<string>
  readonly checksGrants: (server: string) => boolean
}

/** Releases of one leader. */
export interface ReleaseTracker {
  begin (key: string, release: Release): void
  get (key: string): Release | undefined
  has (key: string): boolean
  size (): number
  /** Ends the releases whose holders have let go. */
  removeCompleted (context: ReleaseContext): void
  /** How many hosts may still have requests at servers that do not check grants, and have not said so. */
  unconfirmedHostCount (): number
  /** Whether a host may still have requests at one of the servers, none of which checks grants. */
  mayHaveRequests (servers: readonly string[], hosts: HostTable): boolean
}

/**
 * Creates the releases of a leader whose authority has just begun.
 *
 * @param unprovenHosts Hosts that may have sent to servers in earlier epochs.
 * @returns The releases.
 */
export function createReleaseTracker (unprovenHosts: readonly string[]): ReleaseTracker {
  const releases = new Map<string, Release>()
  /** Hosts that are to report, with the view version that they must have put into effect by then. */
  const unproven = new Map<string, number>(unprovenHosts.map((host) => [host, 1]))

  function noteProof (context: ReleaseContext): void {
    for (const [host, version] of unproven) {
      const applied = context.hosts.get(host)?.applied ?? 0
      if (context.removedHosts.has(host) || applied >= version) unproven.delete(host)
    }
  }

  function hasLetGo (release: Release, context: ReleaseContext): boolean {
    const checks = context.checksGrants(release.server)
    if (release.slice !== null && !checks && isAtWorkElsewhere(release, context)) return false
    if (release.dispatcher === null) return true
    const known = context.hosts.get(release.dispatcher)
    if (known !== undefined && reportsRelease(known, release)) return true
    const leaseEnded = known === undefined || context.now > known.leaseUntil
    if (!leaseEnded) return false
    return checks ? takeFromLeaseEnd(known, release) : takeWithoutReport(known, release, context)
  }

  /** The host may use no older view with the leases that it gets from now on. */
  function takeFromLeaseEnd (known: HostRecord | undefined, release: Release): boolean {
    if (known !== undefined) known.floor = Math.max(known.floor, release.version)
    return true
  }

  /**
   * A server that does not check may go to another dispatcher, as it stays the
   * owner. Its slices stay with it until the old dispatcher has reported.
   */
  function takeWithoutReport (known: HostRecord | undefined, release: Release, context: ReleaseContext): boolean {
    if (release.dispatcher === null) return true
    if (context.removedHosts.has(release.dispatcher)) return takeFromLeaseEnd(known, release)
    if (release.slice !== null) return false
    unproven.set(release.dispatcher, Math.max(unproven.get(release.dispatcher) ?? 0, release.version))
    return takeFromLeaseEnd(known, release)
  }

  /** Whether a host that sent to the server before still has requests there, or has not said so yet. */
  function isAtWorkElsewhere (release: Release, context: ReleaseContext): boolean {
    return unproven.size > 0 || context.hosts.all().some((known) =>
      known.host !== release.dispatcher && known.pending.includes(release.server) && !context.removedHosts.has(known.host))
  }

  function reportsRelease (known: HostRecord, release: Release): boolean {
    if (known.applied < release.version) return false
    if (!known.pending.includes(release.server)) return true
    const lost = known.lost.find((entry) => entry.server === release.server)
    return lost !== undefined && release.slice !== null && !lost.held.includes(release.slice)
  }

  return {
    begin (key, release) { releases.set(key, release) },
    get: (key) => releases.get(key),
    has: (key) => releases.has(key),
    size: () => releases.size,
    removeCompleted (context) {
      noteProof(context)
      for (const [key, release] of releases) {
        if (hasLetGo(release, context)) releases.delete(key)
      }
    },
    unconfirmedHostCount: () => unproven.size,
    mayHaveRequests: (servers, hosts) => unproven.size > 0 ||
      hosts.all().some((known) => known.pending.some((server) => servers.includes(server)))
  }
}
