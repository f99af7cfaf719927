/** Durations that every host of a cell must agree on, in milliseconds of a monotonic clock. */
export const CellTiming = {
  /** Interval between two pings of a leader. */
  PING_INTERVAL_MS: 250,
  /** How long a member's promise to a leader lasts. */
  PROMISE_DURATION_MS: 1000,
  /** How long a leader's permission to dispatch lasts. */
  DISPATCH_LEASE_DURATION_MS: 850,
  /** How long a grant to a backend server lasts. */
  GRANT_DURATION_MS: 700,
  /** Interval between two renewals of a grant. */
  GRANT_RENEWAL_INTERVAL_MS: 250,
  /** What a lease holder takes off for clock drift. */
  CLOCK_DRIFT_MARGIN_MS: 40,
  /** Silence after which a host gets no backend server to dispatch for. */
  HOST_TIMEOUT_MS: 700,
  /** How much later each further deputy stands than the one before it; longer than a ping interval, as one ping may be lost. */
  DEPUTY_STAGGER_MS: 300,
  /** Interval between two rounds in which a candidate asks for promises. */
  PROMISE_REQUEST_INTERVAL_MS: 60,
  /** How long a host without a leader waits before it claims a term at the table service. */
  CLAIM_DELAY_MS: 1500,
  /** How long a leader waits for a durable write before it acts on the succession written in advance. */
  DURABLE_WRITE_TIMEOUT_MS: 300,
  /** Interval between two decisions of a leader where nothing has happened. */
  DECISION_INTERVAL_MS: 100,
  /** How long a new leader waits for the durable row before it starts from its own view. */
  DURABLE_READ_TIMEOUT_MS: 150
} as const

/**
 * Ranks a term has room for; epoch = term × this + rank. Rank 0 belongs to the
 * host that claimed the term, the others to the succession in turn, again and
 * again.
 */
export const RANKS_PER_TERM = 64
