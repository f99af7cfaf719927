/**
 * Updates that bring a newly connected host up to date.
 *
 * After a change of leader, hundreds of hosts connect within a second. They get
 * the same updates, as the same objects, so that each is encoded only once.
 */
import type { RoutingState } from '../gateway/mod.ts'
import type { ConnectedHost, Update } from '../replication/mod.ts'

/** Options of {@link InitialUpdates.forHost}. */
export interface InitialUpdatesOptions {
  /** Returns the owners of all keys as updates. */
  readonly ownersUpdates: () => Update[]
  /** Monotonic time, in milliseconds. */
  readonly now: number
}

/** Source of the updates for newly connected hosts. */
export interface InitialUpdates {
  /** Returns the updates that a host lacks; those that were returned before are the same objects while nothing has changed. */
  forHost (host: Pick<ConnectedHost, 'version' | 'servers'>, options: InitialUpdatesOptions): Update[]
  /** Discards the owners; called at each change of an owner, since a host that connects later does not receive that change. */
  invalidateOwners (): void
}

/** Maximum age of owners, in milliseconds: the remaining time of unserved keys is relative. */
const MAXIMUM_OWNERS_AGE_MS = 100

/**
 * Creates the source of a host's initial updates.
 *
 * @param routingState Configuration and servers to send.
 * @returns The source.
 */
export function createInitialUpdates (routingState: Pick<RoutingState, 'configuration' | 'servers' | 'serversDigest'>): InitialUpdates {
  let configuration: Extract<Update, { readonly kind: 'configuration' }> | null = null
  let servers: Extract<Update, { readonly kind: 'servers' }> | null = null
  let owners: { readonly at: number, readonly updates: Update[] } | null = null

  function configurationUpdate (version: number): Update[] {
    const current = routingState.configuration()
    if (current === null || current.version <= version) return []
    if (configuration?.configuration !== current) configuration = { kind: 'configuration', configuration: current }
    return [configuration]
  }

  function serversUpdate (digest: string): Update[] {
    if (routingState.serversDigest() === digest) return []
    // A list with the same digest may be older, and say of servers that they are cold which have long been warm.
    const current = routingState.servers()
    if (servers?.servers !== current) servers = { kind: 'servers', servers: current }
    return [servers]
  }

  return {
    forHost (host, options) {
      if (owners === null || options.now - owners.at > MAXIMUM_OWNERS_AGE_MS) owners = { at: options.now, updates: options.ownersUpdates() }
      return [...configurationUpdate(host.version), ...serversUpdate(host.servers), ...owners.updates]
    },
    invalidateOwners () { owners = null }
  }
}
