/** Applies the messages of the leading host on a host that follows it. */
import type { RoutingState, ServerLoads } from '../gateway/mod.ts'
import type { EvacuationControl } from '../evacuation/mod.ts'
import type { Leadership } from '../leadership/mod.ts'
import type { Logger } from '../logging/mod.ts'
import type { RelayDirectory } from '../relay/mod.ts'
import type { Update } from '../replication/mod.ts'
import type { WarmUpTracker } from '../warm_up/mod.ts'
import type { LeadershipController } from './create_leadership_controller.ts'
import { decodeOwner, decodeViews } from './encode_updates.ts'
import type { EvidenceExchange } from './evidence_exchange.ts'
import type { LeaderMonitor } from './leader_monitor.ts'
import { applyPublishedUpdate, type PublishedUpdate } from './published_updates.ts'
import type { RetryBudgets } from './retry_budgets.ts'
import type { StoreReader } from './store_reader.ts'
import type { ZoneShares } from './zone_shares.ts'

/** Options of {@link createUpdateHandler}. */
export interface UpdateHandlerOptions {
  readonly leadershipController: () => Pick<LeadershipController, 'isLeading' | 'recordProcessAt' | 'onResigned' | 'onSuccessor'>
  readonly relays: Pick<RelayDirectory, 'setHosts'>
  readonly routingState: RoutingState
  readonly leadership: Pick<Leadership, 'observeLease'>
  readonly leaderMonitor: Pick<LeaderMonitor, 'recordHeartbeat'>
  readonly budgets: Pick<RetryBudgets, 'recordHosts'>
  readonly loads: Pick<ServerLoads, 'applyViews'>
  readonly zoneShares: Pick<ZoneShares, 'update'>
  readonly reader: () => Pick<StoreReader, 'readPublished' | 'recordServers'>
  readonly evidence: Pick<EvidenceExchange, 'receive' | 'sendAll'>
  readonly warmUp: Pick<WarmUpTracker, 'recordNotices'>
  readonly evacuations: Pick<EvacuationControl, 'onMessage'>
  readonly logger: Logger
  readonly onConfigurationChanged: () => void
  readonly onServersChanged: () => void
  /** Called with the failure of a task that the handler has started. */
  readonly onFailure: (error: unknown) => void
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

const PUBLISHED_KINDS: ReadonlySet<string> = new Set<PublishedUpdate['kind']>(['configuration', 'configuration-change', 'servers', 'servers-change'])

function isPublished (update: Update): update is PublishedUpdate {
  return PUBLISHED_KINDS.has(update.kind)
}

/**
 * Creates the handler of one host.
 *
 * @param options State that the messages change.
 * @returns A function that applies a message from an address.
 */
export function createUpdateHandler (options: UpdateHandlerOptions): (update: Update, address: string) => void {
  const { routingState, logger, now } = options

  function applyPublished (update: PublishedUpdate): void {
    const version = routingState.configuration()?.version
    if (!applyPublishedUpdate(update, routingState)) {
      logger.info({ update: update.kind, version, servers: routingState.serversDigest() }, 'update-missed')
      options.reader().readPublished().catch(options.onFailure)
    }
    if (update.kind === 'servers' || update.kind === 'servers-change') {
      options.reader().recordServers()
      options.onServersChanged()
    }
    if (routingState.configuration()?.version === version) return
    logger.info({ version: routingState.configuration()?.version, source: 'leader' }, 'configuration-in-force')
    options.onConfigurationChanged()
  }

  return (update, address) => {
    const controller = options.leadershipController()
    if (controller.isLeading()) return
    if (update.kind === 'identity') {
      controller.recordProcessAt(address, update.holder)
      options.evidence.sendAll()
    } else if (update.kind === 'resigned') controller.onResigned(update.holder)
    else if (update.kind === 'successor') controller.onSuccessor(update.lease)
    else if (update.kind === 'relays') options.relays.setHosts(update.hosts)
    else if (update.kind === 'fatal-requests') options.evidence.receive(update)
    else if (update.kind === 'cold-servers') options.warmUp.recordNotices(update.servers)
    else if (update.kind === 'evacuations') options.evacuations.onMessage(update)
    else if (update.kind === 'owners') {
      routingState.setOwners(update.service, update.changes.map(([from, to, owner]) => ({ from, to, owner: decodeOwner(owner, now()) })))
    } else if (update.kind === 'beat') {
      if (update.lease !== null) options.leadership.observeLease(update.lease)
      options.leaderMonitor.recordHeartbeat(update, address)
      options.budgets.recordHosts(update.hosts, address)
      options.loads.applyViews(decodeViews(update.views), update.complete)
      options.zoneShares.update()
    } else if (isPublished(update)) applyPublished(update)
    // Later builds may send kinds that this one does not know.
    else logger.debug({ kind: (update as { readonly kind?: unknown }).kind }, 'update-unknown')
  }
}
