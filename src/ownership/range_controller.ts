/**
 * Grants the key ranges of one service to its servers and renews the grants.
 *
 * Only the leading host runs range controllers. A range has one planned owner
 * and a set of servers that may hold it. The owner is sent a grant only when no
 * other server may hold the range: each of them has acknowledged a release, is
 * known to have ended, or its last possible grant has expired. A plan is stored
 * before it is applied, so the next leader knows every server that may hold a
 * range.
 */
import type { Logger } from '../logging/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import type { KeyOwner, OwnerChange } from './owner_map.ts'
import type { PlannedRange } from './plan_ranges.ts'
import { createDepartedServers } from './_departed_servers.ts'
import { CLOCK_DRIFT_FACTOR, createEarlierGrants, DELIVERY_MARGIN_MS, type EarlierGrantsOptions } from './_earlier_grants.ts'
import { findRange, restoreRange, UNKNOWN_HOLDER, type Holder, type Range } from './_range_state.ts'
import { createServerCalls } from './_server_calls.ts'
import { createUnresponsiveServers } from './_unresponsive_servers.ts'
import { GrantTiming } from './grant_timing.ts'
import type { RecordedRange } from './plan_record.ts'
import type { ControlOutcome, ServerControl } from './server_control.ts'

/** Duration of a grant that only raises the server's fencing token, in milliseconds; a release follows at once. */
const FENCE_GRANT_DURATION_MS = 100

/** Delay between publishing that a range moves and sending the release to its holder, in milliseconds: a few network trips within a region. */
const RELEASE_DELAY_MS = 8

/** Options of {@link createRangeController}. */
export interface RangeControllerOptions extends EarlierGrantsOptions {
  readonly service: string
  readonly control: ServerControl
  readonly logger: Logger
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Whether this host leads; checked immediately before each grant. */
  readonly mayGrant: () => boolean
  /** Whether the store does not respond, so that grants should outlast this host's lease. */
  readonly isStoreUnavailable: () => boolean
  /** Since when this host certainly reaches servers; monotonic time in milliseconds, `Infinity` while it may not. Default: always. */
  readonly reachesServersSince?: () => number
  /** Returns a fencing token above all that were used before. */
  readonly nextToken: () => number
  /** Publishes changed owners to the hosts. */
  readonly publish: (changes: readonly OwnerChange[]) => void
  /** Whether any host has recently received a response from the server. */
  readonly isResponding: (server: string) => boolean
  /** Whether hosts report that this run of the server refuses connections, one of them in its own zone. */
  readonly isRefusingConnections: (server: RoutedServer) => boolean
}

/** Current state of a range, as input for planning. */
export interface RangeState extends PlannedRange {
  /** Whether the owner has acknowledged a grant that has not expired. */
  readonly granted: boolean
  /** Servers that may hold the range. */
  readonly holders: readonly string[]
}

/** Controller of the key ranges of one service. */
export interface RangeController {
  ranges (): readonly RangeState[]
  /** Whether every server that may hold keys is known, so that a stored plan of these ranges is complete. */
  isComplete (): boolean
  /** Whether a range must keep its owner and bounds in the next plan. */
  isFixed (range: PlannedRange): boolean
  /** Marks the ranges that a plan changes as pending and returns the plan to store; {@link RangeController.applyPlan} is called with the same ranges after that. */
  beginPlan (planned: readonly PlannedRange[]): RecordedRange[]
  /** Applies a plan that has been stored. */
  applyPlan (planned: readonly PlannedRange[]): void
  /** Discards a plan from {@link RangeController.beginPlan} that could not be stored. */
  abandonPlan (): void
  /** Sets the current servers of the service, including leaving ones, and the identifier of the server at each address. */
  setServers (servers: readonly RoutedServer[], addresses: ReadonlyMap<string, string>): void
  /** Servers that have been unresponsive for too long to be given ranges. */
  unresponsiveServers (): ReadonlySet<string>
  /** Removes expired grants and starts every call that is due. */
  tick (): void
  /** Remaining time for which each server may hold keys, in milliseconds. */
  remainingGrantsMs (): Map<string, number>
  /** Owners of all ranges, for a host that has just connected. */
  snapshot (): OwnerChange[]
}

/**
 * Creates a controller for the ranges of a stored plan.
 *
 * @param recorded The plan as stored by this host or an earlier leader.
 * @param options Ports, clock and grant limits.
 * @returns The controller; it sends nothing before its first tick.
 */
export function createRangeController (recorded: readonly RecordedRange[], options: RangeControllerOptions): RangeController {
  const { control, logger, now, service } = options
  const servers = new Map<string, RoutedServer>()
  const departed = createDepartedServers({ isRefusingConnections: options.isRefusingConnections, now, checkIntervalMs: GrantTiming.retryDelayMs })
  const unresponsive = createUnresponsiveServers({ service, logger, now, probeIntervalMs: GrantTiming.retryDelayMs, reachesServersSince: options.reachesServersSince ?? (() => -Infinity) })
  const calls = createServerCalls(unresponsive.has)
  const earlierGrants = createEarlierGrants(options)
  let ranges: Range[] = recorded.map((range) => restoreRange(range, { grantExpiry: earlierGrants.expiryOf, unknownGrantsUntil: isComplete() ? 0 : earlierGrants.unlistedUntil }))

  function isComplete (): boolean {
    return earlierGrants.unlistedUntil <= now()
  }

  function ownerOf (range: Range): KeyOwner {
    if (range.owner !== null && range.holders.has(range.owner) && !range.hasOwnerRestarted && (range.granted || range.holders.size === 1)) return { kind: 'owned', server: range.owner }
    const otherHolders = [...range.holders].filter(([id]) => id !== range.owner)
    // A server that only this host cannot reach keeps serving until its grant expires.
    const respondingHolder = otherHolders.find(([id]) => unresponsive.has(id) && options.isResponding(id))
    if (respondingHolder !== undefined) return { kind: 'owned', server: respondingHolder[0] }
    const latestExpiry = Math.max(0, ...otherHolders.filter(([id]) => unresponsive.has(id) || !servers.has(id)).map(([, holder]) => holder.expiresAt))
    if (Number.isFinite(latestExpiry) && latestExpiry > now() + GrantTiming.retryDelayMs * 2) return { kind: 'unserved', until: latestExpiry }
    return { kind: 'moving' }
  }

  function publishChanges (changed: readonly Range[]): void {
    const changes: OwnerChange[] = []
    for (const range of changed) {
      const owner = ownerOf(range)
      const ownerText = owner.kind === 'owned' ? owner.server : owner.kind
      if (ownerText === range.publishedOwner) continue
      range.publishedOwner = ownerText
      changes.push({ from: range.from, to: range.to, owner })
    }
    if (changes.length > 0) options.publish(changes)
  }

  function grantDurationMs (): number {
    return options.isStoreUnavailable() ? options.maximumGrantDurationMs : GrantTiming.grantDurationMs
  }

  function serverOf (id: string): RoutedServer | undefined {
    return servers.get(id) ?? departed.get(id)
  }

  function removeHolder (range: Range, id: string, cause: string): void {
    if (!range.holders.delete(id)) return
    if (range.owner === id) range.granted = false
    logger.debug({ service, from: range.from, to: range.to, server: id, cause }, 'range-holder-removed')
    range.nextCallAt = 0
  }

  /** Removes a server as a holder of keys, if the outcome of a call to it shows that it has ended. */
  function removeIfEnded (server: RoutedServer, outcome: ControlOutcome): void {
    const cause = departed.causeOfEnd(server, outcome)
    // The call may have been made to an earlier run, at an address that it had.
    if (cause === null || serverOf(server.id)?.bornAt !== server.bornAt) return
    departed.remove(server.id)
    const heldRanges = ranges.filter((range) => range.holders.has(server.id))
    for (const range of heldRanges) removeHolder(range, server.id, cause)
    if (heldRanges.length > 0) logger.info({ service, server: server.id, ranges: heldRanges.length, cause }, 'server-ended')
    for (const range of heldRanges) startNextCall(range)
    publishChanges(heldRanges)
  }

  /** A restarted server holds nothing of before, but renewals may have reached its new run: its ranges are granted again, or released before others get them. */
  function recordRestart (id: string): void {
    unresponsive.forget(id)
    for (const range of ranges.filter(({ holders }) => holders.has(id))) {
      range.nextCallAt = 0
      if (range.owner === id) Object.assign(range, { granted: false, hasOwnerRestarted: true })
    }
  }

  async function call (id: string, range: Range, run: () => Promise<ControlOutcome>): Promise<ControlOutcome> {
    const callId = Symbol(id)
    range.callInProgress = callId
    try {
      return await calls.run(id, run)
    } finally {
      if (range.callInProgress === callId) range.callInProgress = null
    }
  }

  async function grant (range: Range, server: RoutedServer): Promise<void> {
    if (!options.mayGrant()) return
    const isFirstGrant = !range.granted
    const previousState = range.holders.get(server.id)
    // A server that has acknowledged a higher token refuses late grants with a lower one.
    if (isFirstGrant || (previousState?.unansweredUntil ?? 0) > now()) range.token = options.nextToken()
    const { from, to, token } = range
    const durationMs = grantDurationMs()
    range.holders.set(server.id, { expiresAt: Infinity, unansweredUntil: Infinity })
    const outcome = await call(server.id, range, () => control.grant(server, { from, to, token, grantDurationMs: durationMs, handover: isFirstGrant ? range.handover : null }))
    unresponsive.recordOutcome(server.id, outcome)
    const acknowledgedExpiry = now() + durationMs * CLOCK_DRIFT_FACTOR
    const latestExpiry = Math.max(previousState?.expiresAt ?? 0, acknowledgedExpiry + DELIVERY_MARGIN_MS)
    range.nextCallAt = now() + GrantTiming.retryDelayMs
    if (outcome.kind === 'done') {
      // The response proves that the call has arrived, so no grant is in transit.
      range.holders.set(server.id, { expiresAt: Math.max(previousState?.expiresAt ?? 0, acknowledgedExpiry), unansweredUntil: 0 })
      range.granted = range.owner === server.id
      range.hasOwnerRestarted = false
      range.handover = null
      range.nextCallAt = now() + GrantTiming.renewIntervalMs
      if (isFirstGrant) logger.info({ service, from, to, token, server: server.id, holdMs: durationMs }, 'range-granted')
    } else if (outcome.kind === 'replaced') {
      removeHolder(range, server.id, 'another server responds at the address')
    } else if (outcome.kind === 'refused') {
      if (previousState === undefined) range.holders.delete(server.id)
      else range.holders.set(server.id, previousState)
    } else if (outcome.kind === 'superseded') {
      range.holders.set(server.id, previousState ?? { expiresAt: latestExpiry, unansweredUntil: latestExpiry })
      range.granted = false
      logger.warn({ service, from, to, token, server: server.id }, 'grant-superseded')
    } else {
      range.holders.set(server.id, { expiresAt: latestExpiry, unansweredUntil: latestExpiry })
    }
    publishChanges([range])
  }

  /** Raises the fencing token of a server, so that it refuses late grants; the release of the range follows. */
  async function fence (range: Range, server: RoutedServer, holder: Holder): Promise<void> {
    if (!options.mayGrant()) return
    const token = options.nextToken()
    const { from, to } = range
    const outcome = await call(server.id, range, () => control.grant(server, { from, to, token, grantDurationMs: FENCE_GRANT_DURATION_MS, handover: null }))
    unresponsive.recordOutcome(server.id, outcome)
    range.nextCallAt = now() + GrantTiming.retryDelayMs
    removeIfEnded(server, outcome)
    if (outcome.kind !== 'done') return
    range.holders.set(server.id, { ...holder, unansweredUntil: 0 })
    range.nextCallAt = 0
    startNextCall(range)
  }

  async function release (range: Range, server: RoutedServer): Promise<void> {
    const token = options.nextToken()
    range.token = token
    const { from, to } = range
    const outcome = await call(server.id, range, () => control.release(server, { from, to, token }))
    // A server responds to a release when its work on the keys has ended, so a timeout does not mean that it is unresponsive.
    if (outcome.kind !== 'silent') unresponsive.recordOutcome(server.id, outcome)
    if (!range.holders.has(server.id)) return
    range.nextCallAt = now() + GrantTiming.retryDelayMs
    removeIfEnded(server, outcome)
    if (outcome.kind === 'done') {
      range.handover = outcome.handover ?? range.handover
      removeHolder(range, server.id, 'released')
      logger.info({ service, from, to, token, server: server.id, next: range.owner }, 'range-released')
    }
    publishChanges([range])
    startNextCall(range)
  }

  function expireGrants (range: Range): void {
    for (const [id, { expiresAt }] of range.holders) {
      if (expiresAt <= now()) {
        // A release that is waiting for work to end is no longer needed.
        range.callInProgress = null
        removeHolder(range, id, 'grant has expired')
        logger.info({ service, from: range.from, to: range.to, server: id }, 'grant-expired')
      }
    }
  }

  /** Logs an unexpected error; calls to servers do not throw, so it is a bug in this program. */
  function reportFailure (error: unknown): void {
    logger.error({ service, error: error instanceof Error ? error.stack : String(error) }, 'range-controller-failed')
  }

  /**
   * Probes unresponsive servers until they respond, with releases of keys that
   * they do not hold. Unlike a grant, an unanswered probe does not delay the move of a range.
   */
  function probeUnresponsive (): void {
    for (const id of unresponsive.dueForProbe()) {
      const server = serverOf(id)
      const isNeeded = servers.has(id) || ranges.some((range) => range.holders.has(id))
      const range = rangeNotHeldBy(id)
      if (server === undefined || !isNeeded) unresponsive.forget(id)
      else if (range !== undefined && calls.hasCapacity(id) && options.mayGrant()) probe(server, range.to).catch(reportFailure)
    }
  }

  /** Asks the servers that may have ended; one that holds every range is asked by the release of the first range that moves. */
  function checkDeparted (): void {
    for (const server of departed.dueForCheck()) {
      const range = rangeNotHeldBy(server.id)
      if (range === undefined || !calls.hasCapacity(server.id) || !options.mayGrant() || !ranges.some(({ holders }) => holders.has(server.id))) continue
      departed.recordCheck(server.id)
      probe(server, range.to).catch(reportFailure)
    }
  }

  async function probe (server: RoutedServer, key: number): Promise<void> {
    const token = options.nextToken()
    const outcome = await calls.run(server.id, () => control.probe(server, { from: key, to: key, token }))
    unresponsive.recordOutcome(server.id, outcome)
    removeIfEnded(server, outcome)
  }

  function rangeNotHeldBy (id: string): Range | undefined {
    return ranges.find((range) => range.owner !== id && !range.holders.has(id))
  }

  /** Whether a server is currently checked with probes. It then gets no other calls, so that no range waits for one to time out. */
  function isProbed (id: string): boolean {
    return unresponsive.has(id) && rangeNotHeldBy(id) !== undefined
  }

  function mayGrantTo (id: string, isRenewal: boolean): boolean {
    return calls.hasCapacity(id, isRenewal) && !isProbed(id)
  }

  /** Starts the next call of a range, if one is due. */
  function startNextCall (range: Range): void {
    // A release by a host that no longer leads would take keys from the server that the next leader chose.
    if (range.callInProgress !== null || range.isPlanPending || range.nextCallAt > now() || !options.mayGrant()) return
    for (const [id, holder] of range.holders) {
      if (id === range.owner) continue
      const server = serverOf(id)
      if (server === undefined || !calls.hasCapacity(id) || isProbed(id)) return
      const nextCall = holder.unansweredUntil > now() ? fence : release
      nextCall(range, server, holder).catch(reportFailure)
      return
    }
    const server = range.owner === null ? undefined : servers.get(range.owner)
    if (server !== undefined && !server.leaving && mayGrantTo(server.id, range.granted)) grant(range, server).catch(reportFailure)
  }

  return {
    ranges: () => ranges.map((range) => ({ from: range.from, to: range.to, owner: range.owner, granted: range.granted, holders: [...range.holders.keys()] })),
    isComplete,
    isFixed (planned) {
      const range = findRange(ranges, planned.from)
      if (range.from !== planned.from || range.callInProgress !== null) return true
      const isOwnerUnavailable = range.owner === null || !servers.has(range.owner) || servers.get(range.owner)?.leaving === true || unresponsive.isSuspect(range.owner)
      const otherHolders = [...range.holders.keys()].filter((id) => id !== range.owner)
      return isOwnerUnavailable ? otherHolders.length > 0 && range.owner !== null && range.holders.has(range.owner) : !range.granted || otherHolders.length > 0 || (range.from === range.to && now() - range.movedAt < GrantTiming.singleKeyStayMs)
    },
    beginPlan: (planned) => planned.map((plannedRange) => {
      const range = findRange(ranges, plannedRange.from)
      range.isPlanPending ||= range.from !== plannedRange.from || range.to !== plannedRange.to || range.owner !== plannedRange.owner
      const otherHolders = [...range.holders.keys()].filter((id) => id !== plannedRange.owner && id !== UNKNOWN_HOLDER)
      return { ...plannedRange, previous: otherHolders[0] ?? null }
    }),
    applyPlan (planned) {
      ranges = planned.map((plannedRange) => {
        const range = findRange(ranges, plannedRange.from)
        const isUnchanged = range.from === plannedRange.from && range.to === plannedRange.to
        const updated = isUnchanged ? range : { ...range, from: plannedRange.from, to: plannedRange.to, holders: new Map(range.holders) }
        updated.isPlanPending = false
        if (updated.owner !== plannedRange.owner) {
          updated.owner = plannedRange.owner
          updated.granted = false
          updated.hasOwnerRestarted = false
          updated.movedAt = now()
          updated.nextCallAt = now() + RELEASE_DELAY_MS
        }
        return updated
      })
      publishChanges(ranges)
    },
    abandonPlan () { for (const range of ranges) range.isPlanPending = false },
    setServers (listed, addresses) {
      for (const server of listed) {
        const previous = serverOf(server.id)
        if (previous !== undefined && previous.bornAt !== server.bornAt) {
          logger.info({ service, server: server.id, bornAt: server.bornAt, previousBornAt: previous.bornAt }, 'server-restarted')
          recordRestart(server.id)
        }
        departed.remove(server.id)
      }
      const listedIds = new Set(listed.map((server) => server.id))
      for (const [id, server] of servers) {
        if (!listedIds.has(id)) departed.add(server)
      }
      servers.clear()
      for (const server of listed) servers.set(server.id, server)
      departed.recordAddresses(addresses)
      publishChanges(ranges)
    },
    unresponsiveServers: unresponsive.suspects,
    tick () {
      checkDeparted()
      probeUnresponsive()
      for (const range of ranges) {
        expireGrants(range)
        startNextCall(range)
      }
      publishChanges(ranges)
    },
    remainingGrantsMs () {
      const remainingMs = new Map<string, number>()
      for (const range of ranges) {
        for (const [id, { expiresAt }] of range.holders) {
          if (id === UNKNOWN_HOLDER) continue
          // A grant in transit has the usual or the maximum duration, so the maximum is assumed.
          const serverRemainingMs = Number.isFinite(expiresAt) ? expiresAt - now() : earlierGrants.longestMs + DELIVERY_MARGIN_MS
          remainingMs.set(id, Math.max(remainingMs.get(id) ?? 0, Math.ceil(serverRemainingMs)))
        }
      }
      return remainingMs
    },
    snapshot: () => ranges.map((range) => ({ from: range.from, to: range.to, owner: ownerOf(range) }))
  }
}
