/**
 * Decides whether this host follows or leads. It follows the holder of the
 * lease, reads the store itself while it receives nothing from a leader, and
 * claims a free lease. The leading host reads the store for all hosts.
 */
import type { RoutingState } from '../gateway/mod.ts'
import type { Leadership, ObservedLease } from '../leadership/mod.ts'
import type { Logger } from '../logging/mod.ts'
import type { PeerServer, LeaderConnection } from '../replication/mod.ts'
import type { RelayDirectory } from '../relay/mod.ts'
import { pause } from './_listen.ts'
import { TaskTiming } from './_task_timing.ts'
import { isStoreReader } from './is_store_reader.ts'
import type { Coordinator } from './create_coordinator.ts'
import type { StatePublisher } from './create_state_publisher.ts'
import type { LeaderMonitor } from './leader_monitor.ts'
import type { StoreReader } from './store_reader.ts'

/** Options of {@link createLeadershipController}. */
export interface LeadershipControllerOptions {
  /** Identifier of this process in the lease. */
  readonly holder: string
  /** Address at which this host accepts connections from other hosts. */
  readonly address: string
  /** Whether this host delays its claim, so that larger hosts claim the lease first. */
  readonly isSmall: boolean
  /** Whether the whole deployment starts for the first time: callers come later, so hosts wait for the leader to send what it reads instead of each reading the store. */
  readonly isFirstStart: boolean
  readonly routingState: RoutingState
  readonly leadership: Leadership
  readonly coordinator: Coordinator
  readonly statePublisher: StatePublisher
  readonly peerServer: Pick<PeerServer, 'disconnect' | 'publish' | 'relays'>
  readonly leaderConnection: Pick<LeaderConnection, 'follow' | 'send'>
  /** Name and availability zone of this host. */
  readonly host: string
  readonly zone: string
  readonly relays: Pick<RelayDirectory, 'hostsIn'>
  readonly reader: StoreReader
  readonly leaderMonitor: LeaderMonitor
  readonly logger: Logger
  readonly isLeaving: () => boolean
  /** Whether this host reaches no server; it then leads only if no other host claims the lease. */
  readonly isIsolated: () => boolean
  /** Finds out whether this host reaches servers. */
  readonly verifyReachability: () => Promise<boolean>
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Leadership controller of one host. */
export interface LeadershipController {
  /** Whether this host has the leader's role; it acts as leader only while its lease is valid. */
  isLeading (): boolean
  /** Records which process responds at an address: a different process, or `null` for none, shows that the holder of the lease has ended. */
  recordProcessAt (address: string, presentHolder: string | null): void
  /** As the leader, resigns if this host still cannot reach the store: another host has just read it. */
  onStoreReachable (): Promise<void>
  /** As the last leader, passes the lease of the next one on to the hosts that are still connected. */
  onLeaseClaimed (lease: ObservedLease): void
  /** Records that the leader has resigned; this host claims the lease if it is one of the readers of its zone. */
  onResigned (formerHolder: string): void
  /** Follows the next leader, which the last one has announced. */
  onSuccessor (lease: ObservedLease): void
  /** Runs the loop of following, reading and leading until `signal` aborts. */
  run (signal: AbortSignal): Promise<void>
  /** Gives up leadership and releases the lease, if this host leads. */
  release (): Promise<void>
  /** Gives up leadership if this host reaches no server and another host does: only the leader sends grants. */
  releaseIfIsolated (): Promise<void>
}

/** Delay before a small host claims the lease, in milliseconds: larger hosts have claimed it by then. */
const SMALL_HOST_CLAIM_DELAY_MS = 1200

/** Delay before a host that reaches no server claims the lease, in milliseconds: hosts that reach servers, small ones included, have claimed it by then. */
const ISOLATED_HOST_CLAIM_DELAY_MS = 1800

/** Factor by which the pause grows after each failed read. */
const BACKOFF_FACTOR = 1.6

/**
 * Creates a controller that does not follow a leader yet.
 *
 * @param options Identity of this host and the components that the controller drives.
 * @returns The controller.
 */
export function createLeadershipController (options: LeadershipControllerOptions): LeadershipController {
  const { holder, routingState, leadership, coordinator, statePublisher, peerServer, leaderConnection, reader, leaderMonitor, logger, now } = options
  let leading = false
  let claimableSince: number | null = null
  let checksStore = false

  function recordProcessAt (address: string, presentHolder: string | null): void {
    const lease = leadership.lease()
    if (lease === null || lease.address !== address || lease.holder === presentHolder) return
    logger.info({ holder: lease.holder, address, present: presentHolder }, 'leader-ended')
    leadership.recordEnded(lease.holder)
  }

  function stopLeading (): void {
    leading = false
    coordinator.stop()
    peerServer.disconnect()
  }

  /** Stops leading, but keeps the connections of the other hosts, over which they are notified of the next leader. */
  function handOver (): void {
    leading = false
    coordinator.stop()
  }

  function followSuccessor (): void {
    const successor = leadership.isLeaseRestored() ? null : leadership.lease()
    if (!leading && successor !== null && successor.holder !== holder && !successor.released) leaderConnection.follow(successor.address)
  }

  /** Time for which this host lets others claim a free lease first, in milliseconds. */
  function claimPrecedenceMs (): number {
    if (options.isIsolated()) return ISOLATED_HOST_CLAIM_DELAY_MS
    return options.isSmall ? SMALL_HOST_CLAIM_DELAY_MS : 0
  }

  async function release (): Promise<void> {
    if (!leading) return
    handOver()
    await leadership.release(coordinator.remainingGrantDurationsMs())
    peerServer.publish({ kind: 'resigned', holder })
  }

  async function tryToClaim (): Promise<void> {
    // A restored lease may name an earlier holder than the one whose heartbeats arrive.
    const isHolderResponding = leadership.isLeaseRestored() ? leaderMonitor.isReceiving() : leaderMonitor.isRespondingAt(leadership.lease()?.address)
    if (options.isLeaving() || !leadership.mayClaim(isHolderResponding)) {
      claimableSince = null
      return
    }
    claimableSince ??= now()
    if (now() - claimableSince < claimPrecedenceMs()) return
    // A host with little traffic may not have noticed yet that it is isolated, like the leader that has resigned.
    if (!options.isIsolated() && !await options.verifyReachability()) return
    if (!await leadership.claim()) return
    // The last leader may have resigned; it then still has connections to all hosts.
    const lease = leadership.observedLease()
    if (lease !== null) leaderConnection.send({ kind: 'claimed', lease })
    leaderConnection.follow(null)
    if (!await coordinator.takeOver()) {
      await leadership.release()
      return
    }
    leading = true
    claimableSince = null
    statePublisher.reset()
    await reader.readPublished()
    // This host may know of servers that are leaving from their responses alone.
    if (routingState.adoptLeaving()) reader.recordServers()
    coordinator.onServersChanged()
    statePublisher.publishChanges()
    for (const update of coordinator.ownersUpdates()) peerServer.publish(update)
    await coordinator.plan()
  }

  /** Waits until a recent heartbeat has arrived, for at most `timeoutMs`. */
  async function waitForHeartbeat (timeoutMs: number): Promise<void> {
    const until = now() + timeoutMs
    while (!leaderMonitor.isFresh() && !leadership.mayClaim() && !options.isLeaving() && now() < until) await pause(TaskTiming.heartbeatCheckIntervalMs)
  }

  /** Follows the holder of the lease; returns whether its heartbeats are recent, so that this host does not have to read the store itself. */
  async function followLeader (): Promise<boolean> {
    recordProcessAt(options.address, holder)
    // A restored lease may name a holder that no longer leads: the connection to the last leader is kept until one writes the lease.
    if (leadership.isLeaseRestored()) return leaderMonitor.isFresh()
    const lease = leadership.lease()
    if (lease === null || lease.holder === holder || lease.released || leadership.mayClaim()) return false
    const isNewConnection = leaderConnection.follow(lease.address)
    if (isNewConnection) await waitForHeartbeat(options.isFirstStart && routingState.configuration() === null ? TaskTiming.firstStartTimeoutMs : TaskTiming.firstMessageTimeoutMs)
    return leaderMonitor.isFresh()
  }

  /** Claims a free lease before anything else is read; returns whether there is a leader now. */
  async function claimOrFollow (): Promise<boolean> {
    await tryToClaim()
    return leading || await followLeader()
  }

  /** Whether this host may leave reading the store to others: the leader responds, though its data is out of date. */
  function leavesReadingToOthers (): boolean {
    const holder = leadership.lease()?.holder
    if (holder === undefined || !leaderMonitor.isReceiving() || leaderMonitor.staleMs() > TaskTiming.readerPrecedenceMs) return false
    if (options.isIsolated()) return true
    return !isStoreReader(options.host, { candidates: options.relays.hostsIn(options.zone).map((relay) => relay.host), subject: holder })
  }

  /** Runs one iteration without a leader; returns the pause before the next one in milliseconds, computed from the last pause. */
  async function readWithoutLeader (lastPauseMs: number): Promise<number> {
    if (await reader.readLease(false) && (await followLeader() || await claimOrFollow())) return 0
    // A newly started host that waits for a larger one to claim has nothing to read before there is a leader.
    if (claimableSince !== null && routingState.configuration() === null) return TaskTiming.firstMessageTimeoutMs
    // A leader that responds still sends changes of owners.
    const read = await Promise.all([reader.readPublished(), reader.readLease(!leaderMonitor.isReceiving())])
    if (read.every(Boolean) && leaderMonitor.isReceiving()) leaderConnection.send({ kind: 'store-reachable' })
    return read.every(Boolean) ? TaskTiming.directReadIntervalMs : Math.min(TaskTiming.maximumReadBackoffMs, Math.max(TaskTiming.directReadIntervalMs, lastPauseMs) * BACKOFF_FACTOR)
  }

  /** Returns the time until the lease of an unresponsive leader may be claimed, in milliseconds, with jitter so that hosts do not claim at once. */
  function delayUntilClaimMs (): number {
    const claimDelayMs = leadership.claimDelayMs()
    return claimDelayMs > 0 ? claimDelayMs + Math.random() * TaskTiming.claimJitterMs : Infinity
  }

  return {
    isLeading: () => leading,
    recordProcessAt,
    async onStoreReachable () {
      if (!leading || checksStore || reader.ageMs() < TaskTiming.resignAfterMs) return
      checksStore = true
      const reachesStore = await leadership.renewNow()
      checksStore = false
      // A write may go unanswered although this host reaches the store: it may have read it meanwhile.
      if (reachesStore || !leading || reader.ageMs() < TaskTiming.resignAfterMs) return
      handOver()
      leadership.resign()
      logger.warn({ storeAgeMs: Math.round(reader.ageMs()) }, 'resigned')
      peerServer.publish({ kind: 'resigned', holder })
    },
    onLeaseClaimed (lease) {
      leadership.observeLease(lease)
      if (leadership.isHolder()) return
      if (leading) handOver()
      peerServer.publish({ kind: 'successor', lease })
      followSuccessor()
    },
    onResigned (formerHolder) {
      leadership.recordEnded(formerHolder)
      leaderMonitor.recordResigned()
    },
    onSuccessor (lease) {
      leadership.observeLease(lease)
      followSuccessor()
    },
    async run (signal) {
      let pauseMs = 0
      if (options.isFirstStart && options.isSmall) await pause(TaskTiming.firstStartDelayMs)
      while (!signal.aborted) {
        if (leading) {
          await reader.readPublished()
          if (!leadership.isHolder()) stopLeading()
          await pause(TaskTiming.leaderReadIntervalMs)
        } else if (leaderMonitor.isFresh() || leavesReadingToOthers()) {
          pauseMs = 0
          await pause(TaskTiming.leaderCheckIntervalMs)
        } else {
          pauseMs = await readWithoutLeader(pauseMs)
          if (pauseMs > 0) await pause(Math.min(delayUntilClaimMs(), pauseMs * (0.8 + Math.random() * 0.4)))
        }
      }
    },
    release,
    async releaseIfIsolated () {
      if (!leading || !options.isIsolated() || leadership.isStoreUnavailable() || peerServer.relays().length === 0) return
      logger.warn({ reachable: peerServer.relays().length }, 'leader-isolated')
      await release()
    }
  }
}
