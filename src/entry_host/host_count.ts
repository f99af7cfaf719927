/**
 * Number of hosts among which a limit over all hosts is divided.
 *
 * The leader counts the hosts that are connected to it, and publishes the
 * number. It does not see hosts on the other side of a partition, and a new
 * leader sees none at first, while all of them keep their parts of the limit.
 * The number therefore falls only long after hosts have gone.
 */

/** Number of hosts as known to one host. */
export interface HostCount {
  /** Records a number that this host has counted as the leader, or received from the leader. */
  record (hosts: number): void
  /** Largest number recorded in the last 10 to 20 minutes; 0 if there is none. */
  known (): number
  /** Number among which limits are divided: after the start of this host at least the assumed one, since the leader may have started with it. */
  sharing (): number
}

/** Number of hosts assumed until this host knows better. */
const ASSUMED_HOSTS = 64

/** Time after the start in which the number may be incomplete, in milliseconds: hosts connect to a new leader within seconds. */
const INCOMPLETE_MS = 10_000

/** Minimum time for which a number is kept, in milliseconds: longer than a partition lasts before hosts are stopped or the network is repaired. */
const RETENTION_MS = 600_000

/**
 * Creates a host count without numbers.
 *
 * @param now Monotonic time in milliseconds.
 * @returns The host count.
 */
export function createHostCount (now: () => number): HostCount {
  const startedAt = now()
  /** Largest numbers of the current period of {@link RETENTION_MS} and of the one before. */
  let [current, previous] = [0, 0]
  let periodStartedAt = startedAt

  function advancePeriod (): void {
    const elapsedMs = now() - periodStartedAt
    if (elapsedMs < RETENTION_MS) return
    previous = elapsedMs < 2 * RETENTION_MS ? current : 0
    current = 0
    periodStartedAt = now()
  }

  function known (): number {
    advancePeriod()
    return Math.max(current, previous)
  }

  return {
    record (hosts) {
      advancePeriod()
      current = Math.max(current, hosts)
    },
    known,
    sharing () {
      const hosts = known()
      return hosts === 0 || now() - startedAt < INCOMPLETE_MS ? Math.max(hosts, ASSUMED_HOSTS) : hosts
    }
  }
}
