/** A request guard for tests of gateways and relays. */
import { createRequestGuard, type RequestGuard } from '../src/fatal_requests/mod.ts'
import { createConnectProbe } from '../src/reachability/mod.ts'

/** Creates the guard of a host that reaches all servers and is connected to no other host. */
export function createTestGuard (): RequestGuard {
  const now = (): number => performance.now()
  return createRequestGuard({ probe: createConnectProbe(200), verifyReachability: async () => await Promise.resolve(true), isLeaving: () => false, onEvidence: () => {}, now })
}
