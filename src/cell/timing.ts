/** Durations that every host of a cell must agree on, in milliseconds of a monotonic clock. */
export const CellTiming = {
  /** Interval between a leader's pings. */
  PING_INTERVAL_MS: 250,
  /** How long a member's promise to a leader lasts. */
  PROMISE_DURATION_MS: 1000,
  /** How long a leader's permission to dispatch lasts. */
  DISPATCH_LEASE_DURATION_MS: 850,
  /** How long a grant to a backend server lasts. */
  GRANT_DURATION_MS: 700,
  /** Interval between renewals of a grant. */
  GRANT_RENEWAL_INTERVAL_MS: 250,
  /** Allowance for clock drift at the end of a lease, promise or grant. */
  CLOCK_DRIFT_MARGIN_MS: 40,
  /** Time without a message after which a host is not assigned any backend server. */
  HOST_TIMEOUT_MS: 700,
  /** Delay of each deputy after the previous one; longer than a ping interval, since one ping may be lost. */
  DEPUTY_STAGGER_MS: 300,
  /** Interval between a candidate's rounds of promise requests. */
  PROMISE_REQUEST_INTERVAL_MS: 60,
  /** How long a host without a leader waits before it claims a term at the table service. */
  CLAIM_DELAY_MS: 1500,
  /** How long a leader waits for a durable write before it grants slices without it and relies on the stored succession. */
  DURABLE_WRITE_TIMEOUT_MS: 300,
  /** Interval between decisions of a leader in the absence of events. */
  DECISION_INTERVAL_MS: 100,
  /** How long a new leader waits for the durable row before it starts from the view and row that it has. */
  DURABLE_READ_TIMEOUT_MS: 150
} as const

/**
 * Number of ranks per term; epoch = term × this + rank. Rank 0 belongs to the
 * host that claimed the term, the others to the hosts of the succession in
 * rotation.
 */
export const RANKS_PER_TERM = 64
