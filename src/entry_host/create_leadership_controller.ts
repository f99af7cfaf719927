/**
 * Which host leads: follows the holder of the lease, reads the store where no
 * leader is heard, and takes the lead where nobody has it. The leader reads
 * for all.
 */
import type { RoutingState } from '../gateway/mod.ts'
import type { Leadership } from '../leadership/mod.ts'
import type { Logger } from '../logging/mod.ts'
import type { PeerServer, LeaderConnection } from '../replication/mod.ts'
import { pause } from './_listen.ts'
import { TaskTiming } from './_task_timing.ts'
import type { Coordinator } from './create_coordinator.ts'
import type { StatePublisher } from './create_state_publisher.ts'
import type { LeaderMonitor } from './leader_monitor.ts'
import type { StoreReader } from './store_reader.ts'

/** What a lead works with. */
export interface LeadershipControllerOptions {
  /** Identifier of this process, as it stands in the lease. */
  readonly holder: string
  /** Where this host talks to the others. */
  readonly address: string
  /** Whether this host leaves the lead to others for a while. */
  readonly isSmall: boolean
  readonly routingState: RoutingState
  readonly leadership: Leadership
  readonly coordinator: Coordinator
  readonly statePublisher: StatePublisher
  readonly peerServer: Pick<PeerServer, 'disconnect' | 'publish'>
  readonly leaderConnection: Pick<LeaderConnection, 'follow'>
  readonly reader: StoreReader
  readonly leaderMonitor: LeaderMonitor
  readonly logger: Logger
  readonly isLeaving: () => boolean
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** The lead of one host. */
export interface LeadershipController {
  /** Whether this host does the leader's work; it acts only while its lease lasts. */
  isLeading (): boolean
  /** Notes who answers at an address: another process, or `null` for none, shows that the holder of the lease has ended. */
  recordProcessAt (address: string, present: string | null): void
  /** Follows, reads and leads until `signal` aborts. */
  run (signal: AbortSignal): Promise<void>
  /** Gives the lead back, if this host has it. */
  release (): Promise<void>
}

/** How long a small host leaves the lead to others, in milliseconds: larger ones have claimed it by then. */
const SMALL_HOST_DELAY_MS = 1200

/** Growth of the pause after reads that failed. */
const PAUSE_GROWTH = 1.6

/**
 * Creates the lead of a host that follows nobody yet.
 *
 * @param options The parts that lead and follow.
 * @returns The lead.
 */
export function createLeadershipController (options: LeadershipControllerOptions): LeadershipController {
  const { holder, routingState: knowledge, leadership, coordinator: leader, statePublisher: teller, peerServer: hub, leaderConnection: link, reader, leaderMonitor: watch, logger, now } = options
  let leads = false
  let claimableSince: number | null = null

  function noteEnded (address: string, present: string | null): void {
    const lease = leadership.lease()
    if (lease === null || lease.address !== address || lease.holder === present) return
    logger.info({ holder: lease.holder, address, present }, 'leader-ended')
    leadership.recordEnded(lease.holder)
  }

  function stopLeading (): void {
    leads = false
    leader.stop()
    hub.disconnect()
  }

  async function tryToLead (): Promise<void> {
    if (options.isLeaving() || !leadership.mayClaim(watch.isRespondingAt(leadership.lease()?.address))) {
      claimableSince = null
      return
    }
    claimableSince ??= now()
    if (options.isSmall && now() - claimableSince < SMALL_HOST_DELAY_MS) return
    if (!await leadership.claim()) return
    link.follow(null)
    if (!await leader.takeOver()) {
      await leadership.release()
      return
    }
    leads = true
    claimableSince = null
    teller.reset()
    await reader.readPublished()
    leader.onServersChanged()
    teller.publishChanges()
    for (const update of leader.ownersUpdates()) hub.publish(update)
    await leader.plan()
  }

  /** Follows the holder of the lease; returns whether it is heard, which spares this host from reading for itself. */
  async function hearsLeader (): Promise<boolean> {
    noteEnded(options.address, holder)
    const lease = leadership.lease()
    if (lease === null || lease.holder === holder || lease.released || leadership.mayClaim()) return false
    const isNew = link.follow(lease.address)
    if (isNew) await pause(TaskTiming.firstMessageTimeoutMs)
    return watch.isFresh()
  }

  /** Claims a lease that is free, before anything else is read; returns whether there is a leader now. */
  async function settlesLead (): Promise<boolean> {
    await tryToLead()
    return leads || await hearsLeader()
  }

  /** One turn of a host that hears no leader; returns the pause before the next, given the last one. */
  async function readAlone (lastPauseMs: number): Promise<number> {
    if (await reader.readLease(false) && (await hearsLeader() || await settlesLead())) return 0
    // A host that has just started and leaves the lead to a larger one has nothing to read before there is a leader.
    if (claimableSince !== null && knowledge.configuration() === null) return TaskTiming.firstMessageTimeoutMs
    const read = await Promise.all([reader.readPublished(), reader.readLease(true)])
    return read.every(Boolean) ? TaskTiming.directReadIntervalMs : Math.min(TaskTiming.maximumReadBackoffMs, Math.max(TaskTiming.directReadIntervalMs, lastPauseMs) * PAUSE_GROWTH)
  }

  /** Time until the lease of a leader that has fallen silent may be tried for, in milliseconds; hosts spread their tries. */
  function untilClaimMs (): number {
    const claimableInMs = leadership.claimDelayMs()
    return claimableInMs > 0 ? claimableInMs + Math.random() * TaskTiming.claimJitterMs : Infinity
  }

  return {
    isLeading: () => leads,
    recordProcessAt: noteEnded,
    async run (signal) {
      let pauseMs = 0
      while (!signal.aborted) {
        if (leads) {
          await reader.readPublished()
          if (leadership.lease()?.holder !== holder) stopLeading()
          await pause(TaskTiming.leaderReadIntervalMs)
        } else if (watch.isFresh()) {
          pauseMs = 0
          await pause(TaskTiming.leaderCheckIntervalMs)
        } else {
          pauseMs = await readAlone(pauseMs)
          if (pauseMs > 0) await pause(Math.min(untilClaimMs(), pauseMs * (0.8 + Math.random() * 0.4)))
        }
      }
    },
    async release () {
      if (!leads) return
      stopLeading()
      await leadership.release(leader.remainingGrantDurationsMs())
    }
  }
}
