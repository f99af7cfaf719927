/**
 * What the leading host tells the others of configuration and servers.
 *
 * Hosts that are connected know the last version that was told, so they are
 * told what has changed: a list of servers or routes for each of them would
 * fill the leader's link for seconds in a large deployment.
 */
import { applyListChange, diffLists } from '../list_change/mod.ts'
import type { RoutingState } from '../gateway/mod.ts'
import type { Update } from '../replication/mod.ts'
import { applyConfigurationChange, diffConfigurations, type RoutedServer, type RoutingConfiguration } from '../routing/mod.ts'

/** Updates of the leading host. */
export interface PublishedUpdates {
  /** The newest configuration, for hosts that know what was told last; `null` where nothing is new. */
  nextConfiguration (): Update | null
  /** The list of servers, for hosts that know what was told last; `null` where nothing is new. */
  nextServers (): Update | null
}

function serverKey (server: RoutedServer): string {
  return server.id
}

/**
 * Creates the updates of a host.
 *
 * @param knowledge The host's beliefs.
 * @returns The updates; the first ones hold everything.
 */
export function createPublishedUpdates (knowledge: RoutingState): PublishedUpdates {
  let configuration: RoutingConfiguration | null = null
  let servers: { readonly digest: string, readonly list: readonly RoutedServer[] } | null = null

  return {
    nextConfiguration () {
      const before = configuration
      const after = knowledge.configuration()
      if (after === null || before?.version === after.version) return null
      configuration = after
      const change = before === null ? null : diffConfigurations(before, after)
      return change === null ? { kind: 'configuration', configuration: after } : { kind: 'configuration-change', change }
    },
    nextServers () {
      const before = servers
      const after = { digest: knowledge.serversDigest(), list: knowledge.servers() }
      if (before?.digest === after.digest) return null
      servers = after
      if (before === null) return { kind: 'servers', servers: after.list }
      return { kind: 'servers-change', from: before.digest, to: after.digest, change: diffLists({ before: before.list, after: after.list }, { keyOf: serverKey }) }
    }
  }
}

/** Updates that {@link applyPublishedUpdate} takes. */
export type PublishedUpdate = Extract<Update, { readonly kind: 'configuration' | 'configuration-change' | 'servers' | 'servers-change' }>

/**
 * Takes an update of the leading host in.
 *
 * @param update The update.
 * @param knowledge The host's beliefs.
 * @returns False where the update is for another version than this host has: it reads for itself.
 */
export function applyPublishedUpdate (update: PublishedUpdate, knowledge: RoutingState): boolean {
  if (update.kind === 'configuration') {
    knowledge.applyConfiguration(update.configuration)
    return true
  }
  if (update.kind === 'servers') {
    knowledge.setServers(update.servers)
    return true
  }
  if (update.kind === 'servers-change') {
    if (knowledge.serversDigest() === update.to) return true
    if (knowledge.serversDigest() !== update.from) return false
    knowledge.setServers(applyListChange(knowledge.servers(), { ...update.change, keyOf: serverKey }))
    return knowledge.serversDigest() === update.to
  }
  const known = knowledge.configuration()
  if (known !== null && known.version >= update.change.to) return true
  const next = known === null ? null : applyConfigurationChange(known, update.change)
  return next !== null && knowledge.applyConfiguration(next)
}
