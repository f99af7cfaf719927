/**
 * Sends state between hosts. Each host reports its loads to the leading host,
 * which publishes the totals to all hosts together with changes of the
 * configuration, the list of servers and the relays.
 */
import type { EvacuationControl } from '../evacuation/mod.ts'
import type { RequestLimits, RoutingState, ServerLoads, ServerSample } from '../gateway/mod.ts'
import type { Leadership } from '../leadership/mod.ts'
import type { RelayDirectory } from '../relay/mod.ts'
import type { PeerServer, LeaderConnection, Report, Update } from '../replication/mod.ts'
import type { ServerQueues } from '../server_queue/mod.ts'
import { TaskTiming } from './_task_timing.ts'
import type { EvidenceExchange } from './evidence_exchange.ts'
import type { Coordinator } from './create_coordinator.ts'
import type { LeaderMonitor } from './leader_monitor.ts'
import { createPublishedUpdates } from './published_updates.ts'
import { createRelayPublication } from './relay_publication.ts'
import type { HostCount } from './host_count.ts'
import type { RetryBudgets } from './retry_budgets.ts'
import type { StoreReader } from './store_reader.ts'
import type { ZoneShares } from './zone_shares.ts'

/** Options of {@link createStatePublisher}. */
export interface StatePublisherOptions {
  readonly host: string
  readonly zone: string
  readonly routingState: RoutingState
  readonly loads: ServerLoads
  readonly limits: Pick<RequestLimits, 'observations'>
  readonly coordinator: Coordinator
  readonly leadership: Leadership
  readonly peerServer: Pick<PeerServer, 'hosts' | 'publish' | 'relays'>
  readonly leaderConnection: Pick<LeaderConnection, 'send'>
  readonly reader: Pick<StoreReader, 'ageMs'>
  readonly relays: RelayDirectory
  readonly evidence: Pick<EvidenceExchange, 'publishAll'>
  readonly evacuations: Pick<EvacuationControl, 'updates' | 'changedUpdates' | 'reset'>
  readonly budgets: Pick<RetryBudgets, 'recordHosts'>
  readonly hostCount: Pick<HostCount, 'known'>
  readonly leaderMonitor: LeaderMonitor
  readonly zoneShares: Pick<ZoneShares, 'update'>
  readonly queues: Pick<ServerQueues, 'waitingByServer'>
  readonly isLeading: () => boolean
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** State publisher of one host. */
export interface StatePublisher {
  /** Counts a request for a key. */
  countKeyRequest (service: string, key: number): void
  /** Sends loads if the interval has passed: to the leader or, as the leader, to all hosts. */
  sendLoads (): void
  /** As the leader, publishes the changes of evacuations, configuration and servers since the last call. */
  publishChanges (): void
  /** Resets the record of published state and publishes what this host knows of fatal requests; called when it becomes leader. */
  reset (): void
  /** Evacuated zones, for a host that has just connected: the first of its updates, so that it sends nothing to their servers. */
  evacuationsUpdates (): readonly Update[]
  /** Published relays, for a host that has just connected. */
  relaysUpdates (): Update[]
}

/** Number of heartbeats after which one contains all server views, for hosts that missed a change. */
const HEARTBEATS_PER_COMPLETE_VIEW = 10

/** Share of the interval after which the next message is due: timers fire late, never early. */
const DUE_INTERVAL_SHARE = 0.95

/**
 * Creates a state publisher that has published nothing.
 *
 * @param options Routing state, loads and connections.
 * @returns The state publisher.
 */
export function createStatePublisher (options: StatePublisherOptions): StatePublisher {
  const { routingState, loads, limits, coordinator, leadership, peerServer, leaderMonitor, now } = options
  const keyCounts = new Map<string, Map<number, number>>()
  let updates = createPublishedUpdates(routingState)
  let sentAt = -Infinity
  let heartbeats = 0
  let relayPublication = createRelayPublication(-Infinity)
  let publishedRelays: Update | null = null

  function collectReport (): Extract<Report, { readonly kind: 'report' }> {
    const keys = [...keyCounts].map(([service, counts]) => [service, [...counts]] as const)
    keyCounts.clear()
    const observations = limits.observations()
    const samples = [...loads.takeSamples(options.queues.waitingByServer())].map(([server, sample]): readonly [string, ServerSample] => {
      const observation = observations.get(server)
      return [server, observation === undefined ? sample : { ...sample, limit: [observation.perSecond ?? 0, observation.ageMs] }]
    })
    return { kind: 'report', samples, keys }
  }

  function publishRelays (): void {
    const hosts = relayPublication.next(peerServer.relays(), now())
    if (hosts === null) return
    publishedRelays = { kind: 'relays', hosts }
    options.relays.setHosts(hosts)
    peerServer.publish(publishedRelays)
  }

  /** As the leader, publishes the totals of all hosts in a heartbeat. */
  function publishHeartbeat (): void {
    coordinator.adjustShares()
    options.budgets.recordHosts(peerServer.hosts().length + 1)
    loads.applyViews(coordinator.views())
    options.zoneShares.update()
    const complete = ++heartbeats % HEARTBEATS_PER_COMPLETE_VIEW === 0
    publishRelays()
    // A host that has read the store itself may know of evacuations that have ended without this host knowing of them.
    if (complete) for (const update of options.evacuations.updates()) peerServer.publish(update)
    peerServer.publish({
      kind: 'beat',
      storeAgeMs: Math.round(options.reader.ageMs()),
      lease: leadership.observedLease(),
      leading: leadership.isLeading(),
      complete,
      intervalMs: leaderMonitor.intervalMs(),
      hosts: options.hostCount.known(),
      views: coordinator.changedViews(complete)
    })
  }

  return {
    countKeyRequest (service, key) {
      const counts = keyCounts.get(service) ?? new Map<number, number>()
      keyCounts.set(service, counts)
      counts.set(key, (counts.get(key) ?? 0) + 1)
    },
    sendLoads () {
      // The interval grows with the number of hosts, so that the leader's work stays constant.
      if (options.isLeading()) leaderMonitor.setIntervalMs(Math.min(TaskTiming.maximumLoadIntervalMs, Math.max(TaskTiming.loadIntervalMs, peerServer.hosts().length * TaskTiming.loadIntervalPerHostMs)))
      if (now() - sentAt < leaderMonitor.intervalMs() * DUE_INTERVAL_SHARE) return
      sentAt = now()
      const report = collectReport()
      if (options.isLeading()) {
        coordinator.onReport({ name: options.host, zone: options.zone }, report)
        publishHeartbeat()
      } else options.leaderConnection.send(report)
    },
    publishChanges () {
      for (const update of options.evacuations.changedUpdates()) peerServer.publish(update)
      for (const update of [updates.nextConfiguration(), updates.nextServers()]) if (update !== null) peerServer.publish(update)
    },
    reset () {
      updates = createPublishedUpdates(routingState)
      options.evacuations.reset()
      relayPublication = createRelayPublication(now())
      publishedRelays = null
      options.evidence.publishAll()
    },
    evacuationsUpdates: options.evacuations.updates,
    relaysUpdates: () => publishedRelays === null ? [] : [publishedRelays]
  }
}
