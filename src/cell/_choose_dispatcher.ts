/** Choice of the hosts that dispatch for servers. */
import { hashText } from '../slices/mod.ts'
import type { CellServer } from './types.ts'

/** A server and the host that dispatches for it. */
export interface DispatchedServer {
  readonly spec: CellServer
  readonly dispatcher: string | null
}

/**
 * Chooses the host with the fewest servers. Servers of a service without keys
 * share one queue, so they share one dispatcher.
 */
export function chooseDispatcher (
  spec: CellServer,
  state: { readonly servers: Iterable<DispatchedServer>, readonly counts: ReadonlyMap<string, number> }
): string | undefined {
  if (!spec.keyed) {
    for (const other of state.servers) {
      if (other.spec.service === spec.service && other.dispatcher !== null) return other.dispatcher
    }
  }
  let best: string | undefined
  for (const [host, count] of state.counts) {
    const bestCount = best === undefined ? Infinity : state.counts.get(best) ?? 0
    const ranksFirst = hashText(`${host}/${spec.id}`) > hashText(`${best}/${spec.id}`)
    if (count < bestCount || (count === bestCount && ranksFirst)) best = host
  }
  return best
}

/** Returns the host with the most servers, where it has two or more above the host with the fewest. */
export function findOverloadedDispatcher (counts: ReadonlyMap<string, number>): string | undefined {
  const ordered = [...counts].sort((left, right) => left[1] - right[1])
  const first = ordered[0]
  const last = ordered[ordered.length - 1]
  return first !== undefined && last !== undefined && last[1] - first[1] >= 2 ? last[0] : undefined
}
