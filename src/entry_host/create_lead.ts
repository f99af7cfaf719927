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
import type { Leader } from './create_leader.ts'
import type { Teller } from './create_teller.ts'
import type { LeaderWatch } from './leader_watch.ts'
import type { StoreReader } from './store_reader.ts'

/** What a lead works with. */
export interface LeadOptions {
  /** Identifier of this process, as it stands in the lease. */
  readonly holder: string
  /** Where this host talks to the others. */
  readonly address: string
  /** Whether this host leaves the lead to others for a while. */
  readonly isSmall: boolean
  readonly knowledge: RoutingState
  readonly leadership: Leadership
  readonly leader: Leader
  readonly teller: Teller
  readonly hub: Pick<PeerServer, 'disconnect' | 'publish'>
  readonly link: Pick<LeaderConnection, 'follow'>
  readonly reader: StoreReader
  readonly watch: LeaderWatch
  readonly logger: Logger
  readonly isLeaving: () => boolean
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** The lead of one host. */
export interface Lead {
  /** Whether this host does the leader's work; it acts only while its lease lasts. */
  isLeading (): boolean
  /** Notes who answers at an address: another process, or `null` for none, shows that the holder of the lease has ended. */
  noteEnded (address: string, present: string | null): void
  /** Follows, reads and leads until `signal` aborts. */
  run (signal: AbortSignal): Promise<void>
  /** Gives the lead back, if this host has it. */
  giveBack (): Promise<void>
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
export function createLead (options: LeadOptions): Lead {
  const { holder, knowledge, leadership, leader, teller, hub, link, reader, watch, logger, now } = options
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
    if (options.isLeaving() || !leadership.mayClaim(watch.isHeardAt(leadership.lease()?.address))) {
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
    teller.begin()
    await reader.readPublished()
    leader.onServers()
    teller.tellNews()
    for (const update of leader.ownersUpdates()) hub.publish(update)
    await leader.plan()
  }

  /** Follows the holder of the lease; returns whether it is heard, which spares this host from reading for itself. */
  async function hearsLeader (): Promise<boolean> {
    noteEnded(options.address, holder)
    const lease = leadership.lease()
    if (lease === null || lease.holder === holder || lease.released || leadership.mayClaim()) return false
    const isNew = link.follow(lease.address)
    if (isNew) await pause(TaskTiming.firstWordMs)
    return watch.isFresh()
  }

  /** Claims a lease that is free, before anything else is read; returns whether there is a leader now. */
  async function settlesLead (): Promise<boolean> {
    await tryToLead()
    return leads || await hearsLeader()
  }

  /** One turn of a host that hears no leader; returns the pause before the next, given the last one. */
  async function readAlone (lastPauseMs: number): Promise<number> {
    if (await reader.readOwn(false) && (await hearsLeader() || await settlesLead())) return 0
    // A host that has just started and leaves the lead to a larger one has nothing to read before there is a leader.
    if (claimableSince !== null && knowledge.configuration() === null) return TaskTiming.firstWordMs
    const read = await Promise.all([reader.readPublished(), reader.readOwn(true)])
    return read.every(Boolean) ? TaskTiming.ownReadMs : Math.min(TaskTiming.longestPauseMs, Math.max(TaskTiming.ownReadMs, lastPauseMs) * PAUSE_GROWTH)
  }

  /** Time until the lease of a leader that has fallen silent may be tried for, in milliseconds; hosts spread their tries. */
  function untilClaimMs (): number {
    const claimableInMs = leadership.claimDelayMs()
    return claimableInMs > 0 ? claimableInMs + Math.random() * TaskTiming.claimSpreadMs : Infinity
  }

  return {
    isLeading: () => leads,
    noteEnded,
    async run (signal) {
      let pauseMs = 0
      while (!signal.aborted) {
        if (leads) {
          await reader.readPublished()
          if (leadership.lease()?.holder !== holder) stopLeading()
          await pause(TaskTiming.readMs)
        } else if (watch.isFresh()) {
          pauseMs = 0
          await pause(TaskTiming.lookMs)
        } else {
          pauseMs = await readAlone(pauseMs)
          if (pauseMs > 0) await pause(Math.min(untilClaimMs(), pauseMs * (0.8 + Math.random() * 0.4)))
        }
      }
    },
    async giveBack () {
      if (!leads) return
      stopLeading()
      await leadership.release(leader.holdsMs())
    }
  }
}
