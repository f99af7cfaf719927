/**
 * Distinguishes a store outage from a network partition by the hosts that
 * still report to the leading host.
 *
 * Both prevent the leader from renewing its lease. During a store outage all
 * hosts still report; in a partition the reports from the other side stop, and
 * a leader on the smaller side must not make grants so long that the other
 * side has to wait for them.
 */

/** Options of {@link createHostReportTracker}. */
export interface HostReportTrackerOptions {
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Interval between two reports of one host, in milliseconds. */
  readonly reportIntervalMs: () => number
}

/** Reports that one host receives from the others. */
export interface HostReportTracker {
  recordReport (host: string): void
  /** Whether more than half of the hosts that reported recently still do; true if no host has. */
  isMajorityReporting (): boolean
}

/** Window in which a report makes a host count as recent, in milliseconds: longer than a lease, so that a partition is visible for as long as the leader acts. */
const RECENT_REPORT_WINDOW_MS = 5000

/** Allowed delay of a report in addition to the report intervals, in milliseconds: many round trips within a region. */
const MAXIMUM_REPORT_DELAY_MS = 200

/** Report intervals without a report after which a host no longer counts as reporting: one report may be late. */
const TIMEOUT_INTERVALS = 2

/**
 * Creates a tracker without reports.
 *
 * @param options Clock and report interval.
 * @returns The tracker.
 */
export function createHostReportTracker (options: HostReportTrackerOptions): HostReportTracker {
  const lastReportAt = new Map<string, number>()
  return {
    recordReport (host) { lastReportAt.set(host, options.now()) },
    isMajorityReporting () {
      const currentTime = options.now()
      const timeoutMs = MAXIMUM_REPORT_DELAY_MS + TIMEOUT_INTERVALS * options.reportIntervalMs()
      let reporting = 0
      for (const [host, at] of lastReportAt) {
        if (currentTime - at > RECENT_REPORT_WINDOW_MS) lastReportAt.delete(host)
        else if (currentTime - at <= timeoutMs) reporting++
      }
      return lastReportAt.size === 0 || reporting * 2 > lastReportAt.size
    }
  }
}
