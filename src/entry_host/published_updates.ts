/**
 * Updates of configuration and servers that the leading host publishes.
 *
 * Connected hosts have the version that was published last, so only changes
 * are sent: sending every host the full list of servers or routes would
 * saturate the leader's network link for seconds in a large deployment.
 */
import { applyListChange, diffLists } from '../list_change/mod.ts'
import type { RoutingState } from '../gateway/mod.ts'
import type { Update } from '../replication/mod.ts'
import { applyConfigurationChange, diffConfigurations, type RoutedServer, type RoutingConfiguration } from '../routing/mod.ts'

/** Source of the leading host's updates. */
export interface PublishedUpdates {
  /** Returns the change from the last published configuration to the newest; `null` if there is none. */
  nextConfiguration (): Update | null
  /** Returns the change from the last published list of servers to the current one; `null` if there is none. */
  nextServers (): Update | null
}

function serverKey (server: RoutedServer): string {
  return server.id
}

/**
 * Creates the source of a host's updates.
 *
 * @param routingState The host's routing state.
 * @returns The source; its first updates contain the whole configuration and list of servers.
 */
export function createPublishedUpdates (routingState: RoutingState): PublishedUpdates {
  let configuration: RoutingConfiguration | null = null
  let servers: { readonly digest: string, readonly list: readonly RoutedServer[] } | null = null

  return {
    nextConfiguration () {
      const before = configuration
      const after = routingState.configuration()
      if (after === null || before?.version === after.version) return null
      configuration = after
      const change = before === null ? null : diffConfigurations(before, after)
      return change === null ? { kind: 'configuration', configuration: after } : { kind: 'configuration-change', change }
    },
    nextServers () {
      const before = servers
      const after = { digest: routingState.serversDigest(), list: routingState.servers() }
      if (before?.digest === after.digest) return null
      servers = after
      if (before === null) return { kind: 'servers', servers: after.list }
      return { kind: 'servers-change', from: before.digest, to: after.digest, change: diffLists({ before: before.list, after: after.list }, { keyOf: serverKey }) }
    }
  }
}

/** Updates that {@link applyPublishedUpdate} accepts. */
export type PublishedUpdate = Extract<Update, { readonly kind: 'configuration' | 'configuration-change' | 'servers' | 'servers-change' }>

/**
 * Applies an update of the leading host.
 *
 * @param update The update.
 * @param routingState The host's routing state.
 * @returns False if the update applies to a version that this host does not have, so that it has to read the store.
 */
export function applyPublishedUpdate (update: PublishedUpdate, routingState: RoutingState): boolean {
  if (update.kind === 'configuration') {
    routingState.applyConfiguration(update.configuration)
    return true
  }
  if (update.kind === 'servers') {
    routingState.setServers(update.servers)
    return true
  }
  if (update.kind === 'servers-change') {
    if (routingState.serversDigest() === update.to) return true
    if (routingState.serversDigest() !== update.from) return false
    routingState.setServers(applyListChange(routingState.servers(), { ...update.change, keyOf: serverKey }))
    return routingState.serversDigest() === update.to
  }
  const cached = routingState.configuration()
  if (cached !== null && cached.version >= update.change.to) return true
  const next = cached === null ? null : applyConfigurationChange(cached, update.change)
  return next !== null && routingState.applyConfiguration(next)
}
