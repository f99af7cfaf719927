/**
 * What hosts tell one another: each reports its loads to the leading host,
 * which tells all hosts the sums, and what has changed in the configuration,
 * the list of servers and the hosts that pass requests on.
 */
import type { RoutingState, ServerLoads } from '../gateway/mod.ts'
import type { Leadership } from '../leadership/mod.ts'
import type { RelayDirectory } from '../relay/mod.ts'
import type { PeerServer, LeaderConnection, Report, Update } from '../replication/mod.ts'
import { TaskTiming } from './_task_timing.ts'
import type { Coordinator } from './create_coordinator.ts'
import type { LeaderMonitor } from './leader_monitor.ts'
import { createPublishedUpdates } from './published_updates.ts'
import type { RetryBudgets } from './retry_budgets.ts'
import type { StoreReader } from './store_reader.ts'

/** What a teller works with. */
export interface StatePublisherOptions {
  readonly host: string
  readonly zone: string
  readonly routingState: RoutingState
  readonly loads: ServerLoads
  readonly coordinator: Coordinator
  readonly leadership: Leadership
  readonly peerServer: Pick<PeerServer, 'hosts' | 'publish' | 'relays'>
  readonly leaderConnection: Pick<LeaderConnection, 'send'>
  readonly reader: Pick<StoreReader, 'ageMs'>
  readonly relays: RelayDirectory
  readonly budgets: RetryBudgets
  readonly leaderMonitor: LeaderMonitor
  readonly isLeading: () => boolean
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Teller of one host. */
export interface StatePublisher {
  /** Counts a request for a key. */
  countKeyRequest (service: string, key: number): void
  /** Reports or tells loads, if that is due. */
  sendLoads (): void
  /** As the leader, tells what has changed in configuration and servers since the last call. */
  publishChanges (): void
  /** Forgets what an earlier lead has told. */
  reset (): void
  /** Hosts that pass requests on, for a host that has just connected. */
  relaysUpdates (): Update[]
}

/** Every so many tellings of loads hold everything, for hosts that missed a change. */
const COMPLETE_BEATS = 10

/** Share of the pause between tellings after which one is due: timers fire late, never early. */
const DUE_SHARE = 0.95

/**
 * Creates a teller that has told nothing.
 *
 * @param options Beliefs and connections.
 * @returns The teller.
 */
export function createStatePublisher (options: StatePublisherOptions): StatePublisher {
  const { routingState: knowledge, loads, coordinator: leader, leadership, peerServer: hub, leaderMonitor: watch, now } = options
  const keyCounts = new Map<string, Map<number, number>>()
  let updates = createPublishedUpdates(knowledge)
  let toldAt = -Infinity
  let beats = 0
  let beganAt = -Infinity
  /** Hosts that were connected at the same time since this one leads, itself included. */
  let mostHosts = 1
  let toldRelays: string | null = null

  function takeReport (): Extract<Report, { readonly kind: 'report' }> {
    const keys = [...keyCounts].map(([service, counts]) => [service, [...counts]] as const)
    keyCounts.clear()
    return { kind: 'report', samples: [...loads.takeSamples()], keys }
  }

  /** Tells who passes requests on, when that has changed; a leader that has just begun waits for hosts to find it. */
  function tellRelays (): void {
    if (now() - beganAt < TaskTiming.relayDiscoveryMs) return
    const hosts = hub.relays().sort((left, right) => left.host < right.host ? -1 : 1)
    const text = hosts.map((known) => `${known.host} ${known.address}`).join()
    if (text === toldRelays) return
    toldRelays = text
    options.relays.setHosts(hosts)
    hub.publish({ kind: 'relays', hosts })
  }

  /** As the leader, sums up and tells all hosts. */
  function tellAll (): void {
    leader.adjustShares()
    mostHosts = Math.max(mostHosts, hub.hosts().length + 1)
    options.budgets.setHostCount(mostHosts)
    loads.applyViews(leader.views())
    const complete = ++beats % COMPLETE_BEATS === 0
    tellRelays()
    hub.publish({
      kind: 'beat',
      storeAgeMs: Math.round(options.reader.ageMs()),
      lease: { revision: leadership.leaseRevision(), value: leadership.lease() },
      leading: leadership.isLeading(),
      complete,
      intervalMs: watch.intervalMs(),
      hosts: mostHosts,
      views: leader.changedViews(complete)
    })
  }

  return {
    countKeyRequest (service, key) {
      const counts = keyCounts.get(service) ?? new Map<number, number>()
      keyCounts.set(service, counts)
      counts.set(key, (counts.get(key) ?? 0) + 1)
    },
    sendLoads () {
      // The more hosts there are, the less often each is told, so that the leader's work stays the same.
      if (options.isLeading()) watch.setIntervalMs(Math.min(TaskTiming.maximumLoadIntervalMs, Math.max(TaskTiming.loadIntervalMs, hub.hosts().length * TaskTiming.loadIntervalPerHostMs)))
      if (now() - toldAt < watch.intervalMs() * DUE_SHARE) return
      toldAt = now()
      const report = takeReport()
      if (options.isLeading()) {
        leader.onReport({ name: options.host, zone: options.zone }, report)
        tellAll()
      } else options.leaderConnection.send(report)
    },
    publishChanges () {
      for (const update of [updates.nextConfiguration(), updates.nextServers()]) if (update !== null) hub.publish(update)
    },
    reset () {
      updates = createPublishedUpdates(knowledge)
      beganAt = now()
      mostHosts = 1
      toldRelays = null
    },
    relaysUpdates: () => toldRelays === null ? [] : [{ kind: 'relays', hosts: hub.relays() }]
  }
}
