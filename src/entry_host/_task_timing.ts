/** When the tasks of an entry host run. */

/** Times of an entry host's tasks, in milliseconds. */
export const TaskTiming = {
  /** Grants and releases that are due are started this often. */
  grantIntervalMs: 50,
  /** Loads are told this often: about the time that one request takes. */
  loadIntervalMs: 120,
  /** Pause between two tellings for each connected host: the leader's work stays the same however many there are. */
  loadIntervalPerHostMs: 4,
  /** Longest such pause: below the silence after which hosts read for themselves. */
  maximumLoadIntervalMs: 600,
  /** Time in which the hosts find a new leader: each looks for it within the pause between its reads. */
  relayDiscoveryMs: 1500,
  /** Keys are planned this often: a busy key should be served again within seconds. */
  planIntervalMs: 400,
  /** The leader reads the store this often, a third of the time in which changes must be in force. */
  leaderReadIntervalMs: 600,
  /** A host that does not hear the leader reads for itself this often. */
  directReadIntervalMs: 600,
  /** A host that hears the leader looks this often whether it still does. */
  leaderCheckIntervalMs: 100,
  /** A leader that is reached answers within this time: a connection, a greeting, and the pause between its messages. */
  firstMessageTimeoutMs: 350,
  /** Hosts that start together look for a leader within this time of one another, so that few claim a free lease. */
  startJitterMs: 300,
  /** Hosts that wait for a lease to end try for it within this time of one another. */
  claimJitterMs: 150,
  /** The longest pause after reads that failed. */
  maximumReadBackoffMs: 1600,
  /** Silence of the leader, or age of what it has read, after which a host reads for itself, besides the pause between its messages. */
  staleAfterMs: 900
} as const
