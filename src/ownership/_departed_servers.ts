/**
 * Servers that are no longer listed and may still hold keys. A server without an
 * entry may serve on for seconds, and what suggests that it has ended may be out
 * of date: hosts were refused connections by an earlier run, or its address
 * stands in an entry of another writer. Such a sign is only the reason to ask
 * the server; the outcome of that call decides.
 */
import type { RoutedServer } from '../routing/mod.ts'
import type { ControlOutcome } from './server_control.ts'

/** Options of {@link createDepartedServers}. */
export interface DepartedServersOptions {
  /** Whether hosts report that the present run of the server refuses connections. */
  readonly isRefusingConnections: (server: RoutedServer) => boolean
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Time between two checks of a server, in milliseconds. */
  readonly checkIntervalMs: number
}

/** Servers that have left the list. */
export interface DepartedServers {
  add (server: RoutedServer): void
  get (id: string): RoutedServer | undefined
  remove (id: string): void
  /** Records the identifier of the server that is listed at each address. */
  recordAddresses (addresses: ReadonlyMap<string, string>): void
  /** Servers that may have ended and that should be asked now. */
  dueForCheck (): RoutedServer[]
  /** Records that a server is being asked. */
  recordCheck (id: string): void
  /** Returns what shows that a server has ended, if the outcome of a call to it does; otherwise `null`. */
  causeOfEnd (server: RoutedServer, outcome: ControlOutcome): string | null
}

/**
 * Creates a record without servers.
 *
 * @param options Evidence of hosts, clock and interval.
 * @returns The record.
 */
export function createDepartedServers (options: DepartedServersOptions): DepartedServers {
  const { now } = options
  const departed = new Map<string, { readonly server: RoutedServer, isAddressReused: boolean, nextCheckAt: number }>()

  function signOfEnd (id: string): string | null {
    const entry = departed.get(id)
    if (entry === undefined) return null
    if (entry.isAddressReused) return 'another server is listed at the address'
    return options.isRefusingConnections(entry.server) ? 'the server is no longer listed and refuses connections' : null
  }

  return {
    add (server) { departed.set(server.id, { server, isAddressReused: false, nextCheckAt: 0 }) },
    get: (id) => departed.get(id)?.server,
    remove (id) { departed.delete(id) },
    recordAddresses (addresses) {
      for (const [id, entry] of departed) entry.isAddressReused = (addresses.get(entry.server.address) ?? id) !== id
    },
    dueForCheck: () => [...departed].filter(([id, entry]) => entry.nextCheckAt <= now() && signOfEnd(id) !== null).map(([, { server }]) => server),
    recordCheck (id) {
      const entry = departed.get(id)
      if (entry !== undefined) entry.nextCheckAt = now() + options.checkIntervalMs
    },
    causeOfEnd (server, outcome) {
      if (outcome.kind === 'replaced') return 'another server responds at the address'
      // A refusal alone may be due to the path from this host.
      return outcome.kind === 'refused' ? signOfEnd(server.id) : null
    }
  }
}
