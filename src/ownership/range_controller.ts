/**
 * Gives the ranges of one service's keys to its servers and keeps them granted.
 *
 * Only the leading host runs a steward. A range has one planned owner and a set
 * of servers that may hold it. A grant to the owner is sent only when no other
 * server may hold the range: each has acknowledged a release, is known to have
 * ended, or its last possible grant has run out. A plan is stored before it is
 * acted on, so that a successor knows every server that may hold a range.
 */
import type { Logger } from '../logging/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import type { PreviousGrants } from '../leadership/mod.ts'
import type { KeyOwner, OwnerChange } from './owner_map.ts'
import type { PlannedRange } from './plan_ranges.ts'
import { findRange, restoreRange, type Holder, type Range } from './_range_state.ts'
import { createServerCalls } from './_server_calls.ts'
import { createUnresponsiveServers } from './_unresponsive_servers.ts'
import type { RecordedRange } from './plan_record.ts'
import type { ControlOutcome, ServerControl } from './server_control.ts'

/** Times of grants, in milliseconds. */
export const GrantTiming = {
  /** Hold of a grant: it outlasts the change to another leader; longer, the keys of a server that falls silent would wait. */
  grantDurationMs: 3500,
  /** Time between renewals: three fit into a hold, so that one may be lost. */
  renewIntervalMs: 900,
  /** Pause before a call that failed is made again. */
  retryDelayMs: 250
} as const

/** How much longer a server's clock may make a hold last: it may run 2 % slow. */
const CLOCK_DRIFT = 1.02

/** Hold of a grant that only makes its token known, in milliseconds: the release follows at once. */
const FENCE_HOLD_MS = 100

/** Allowance for a grant that is on its way when its sender gives up waiting, in milliseconds. */
const DELIVERY_MARGIN_MS = 300

/** Time for hosts to learn that a range moves before its owner is told to let go, in milliseconds: some trips within a region. */
const ANNOUNCE_MS = 8

/** What a steward works with. */
export interface RangeControllerOptions {
  readonly service: string
  readonly control: ServerControl
  readonly logger: Logger
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Whether this host leads; asked immediately before each grant. */
  readonly mayGrant: () => boolean
  /** Whether the store does not answer, so that grants should outlast this host's lease. */
  readonly isStoreUnavailable: () => boolean
  /** Longest hold that servers accept, in milliseconds. */
  readonly maximumGrantDurationMs: number
  /** What is known of the grants of earlier leaders. */
  readonly previousGrants: PreviousGrants
  /** A fencing token above all that were used before. */
  readonly nextToken: () => number
  /** Tells hosts who owns what. */
  readonly publish: (changes: readonly OwnerChange[]) => void
  /** Whether any host has lately had an answer of the server. */
  readonly isResponding: (server: string) => boolean
  /** Whether hosts, one in the server's own zone among them, are refused connections to the server. */
  readonly isRefusingConnections: (server: RoutedServer) => boolean
}

/** A range as it stands, for dumps and planning. */
export interface RangeState extends PlannedRange {
  readonly granted: boolean
  readonly holders: readonly string[]
}

/** Steward of one service. */
export interface RangeController {
  ranges (): readonly RangeState[]
  /** Whether a range may be given another owner now. */
  isFixed (range: PlannedRange): boolean
  /** What to store before {@link RangeController.applyPlan} may be called with the same ranges. */
  beginPlan (planned: readonly PlannedRange[]): RecordedRange[]
  /** Acts on a plan that has been stored. */
  applyPlan (planned: readonly PlannedRange[]): void
  /** Gives up a recorded plan that could not be stored. */
  abandonPlan (): void
  /** Takes the current list of the service's servers, those that are leaving included, and who listens at each address. */
  setServers (servers: readonly RoutedServer[], addresses: ReadonlyMap<string, string>): void
  /** Servers whose calls have gone unanswered for too long to plan with them. */
  unresponsiveServers (): ReadonlySet<string>
  /** Starts every call that is due. */
  tick (): void
  /** How long each server may hold keys from now on, in milliseconds. */
  remainingGrantsMs (): Map<string, number>
  /** All owners, for a host that has just connected. */
  snapshot (): OwnerChange[]
}

/**
 * Creates a steward for the ranges of a stored plan.
 *
 * @param recorded The plan as it was stored, by this host or an earlier leader.
 * @param options Ports and the host's lease.
 * @returns The steward; it sends nothing before its first tick.
 */
export function createRangeController (recorded: readonly RecordedRange[], options: RangeControllerOptions): RangeController {
  const { control, logger, now, service } = options
  const servers = new Map<string, RoutedServer>()
  const departed = new Map<string, RoutedServer>()
  const silent = createUnresponsiveServers({ service, logger, now, probeIntervalMs: GrantTiming.retryDelayMs })
  const calls = createServerCalls(silent.has)
  let ranges: Range[] = recorded.map((range) => restoreRange(range, earlierHoldUntil))

  /** Until when a server may hold keys that an earlier leader granted it. */
  function earlierHoldUntil (id: string): number {
    const earlier = options.previousGrants
    if (earlier.kind === 'unknown') return earlier.lastPossibleGrantAt + options.maximumGrantDurationMs * CLOCK_DRIFT + DELIVERY_MARGIN_MS
    return earlier.asOf + (earlier.remainingMs[id] ?? 0)
  }

  function ownerOf (range: Range): KeyOwner {
    if (range.owner !== null && range.holders.has(range.owner) && (range.granted || range.holders.size === 1)) return { kind: 'owned', server: range.owner }
    const foreign = [...range.holders].filter(([id]) => id !== range.owner)
    // A server that this host alone cannot reach goes on serving until its hold ends.
    const reachable = foreign.find(([id]) => silent.has(id) && options.isResponding(id))
    if (reachable !== undefined) return { kind: 'owned', server: reachable[0] }
    const lapse = Math.max(0, ...foreign.filter(([id]) => silent.has(id) || !servers.has(id)).map(([, holder]) => holder.expiresAt))
    if (Number.isFinite(lapse) && lapse > now() + GrantTiming.retryDelayMs * 2) return { kind: 'unserved', until: lapse }
    return { kind: 'moving' }
  }

  function announce (changed: readonly Range[]): void {
    const changes: OwnerChange[] = []
    for (const range of changed) {
      const owner = ownerOf(range)
      const text = owner.kind === 'owned' ? owner.server : owner.kind
      if (text === range.publishedOwner) continue
      range.publishedOwner = text
      changes.push({ from: range.from, to: range.to, owner })
    }
    if (changes.length > 0) options.publish(changes)
  }

  function holdMs (): number {
    return options.isStoreUnavailable() ? options.maximumGrantDurationMs : GrantTiming.grantDurationMs
  }

  function serverOf (id: string): RoutedServer | undefined {
    return servers.get(id) ?? departed.get(id)
  }

  function dropHolder (range: Range, id: string, cause: string): void {
    if (!range.holders.delete(id)) return
    if (range.owner === id) range.granted = false
    logger.debug({ service, from: range.from, to: range.to, server: id, cause }, 'holder-gone')
    range.nextCallAt = 0
  }

  function dropEnded (id: string, cause: string): void {
    departed.delete(id)
    const held = ranges.filter((range) => range.holders.has(id))
    for (const range of held) dropHolder(range, id, cause)
    if (held.length > 0) logger.info({ service, server: id, ranges: held.length, cause }, 'server-ended')
  }

  async function call (id: string, range: Range, run: () => Promise<ControlOutcome>): Promise<ControlOutcome> {
    const call = Symbol(id)
    range.callInProgress = call
    try {
      return await calls.run(id, run)
    } finally {
      if (range.callInProgress === call) range.callInProgress = null
    }
  }

  async function grant (range: Range, server: RoutedServer): Promise<void> {
    if (!options.mayGrant()) return
    const first = !range.granted
    const known = range.holders.get(server.id)
    // Once a server has acknowledged a higher token it refuses late grants with a lower one.
    if (first || (known?.unansweredUntil ?? 0) > now()) range.token = options.nextToken()
    const { from, to, token } = range
    const hold = holdMs()
    range.holders.set(server.id, { expiresAt: Infinity, unansweredUntil: Infinity })
    const outcome = await call(server.id, range, () => control.grant(server, { from, to, token, grantDurationMs: hold, handover: first ? range.handover : null }))
    silent.recordOutcome(server.id, outcome)
    const answeredUntil = now() + hold * CLOCK_DRIFT
    const until = Math.max(known?.expiresAt ?? 0, answeredUntil + DELIVERY_MARGIN_MS)
    range.nextCallAt = now() + GrantTiming.retryDelayMs
    if (outcome.kind === 'done') {
      // The call arrived before its answer, so nothing is on its way any more.
      range.holders.set(server.id, { expiresAt: Math.max(known?.expiresAt ?? 0, answeredUntil), unansweredUntil: 0 })
      range.granted = range.owner === server.id
      range.handover = null
      range.nextCallAt = now() + GrantTiming.renewIntervalMs
      if (first) logger.info({ service, from, to, token, server: server.id, holdMs: hold }, 'range-granted')
    } else if (outcome.kind === 'replaced') {
      dropHolder(range, server.id, 'another server has the address')
    } else if (outcome.kind === 'refused') {
      if (known === undefined) range.holders.delete(server.id)
      else range.holders.set(server.id, known)
    } else if (outcome.kind === 'superseded') {
      range.holders.set(server.id, known ?? { expiresAt: until, unansweredUntil: until })
      range.granted = false
      logger.warn({ service, from, to, token, server: server.id }, 'grant-superseded')
    } else {
      range.holders.set(server.id, { expiresAt: until, unansweredUntil: until })
    }
    announce([range])
  }

  /** Makes a server refuse grants that were sent earlier and may still be carried out; it gives the range up next. */
  async function fence (range: Range, server: RoutedServer, holder: Holder): Promise<void> {
    if (!options.mayGrant()) return
    const token = options.nextToken()
    const { from, to } = range
    const outcome = await call(server.id, range, () => control.grant(server, { from, to, token, grantDurationMs: FENCE_HOLD_MS, handover: null }))
    silent.recordOutcome(server.id, outcome)
    range.nextCallAt = now() + GrantTiming.retryDelayMs
    if (outcome.kind === 'replaced') dropHolder(range, server.id, 'another server has the address')
    if (outcome.kind !== 'done') return
    range.holders.set(server.id, { ...holder, unansweredUntil: 0 })
    range.nextCallAt = 0
    drive(range)
  }

  async function release (range: Range, server: RoutedServer): Promise<void> {
    const token = options.nextToken()
    range.token = token
    const { from, to } = range
    const outcome = await call(server.id, range, () => control.release(server, { from, to, token }))
    // A release is answered when the work on the keys has ended: no answer does not show that the server is silent.
    if (outcome.kind !== 'silent') silent.recordOutcome(server.id, outcome)
    if (!range.holders.has(server.id)) return
    range.nextCallAt = now() + GrantTiming.retryDelayMs
    if (outcome.kind === 'done') {
      range.handover = outcome.handover ?? range.handover
      dropHolder(range, server.id, 'released')
      logger.info({ service, from, to, token, server: server.id, next: range.owner }, 'range-released')
    } else if (outcome.kind === 'replaced') {
      dropHolder(range, server.id, 'another server has the address')
    }
    announce([range])
    drive(range)
  }

  function expire (range: Range): void {
    for (const [id, { expiresAt: until }] of range.holders) {
      if (until <= now()) {
        // A release that is still waiting for the end of work has become needless.
        range.callInProgress = null
        dropHolder(range, id, 'hold has run out')
        logger.info({ service, from: range.from, to: range.to, server: id }, 'hold-ran-out')
      }
    }
  }

  /** Calls do not throw; an error here is a fault of the program. */
  function reportFailure (error: unknown): void {
    logger.error({ service, error: error instanceof Error ? error.stack : String(error) }, 'steward-failed')
  }

  /**
   * Asks silent servers to release a key that they do not hold, until one of
   * them answers. An unanswered grant would make its range wait longer.
   */
  function probeSilent (): void {
    for (const id of silent.dueForProbe()) {
      const server = serverOf(id)
      const matters = servers.has(id) || ranges.some((range) => range.holders.has(id))
      const range = rangeWithout(id)
      if (server === undefined || !matters) silent.forget(id)
      else if (range !== undefined && calls.hasCapacity(id) && options.mayGrant()) probe(server, range.to).catch(reportFailure)
    }
  }

  async function probe (server: RoutedServer, key: number): Promise<void> {
    const token = options.nextToken()
    const outcome = await calls.run(server.id, () => control.probe(server, { from: key, to: key, token }))
    silent.recordOutcome(server.id, outcome)
    if (outcome.kind === 'replaced') dropEnded(server.id, 'another server has the address')
  }

  function rangeWithout (id: string): Range | undefined {
    return ranges.find((range) => range.owner !== id && !range.holders.has(id))
  }

  /** Whether a silent server is asked with a call of its own, so that no range has to wait for the end of another call. */
  function isProbed (id: string): boolean {
    return silent.has(id) && rangeWithout(id) !== undefined
  }

  function mayGrantTo (id: string, isRenewal: boolean): boolean {
    return calls.hasCapacity(id, isRenewal) && !isProbed(id)
  }

  /** Starts the next call of a range, if one is due. */
  function drive (range: Range): void {
    // A release of a host that no longer leads would take keys from the server that its successor chose.
    if (range.callInProgress !== null || range.isPlanPending || range.nextCallAt > now() || !options.mayGrant()) return
    for (const [id, holder] of range.holders) {
      if (id === range.owner) continue
      const server = serverOf(id)
      if (server === undefined || !calls.hasCapacity(id) || isProbed(id)) return
      const next = holder.unansweredUntil > now() ? fence : release
      next(range, server, holder).catch(reportFailure)
      return
    }
    const server = range.owner === null ? undefined : servers.get(range.owner)
    if (server !== undefined && !server.leaving && mayGrantTo(server.id, range.granted)) grant(range, server).catch(reportFailure)
  }

  return {
    ranges: () => ranges.map((range) => ({ from: range.from, to: range.to, owner: range.owner, held: range.granted, holders: [...range.holders.keys()] })),
    isFixed (planned) {
      const range = findRange(ranges, planned.from)
      if (range.from !== planned.from || range.callInProgress !== null) return true
      const gone = range.owner === null || !servers.has(range.owner) || servers.get(range.owner)?.leaving === true || silent.isSuspect(range.owner)
      const foreign = [...range.holders.keys()].filter((id) => id !== range.owner)
      return gone ? foreign.length > 0 && range.owner !== null && range.holders.has(range.owner) : !range.granted || foreign.length > 0
    },
    beginPlan: (planned) => planned.map((next) => {
      const range = findRange(ranges, next.from)
      range.isPlanPending ||= range.from !== next.from || range.to !== next.to || range.owner !== next.owner
      const foreign = [...range.holders.keys()].filter((id) => id !== next.owner)
      return { ...next, previous: foreign[0] ?? null }
    }),
    applyPlan (planned) {
      ranges = planned.map((next) => {
        const range = findRange(ranges, next.from)
        const kept = range.from === next.from && range.to === next.to
        const result = kept ? range : { ...range, from: next.from, to: next.to, holders: new Map(range.holders) }
        result.isPlanPending = false
        if (result.owner !== next.owner) {
          result.owner = next.owner
          result.granted = false
          result.nextCallAt = now() + ANNOUNCE_MS
        }
        return result
      })
      announce(ranges)
    },
    abandonPlan () { for (const range of ranges) range.isPlanPending = false },
    setServers (listed, addresses) {
      for (const server of listed) {
        const known = serverOf(server.id)
        if (known !== undefined && known.bornAt !== server.bornAt) {
          logger.info({ service, server: server.id, bornAt: server.bornAt, previousBornAt: known.bornAt }, 'server-restarted')
          for (const range of ranges) dropHolder(range, server.id, 'the server has started again')
        }
        departed.delete(server.id)
      }
      const present = new Set(listed.map((server) => server.id))
      for (const [id, server] of servers) {
        if (!present.has(id)) departed.set(id, server)
      }
      servers.clear()
      for (const server of listed) servers.set(server.id, server)
      for (const [id, server] of departed) {
        if ((addresses.get(server.address) ?? id) !== id) dropEnded(id, 'another server is listed at the address')
      }
      announce(ranges)
    },
    unresponsiveServers: silent.suspects,
    tick () {
      for (const [id, server] of departed) {
        if (options.isRefusingConnections(server)) dropEnded(id, 'its entry is gone and connections are refused')
      }
      probeSilent()
      for (const range of ranges) {
        expire(range)
        drive(range)
      }
      announce(ranges)
    },
    remainingGrantsMs () {
      const holds = new Map<string, number>()
      for (const range of ranges) {
        for (const [id, { expiresAt: until }] of range.holders) {
          // A grant that is on its way was made with one of the usual holds, or the longest.
          const leftMs = Number.isFinite(until) ? until - now() : options.maximumGrantDurationMs * CLOCK_DRIFT + DELIVERY_MARGIN_MS * 2
          holds.set(id, Math.max(holds.get(id) ?? 0, Math.ceil(leftMs)))
        }
      }
      return holds
    },
    snapshot: () => ranges.map((range) => ({ from: range.from, to: range.to, owner: ownerOf(range) }))
  }
}
