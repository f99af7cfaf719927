/** Records what control calls show about the paths of this host to servers. */
import type { ControlOutcome, ServerControl } from '../ownership/mod.ts'
import { PathResult, type ReachabilityMonitor } from '../reachability/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'

/** Expected duration of a grant, in milliseconds: a server responds without waiting for its work. */
const EXPECTED_MS = 20

/**
 * Wraps control calls so that their outcomes count as evidence on paths. A
 * release is left out: its response may have to wait for work to end.
 *
 * @param control The control calls.
 * @param reachability Monitor of this host's paths.
 * @returns The wrapped control calls.
 */
export function trackControl (control: ServerControl, reachability: Pick<ReachabilityMonitor, 'trackRequest'>): ServerControl {
  async function track (server: RoutedServer, call: Promise<ControlOutcome>): Promise<ControlOutcome> {
    const end = reachability.trackRequest(server.id, EXPECTED_MS)
    const outcome = await call
    end(outcome.kind === 'silent' ? PathResult.unanswered : outcome.kind === 'refused' ? PathResult.unreachable : PathResult.responded)
    return outcome
  }

  return {
    grant: (server, grant) => track(server, control.grant(server, grant)),
    release: control.release,
    probe: (server, span) => track(server, control.probe(server, span))
  }
}
