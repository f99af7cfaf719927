/** Check of a soak run that a server which crashed before keeps its keys while it serves on without an entry. */
import { pause, pickRandom, removeServerEntry, writeServerEntry, type Environment } from './environment.ts'
import { endServer, RESTART_MS } from './fatal_requests.ts'

/** Time before the restart of the server at which callers stop, in milliseconds: nobody asks the new run, so no response shows that it is up. */
const QUIET_BEFORE_RESTART_MS = 200

/** Time in which hosts start, and keys come to a server that has started or leave one that is draining, in milliseconds. */
const MOVE_MS = 2500

/** Time for which a server serves on without an entry, in milliseconds: longer than a grant. */
const SERVES_ON_MS = 4500

/** Name of the crash, as of a request that ends servers. */
const CRASH = 'replaced'

/**
 * Replaces servers one after the other, the second of which has crashed before. The grants that servers accept show whether two hold a key.
 *
 * @param environment The run, without other faults.
 * @param stopCallers Ends the traffic.
 */
export async function checkReplacedServer (environment: Environment, stopCallers: () => Promise<void>): Promise<void> {
  for (const host of environment.hosts) host.start()
  await pause(MOVE_MS)
  const keyed = environment.backends.filter((backend) => backend.keyed)
  const crashing = pickRandom(environment, keyed)
  endServer(environment, crashing, CRASH)
  await pause(RESTART_MS - QUIET_BEFORE_RESTART_MS)
  await stopCallers()
  await pause(QUIET_BEFORE_RESTART_MS + MOVE_MS)
  const first = keyed.find((backend) => backend !== crashing)
  if (first !== undefined) writeServerEntry(environment, first, { state: 'draining' })
  await pause(MOVE_MS)
  removeServerEntry(environment, crashing)
  await pause(SERVES_ON_MS)
}
