/** Intervals, timeouts and random delays of an entry host's tasks. */

/** Timing of an entry host's tasks, in milliseconds. */
export const TaskTiming = {
  /** Interval at which a host checks its paths to servers. */
  reachabilityIntervalMs: 50,
  /** Interval at which an isolated leader checks whether it can hand over; the first check gives other hosts time to find out whether they are isolated, too. */
  isolatedLeaderIntervalMs: 200,
  /** Interval at which the end of the warm-up of servers is noticed, for the log. */
  warmUpIntervalMs: 600,
  /** Time without a connection after which a probed server counts as not reached: many round trips within a region. */
  probeTimeoutMs: 200,
  /** Interval at which due grants and releases are started. */
  grantIntervalMs: 50,
  /** Minimum interval between load messages: about the duration of one request. */
  loadIntervalMs: 120,
  /** Addition to the interval between load messages for each connected host: keeps the leader's work constant as the number of hosts grows. */
  loadIntervalPerHostMs: 4,
  /** Maximum interval between load messages: shorter than the time without messages after which hosts read the store themselves. */
  maximumLoadIntervalMs: 600,
  /** Time without another host that connects after which new relays are published. */
  relaySettlingMs: 200,
  /** Time after which a new leader publishes relays even if hosts still connect. */
  relayDiscoveryMs: 1500,
  /** Interval between plans: a busy key should be served again within seconds. */
  planIntervalMs: 400,
  /** Interval at which the leader reads the store: a third of the time within which changes must take effect. */
  leaderReadIntervalMs: 600,
  /** Interval at which a host that receives no heartbeats reads the store itself. */
  directReadIntervalMs: 600,
  /** Interval at which a following host checks that the leader's heartbeats are recent. */
  leaderCheckIntervalMs: 100,
  /** Time within which a reachable leader sends its first message: connection setup, initial updates and one interval between its messages. */
  firstMessageTimeoutMs: 350,
  /** The same while a deployment starts for the first time: the leader then reads everything, and sends it to all hosts at once. */
  firstStartTimeoutMs: 4000,
  /** Delay before small hosts look for a leader while a deployment starts for the first time: by then a larger host leads. */
  firstStartDelayMs: 600,
  /** Interval at which a host that has just connected checks for a heartbeat. */
  heartbeatCheckIntervalMs: 25,
  /** Range of the random delay before hosts that start together look for a leader, so that few claim a free lease. */
  startJitterMs: 300,
  /** Range of the random delay before hosts claim an expired lease. */
  claimJitterMs: 150,
  /** Time for which a host leaves reading to the readers of its zone while heartbeats show that the leader's data is out of date. Together with `staleAfterMs` it stays within the time in which a configuration must be in force. */
  readerPrecedenceMs: 700,
  /** Age of the leader's data from the store from which it resigns if other hosts reach the store, in milliseconds. */
  resignAfterMs: 1000,
  /** Maximum pause after failed reads. */
  maximumReadBackoffMs: 1600,
  /** Time without a heartbeat, or age of the leader's last read, after which a host reads the store itself; the interval between load messages is added. */
  staleAfterMs: 900
} as const
