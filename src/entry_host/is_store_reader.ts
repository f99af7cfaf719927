/** Decides which hosts read the store first when the leader cannot. */
import { rendezvousRank } from '../routing/mod.ts'

/** Number of hosts in each availability zone that read first: one of them may be unable to reach the store, too. */
const READERS_PER_ZONE = 2

/** Options of {@link isStoreReader}. */
export interface StoreReaderChoice {
  /** Names of the hosts in the same availability zone. */
  readonly candidates: readonly string[]
  /** Name that the hosts are ranked for, so that different hosts read after each change of leader. */
  readonly subject: string
}

/**
 * Returns whether a host is one of the first in its availability zone to read
 * the store. All hosts of the zone come to the same result.
 *
 * @param host Name of the host.
 * @param choice The hosts of its zone and what they are ranked for.
 * @returns True also for a host that is not among the candidates, which then has no others to rely on.
 */
export function isStoreReader (host: string, choice: StoreReaderChoice): boolean {
  if (!choice.candidates.includes(host)) return true
  const ownRank = rendezvousRank(host, choice.subject)
  return choice.candidates.filter((candidate) => rendezvousRank(candidate, choice.subject) < ownRank).length < READERS_PER_ZONE
}
