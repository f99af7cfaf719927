/**
 * Tells a store that is away from a partition, by whom the leading host hears.
 *
 * Both keep the leader from renewing its lease. When the store is away, all
 * hosts still report; a partition silences those beyond it, and a leader on
 * the smaller side must not grant keys for so long that the other side waits.
 */

/** Options of {@link createHostReportTracker}. */
export interface HostReportTrackerOptions {
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Time between two reports of one host, in milliseconds. */
  readonly reportIntervalMs: () => number
}

/** The hosts that one host hears. */
export interface HostReportTracker {
  recordReport (host: string): void
  /** Whether more than half of the hosts that reported lately still do; also where there are no others. */
  isMajorityReporting (): boolean
}

/** Time in which a host counts as one that reported lately, in milliseconds: longer than a lease, so that a partition shows as long as the leader acts. */
const LATELY_MS = 5000

/** Delay of a report that is allowed for besides the pauses between reports, in milliseconds: many trips within a region. */
const REPORT_DELAY_MS = 200

/** Pauses between reports after which a host is no longer heard: one report may be late. */
const MISSED_REPORTS = 2

/**
 * Creates a record of nobody.
 *
 * @param options Clock and time between reports.
 * @returns The record.
 */
export function createHostReportTracker (options: HostReportTrackerOptions): HostReportTracker {
  const heardAt = new Map<string, number>()
  return {
    recordReport (host) { heardAt.set(host, options.now()) },
    isMajorityReporting () {
      const present = options.now()
      const silentAfterMs = REPORT_DELAY_MS + MISSED_REPORTS * options.reportIntervalMs()
      let still = 0
      for (const [host, at] of heardAt) {
        if (present - at > LATELY_MS) heardAt.delete(host)
        else if (present - at <= silentAfterMs) still++
      }
      return heardAt.size === 0 || still * 2 > heardAt.size
    }
  }
}
