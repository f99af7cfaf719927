/** Durations and intervals of the grants of a range controller. */

/** Durations and intervals of grants, in milliseconds. */
export const GrantTiming = {
  /** Duration of a grant: long enough to outlast a change of leader, but no longer, as the keys of an unresponsive server stay unserved until it ends. */
  grantDurationMs: 3500,
  /** Time between renewals; three fit into the duration of a grant, so one may be lost. */
  renewIntervalMs: 900,
  /** Delay before a failed call is retried. */
  retryDelayMs: 250,
  /** Time for which a single key stays with a server that it was moved to: speeds measured on a server whose queue is full vary, and each move waits for the work on the key. */
  singleKeyStayMs: 2500
} as const
