/**
 * State machine of one entry host in its cell: follows the leader, stores views
 * and leases, and runs for leader as a deputy or after a claim. It maps events
 * and times to actions, and neither reads a clock nor opens a socket.
 */
import { hashText } from '../slices/mod.ts'
import type { AssignmentInput } from './assignment.ts'
import { createLeader, type Leader } from './leader.ts'
import { createCandidate, type Election } from './candidate.ts'
import { createPromiseTracker } from './promise_tracker.ts'
import { CellTiming } from './timing.ts'
import type {
  PromiseRequest, CellAction, CellMessage, CellRow, CellView, DispatchReport, HostIncarnation, StoredRow, Ping, RowOutcome
} from './types.ts'

/** Options of {@link createCell}. */
export interface CellOptions {
  readonly self: HostIncarnation
  /** Start of the process on its monotonic clock, in milliseconds. */
  readonly startedAt: number
  /** Peers to query for the leader before the durable row has been read. Default: none. */
  readonly seeds?: readonly string[]
}

/** A dispatcher's report, with the epoch of the views that it refers to. */
export interface EpochReport extends DispatchReport { readonly epoch: number }

/** Permission to dispatch under a view until the lease ends. */
export interface DispatchRight {
  readonly view: CellView
  /** End of the dispatch lease, in milliseconds of this host's monotonic clock. */
  readonly until: number
}

/** State of a cell for an operator's dump. */
export interface CellDump {
  readonly self: HostIncarnation
  readonly role: 'leader' | 'candidate' | 'follower'
  readonly epoch: number
  readonly leader: string | null
  readonly promise: { readonly epoch: number, readonly host: string, readonly until: number }
  readonly lease: { readonly epoch: number, readonly until: number }
  readonly heldVersion: number | null
  readonly appliedVersion: number | null
  readonly rowRevision: number | null
  readonly authorityUntil: number | null
  readonly hosts: readonly unknown[]
}

/** State machine of one host in its cell. */
export interface Cell {
  onMessage (from: string, message: CellMessage, now: number): CellAction[]
  /** Processes a view that was pulled from another host. */
  onView (view: CellView, now: number): CellAction[]
  onRow (outcome: RowOutcome, now: number): CellAction[]
  tick (now: number): CellAction[]
  setInput (input: AssignmentInput, platformReachable: boolean): void
  /** Sets the dispatcher's report, and sends it immediately if it changed. */
  setReport (report: EpochReport, now: number): CellAction[]
  /** Sets the newest revision of the shared rows that this host has stored. */
  setRowsRevision (revision: number): void
  /** Newest committed view; `null` before the first. */
  view (): CellView | null
  /** Newest view that this host has stored, for hosts that pull it. */
  heldView (): CellView | null
  /** Permission to dispatch; `null` without a valid lease for the committed view. */
  dispatchRight (now: number): DispatchRight | null
  /** Leader that this host follows; `null` if it has received no ping within the promise duration. */
  leader (now: number): string | null
  isLeading (now: number): boolean
  dump (now: number): CellDump
}

/** Interval between attempts to find a leader, in milliseconds. */
const SEARCH_INTERVAL_MS = 300

/** Maximum delay that spreads the claims of different hosts, in milliseconds. */
const CLAIM_JITTER_MS = 600

/**
 * Creates the state machine of one host in its cell.
 *
 * @param options Identity and start time of the host.
 * @returns The state machine, without a leader or a view.
 * @example
 * ```ts
 * const cell = createCell({ self: { host: '127.0.0.1:7100', incarnation: 1 }, startedAt: 0 })
 * cell.tick(0) // [{ kind: 'read-row' }]
 * ```
 */
export function createCell (options: CellOptions): Cell {
  const { self } = options
  const promiseTracker = createPromiseTracker(options.startedAt)
  let heldView: CellView | null = null
  let appliedView: CellView | null = null
  let lease = { epoch: 0, until: 0, floor: 0 }
  let storedRow: StoredRow | null = null
  let hasReadRow = false
  let leader: Leader | null = null
  let lastPing: { readonly from: string, readonly ping: Ping, readonly promised: boolean } | null = null
  let followed = { host: '', lastPingAt: -Infinity }
  let input: AssignmentInput = { servers: [], homes: {}, loads: {}, listedHosts: new Set(), removedHosts: new Set() }
  let platformReachable = true
  let report: EpochReport = { epoch: 0, applied: 0, pending: [], lost: [], leaving: false }
  let nextSearchAt = options.startedAt
  let searchCount = 0
  let rowsRevision = 0
  let pongsSent = 0
  let isClaimPending = false
  let claimPauseUntil = 0
  const candidate = createCandidate({ self, promiseTracker, storedRow: () => storedRow, heldView: () => heldView, onWon: becomeLeader })

  function send (to: string, message: CellMessage): CellAction {
    return { kind: 'send', to, message }
  }

  function updateStoredRow (next: StoredRow): void {
    if (storedRow === null || next.revision > storedRow.revision) storedRow = next
  }

  function onPing (from: string, ping: Ping, now: number): CellAction[] {
    const pingResult = promiseTracker.recordPing(ping.epoch, from, now)
    if (pingResult === 'ignored') return []
    if (leader !== null && ping.epoch > leader.epoch) leader = null
    candidate.withdraw()
    followed = { host: from, lastPingAt: now }
    lastPing = { from, ping, promised: pingResult === 'promised' }
    updateLease(ping)
    const actions: CellAction[] = []
    if (from === self.host && leader !== null) storeView(leader.view())
    else if (heldView === null || heldView.epoch !== ping.epoch || heldView.version < ping.view) {
      if (ping.view > 0) actions.push({ kind: 'pull-view', from })
    }
    if (ping.rows > rowsRevision) actions.push({ kind: 'pull-rows', from })
    applyCommitted(ping)
    actions.push(send(from, pong(ping, pingResult === 'promised', now)))
    return actions
  }

  function updateLease (ping: Ping): void {
    if (ping.incarnation !== self.incarnation || ping.lease <= 0) return
    const until = ping.echo + ping.lease - CellTiming.CLOCK_DRIFT_MARGIN_MS
    if (lease.epoch !== ping.epoch) lease = { epoch: ping.epoch, until, floor: ping.floor }
    else if (until > lease.until) lease = { epoch: ping.epoch, until, floor: Math.max(lease.floor, ping.floor) }
  }

  function applyCommitted (ping: Ping): void {
    if (heldView === null || heldView.epoch !== ping.epoch) return
    if (ping.committed >= heldView.version) appliedView = heldView
  }

  function pong (ping: Ping, promised: boolean, now: number): CellMessage {
    const isCurrent = report.epoch === ping.epoch
    return {
      kind: 'pong',
      epoch: ping.epoch,
      sequence: ++pongsSent,
      incarnation: self.incarnation,
      sentAt: now,
      echo: ping.sentAt,
      promised,
      held: heldView !== null && heldView.epoch === ping.epoch ? heldView.version : 0,
      applied: isCurrent ? report.applied : 0,
      pending: report.pending,
      lost: report.lost,
      leaving: report.leaving
    }
  }

  /** Sends the current report to the leader without waiting for its next ping. */
  function resendPong (now: number): CellAction[] {
    if (lastPing === null || followedLeader(now) === null) return []
    return [send(lastPing.from, pong(lastPing.ping, lastPing.promised, now))]
  }

  function storeView (view: CellView | null): void {
    if (view === null) return
    if (heldView !== null && !isNewer(view, heldView)) return
    heldView = view
    updateStoredRow({ row: view.row, revision: view.rowRevision })
  }

  function onPromiseRequest (from: string, request: PromiseRequest, now: number): CellAction[] {
    const isReady = heldView !== null || hasReadRow
    const behind = (heldView !== null && isNewer(heldView, { epoch: request.viewEpoch, version: request.viewVersion })) ||
      (storedRow !== null && storedRow.revision > request.rowRevision)
    const granted = isReady && !behind && promiseTracker.mayPromise(request.epoch, from, now)
    if (granted) promiseTracker.recordPromise(request.epoch, from, now)
    return [send(from, {
      kind: 'promise',
      epoch: request.epoch,
      incarnation: self.incarnation,
      sentAt: now,
      echo: request.sentAt,
      granted,
      behind
    })]
  }

  function becomeLeader (election: Election, now: number): CellAction[] {
    leader = createLeader({ self, now, heldView, ...election })
    leader.setInput(input, platformReachable)
    leader.setRowsRevision(rowsRevision)
    return [{ kind: 'read-row' }, ...leader.tick(now)]
  }

  function onJoin (from: string, incarnation: number, received: { readonly echo: number, readonly now: number }): CellAction[] {
    if (leader !== null) {
      leader.onJoin(from, incarnation, received)
      return []
    }
    const target = followedLeader(received.now)
    return target === null || target === self.host ? [] : [send(from, { kind: 'redirect', leader: target })]
  }

  function followedLeader (now: number): string | null {
    return now - followed.lastPingAt < CellTiming.PROMISE_DURATION_MS ? followed.host : null
  }

  function searchForLeader (now: number): CellAction[] {
    if (followedLeader(now) !== null || now < nextSearchAt) return []
    nextSearchAt = now + SEARCH_INTERVAL_MS
    const actions: CellAction[] = []
    if (!hasReadRow || now >= earliestClaimTime()) actions.push({ kind: 'read-row' })
    const peers = [...new Set([
      ...(storedRow === null ? [] : [storedRow.row.leader.host, ...storedRow.row.members.map((member) => member.host)]),
      ...(options.seeds ?? [])
    ])].filter((host) => host !== self.host)
    const peer = peers[searchCount++ % Math.max(1, peers.length)]
    if (peer !== undefined) actions.push(send(peer, { kind: 'join', incarnation: self.incarnation, sentAt: now }))
    return actions
  }

  function earliestClaimTime (): number {
    const waitUntil = Math.max(promiseTracker.current().until, followed.lastPingAt + CellTiming.PROMISE_DURATION_MS, claimPauseUntil)
    const jitter = hashText(self.host) % CLAIM_JITTER_MS
    return storedRow === null ? Math.max(waitUntil - CellTiming.PROMISE_DURATION_MS, options.startedAt) + jitter : waitUntil + CellTiming.CLAIM_DELAY_MS + jitter
  }

  /**
   * Claims a term in the durable row. Removes hosts that the platform no longer
   * lists from the members. A host that is not a member claims only if no member remains.
   */
  function claimTerm (current: StoredRow | null, now: number): CellAction[] {
    if (isClaimPending || leader !== null || now < earliestClaimTime() || followedLeader(now) !== null) return []
    const remaining = (current?.row.members ?? []).filter((member) => !input.removedHosts.has(member.host))
    if (!input.listedHosts.has(self.host)) return []
    const isMember = remaining.some((member) => member.host === self.host)
    if (remaining.length > 0 && !isMember) return []
    isClaimPending = true
    claimPauseUntil = now + CellTiming.CLAIM_DELAY_MS
    const others = remaining.filter((member) => member.host !== self.host)
    const row: CellRow = {
      term: (current?.row.term ?? 0) + 1,
      leader: self,
      succession: [...others, self],
      members: [...others, self],
      owners: current?.row.owners ?? {}
    }
    return [{ kind: 'write-row', expectedRevision: current?.revision ?? 0, row }]
  }

  function onRowOutcome (outcome: RowOutcome, now: number): CellAction[] {
    if (outcome.kind !== 'read') isClaimPending = false
    if (outcome.kind === 'unavailable') return []
    if (outcome.kind === 'written') candidate.recordClaim(outcome.storedRow.row.term)
    hasReadRow = true
    if (outcome.storedRow !== null) updateStoredRow(outcome.storedRow)
    if (outcome.kind === 'written') return candidate.tick(now)
    return outcome.kind === 'read' ? claimTerm(outcome.storedRow, now) : []
  }

  return {
    onMessage (from, message, now) {
      switch (message.kind) {
        case 'ping': return onPing(from, message, now)
        case 'ask': return onPromiseRequest(from, message, now)
        case 'promise': return leader === null ? candidate.onPromise(from, message, now) : []
        case 'join': return onJoin(from, message.incarnation, { echo: message.sentAt, now })
        case 'redirect':
          return [send(message.leader, { kind: 'join', incarnation: self.incarnation, sentAt: now })]
        case 'pong':
          return leader !== null && message.epoch === leader.epoch ? leader.onPong(from, message, now) : []
      }
    },
    onView (view, now) {
      const previousView = heldView
      storeView(view)
      if (heldView !== previousView && view.leader !== self.host) return resendPong(now)
      return leader !== null && view.leader === self.host ? leader.tick(now) : []
    },
    onRow (outcome, now) {
      if (leader !== null) {
        if (outcome.kind === 'read' || outcome.kind === 'written') hasReadRow = true
        return leader.onRow(outcome, now)
      }
      return onRowOutcome(outcome, now)
    },
    tick (now) {
      if (leader !== null) {
        if (now < leader.authorityUntil()) return leader.tick(now)
        leader = null
      }
      return [...searchForLeader(now), ...candidate.tick(now)]
    },
    setInput (next, reachable) {
      input = next
      platformReachable = reachable
      leader?.setInput(next, reachable)
    },
    setReport (next, now) {
      const isChanged = JSON.stringify(next) !== JSON.stringify(report)
      report = next
      return isChanged ? resendPong(now) : []
    },
    setRowsRevision (revision) {
      rowsRevision = revision
      leader?.setRowsRevision(revision)
    },
    view: () => appliedView,
    heldView: () => leader?.view() ?? heldView,
    dispatchRight (now) {
      if (appliedView === null || lease.epoch !== appliedView.epoch || appliedView.version < lease.floor || now >= lease.until) return null
      return { view: appliedView, until: lease.until }
    },
    leader: (now) => followedLeader(now),
    isLeading: (now) => leader !== null && now < leader.authorityUntil(),
    dump: (now) => ({
      self,
      role: leader !== null ? 'leader' : candidate.isCampaigning() ? 'candidate' : 'follower',
      epoch: leader?.epoch ?? promiseTracker.current().epoch,
      leader: followedLeader(now),
      promise: promiseTracker.current(),
      lease,
      heldVersion: heldView?.version ?? null,
      appliedVersion: appliedView?.version ?? null,
      rowRevision: storedRow?.revision ?? null,
      authorityUntil: leader?.authorityUntil() ?? null,
      hosts: leader?.hosts().all() ?? []
    })
  }
}

function isNewer (
  left: { readonly epoch: number, readonly version: number },
  right: { readonly epoch: number, readonly version: number }
): boolean {
  return left.epoch > right.epoch || (left.epoch === right.epoch && left.version > right.version)
}
