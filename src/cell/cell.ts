/**
 * The decision code of one entry host in its cell: follows the leader, holds
 * views and leases, stands in as deputy and leads. Events and time go in,
 * actions come out; it reads no clock and opens no socket.
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
  /** Peers to ask for the leader before the durable row is known. Default: none. */
  readonly seeds?: readonly string[]
}

/** A dispatcher's report, with the epoch whose views it speaks of. */
export interface EpochReport extends DispatchReport { readonly epoch: number }

/** What a host may do as dispatcher now. */
export interface DispatchRight {
  readonly view: CellView
  /** End of the dispatch lease on this host's clock, in milliseconds. */
  readonly until: number
}

/** State of a cell as a dump shows it. */
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

/** One host's part in its cell. */
export interface Cell {
  onMessage (from: string, message: CellMessage, now: number): CellAction[]
  /** Takes in a view that was pulled. */
  onView (view: CellView, now: number): CellAction[]
  onRow (outcome: RowOutcome, now: number): CellAction[]
  tick (now: number): CellAction[]
  setInput (input: AssignmentInput, platformReachable: boolean): void
  /** Sets the dispatcher's report; a changed one is sent at once. */
  setReport (report: EpochReport, now: number): CellAction[]
  /** Sets the newest revision of the shared rows that this host holds. */
  setRowsRevision (revision: number): void
  /** The newest committed view; `null` before the first. */
  view (): CellView | null
  /** The newest view that this host holds, to hand to a host that pulls it. */
  heldView (): CellView | null
  /** The right to dispatch, or `null` where the lease has ended. */
  dispatchRight (now: number): DispatchRight | null
  /** The leader that this host follows; `null` where it knows none. */
  leader (now: number): string | null
  isLeading (now: number): boolean
  dump (now: number): CellDump
}

/** Interval between two tries to find a leader, in milliseconds. */
const SEARCH_INTERVAL_MS = 300

/** Spread of the times at which hosts claim a term, in milliseconds. */
const CLAIM_SPREAD_MS = 600

/**
 * Creates the part of one host in its cell.
 *
 * @param options Identity and start of the host.
 * @returns The decision code, with no leader and no view.
 * @example
 * ```ts
 * const cell = createCell({ self: { host: '127.0.0.1:7100', incarnation: 1 }, startedAt: 0 })
 * cell.tick(0) // [{ kind: 'read-row' }]
 * ```
 */
export function createCell (options: CellOptions): Cell {
  const { self } = options
  const ledger = createPromiseTracker(options.startedAt)
  let held: CellView | null = null
  let applied: CellView | null = null
  let lease = { epoch: 0, until: 0, floor: 0 }
  let known: StoredRow | null = null
  let isRowKnown = false
  let leader: Leader | null = null
  let lastPing: { readonly from: string, readonly ping: Ping, readonly promised: boolean } | null = null
  let followed = { host: '', heardAt: -Infinity }
  let input: AssignmentInput = { servers: [], homes: {}, loads: {}, listedHosts: new Set(), removedHosts: new Set() }
  let platformReachable = true
  let report: EpochReport = { epoch: 0, applied: 0, pending: [], lost: [], leaving: false }
  let nextSearchAt = options.startedAt
  let searchCount = 0
  let rowsRevision = 0
  let pongsSent = 0
  let claiming = false
  let claimAt = 0
  const candidate = createCandidate({ self, promiseTracker: ledger, storedRow: () => known, heldView: () => held, onWon: lead })

  function send (to: string, message: CellMessage): CellAction {
    return { kind: 'send', to, message }
  }

  function learnRow (next: StoredRow): void {
    if (known === null || next.revision > known.revision) known = next
  }

  function onPing (from: string, ping: Ping, now: number): CellAction[] {
    const standing = ledger.recordPing(ping.epoch, from, now)
    if (standing === 'ignored') return []
    if (leader !== null && ping.epoch > leader.epoch) leader = null
    candidate.withdraw()
    followed = { host: from, heardAt: now }
    lastPing = { from, ping, promised: standing === 'promised' }
    takeLease(ping)
    const actions: CellAction[] = []
    if (from === self.host && leader !== null) hold(leader.view())
    else if (held === null || held.epoch !== ping.epoch || held.version < ping.view) {
      if (ping.view > 0) actions.push({ kind: 'pull-view', from })
    }
    if (ping.rows > rowsRevision) actions.push({ kind: 'pull-rows', from })
    applyCommitted(ping)
    actions.push(send(from, pong(ping, standing === 'promised', now)))
    return actions
  }

  function takeLease (ping: Ping): void {
    if (ping.incarnation !== self.incarnation || ping.lease <= 0) return
    const until = ping.echo + ping.lease - CellTiming.CLOCK_DRIFT_MARGIN_MS
    if (lease.epoch !== ping.epoch) lease = { epoch: ping.epoch, until, floor: ping.floor }
    else if (until > lease.until) lease = { epoch: ping.epoch, until, floor: Math.max(lease.floor, ping.floor) }
  }

  function applyCommitted (ping: Ping): void {
    if (held === null || held.epoch !== ping.epoch) return
    if (ping.committed >= held.version) applied = held
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
      held: held !== null && held.epoch === ping.epoch ? held.version : 0,
      applied: isCurrent ? report.applied : 0,
      pending: report.pending,
      lost: report.lost,
      leaving: report.leaving
    }
  }

  /** Tells the leader at once what has changed since the answer to its last ping. */
  function answerAgain (now: number): CellAction[] {
    if (lastPing === null || followedLeader(now) === null) return []
    return [send(lastPing.from, pong(lastPing.ping, lastPing.promised, now))]
  }

  function hold (view: CellView | null): void {
    if (view === null) return
    if (held !== null && !isNewer(view, held)) return
    held = view
    learnRow({ row: view.row, revision: view.rowRevision })
  }

  function onAsk (from: string, ask: PromiseRequest, now: number): CellAction[] {
    const isReady = held !== null || isRowKnown
    const behind = (held !== null && isNewer(held, { epoch: ask.viewEpoch, version: ask.viewVersion })) ||
      (known !== null && known.revision > ask.rowRevision)
    const granted = isReady && !behind && ledger.mayPromise(ask.epoch, from, now)
    if (granted) ledger.recordPromise(ask.epoch, from, now)
    return [send(from, {
      kind: 'promise',
      epoch: ask.epoch,
      incarnation: self.incarnation,
      sentAt: now,
      echo: ask.sentAt,
      granted,
      behind
    })]
  }

  function lead (won: Election, now: number): CellAction[] {
    leader = createLeader({ self, now, heldView: held, ...won })
    leader.setInput(input, platformReachable)
    leader.setRowsRevision(rowsRevision)
    return [{ kind: 'read-row' }, ...leader.tick(now)]
  }

  function onJoin (from: string, incarnation: number, heard: { readonly echo: number, readonly now: number }): CellAction[] {
    if (leader !== null) {
      leader.onJoin(from, incarnation, heard)
      return []
    }
    const target = followedLeader(heard.now)
    return target === null || target === self.host ? [] : [send(from, { kind: 'redirect', leader: target })]
  }

  function followedLeader (now: number): string | null {
    return now - followed.heardAt < CellTiming.PROMISE_DURATION_MS ? followed.host : null
  }

  function search (now: number): CellAction[] {
    if (followedLeader(now) !== null || now < nextSearchAt) return []
    nextSearchAt = now + SEARCH_INTERVAL_MS
    const actions: CellAction[] = []
    if (!isRowKnown || now >= claimTime()) actions.push({ kind: 'read-row' })
    const peers = [...new Set([
      ...(known === null ? [] : [known.row.leader.host, ...known.row.members.map((member) => member.host)]),
      ...(options.seeds ?? [])
    ])].filter((host) => host !== self.host)
    const peer = peers[searchCount++ % Math.max(1, peers.length)]
    if (peer !== undefined) actions.push(send(peer, { kind: 'join', incarnation: self.incarnation, sentAt: now }))
    return actions
  }

  function claimTime (): number {
    const quiet = Math.max(ledger.current().until, followed.heardAt + CellTiming.PROMISE_DURATION_MS, claimAt)
    const spread = hashText(self.host) % CLAIM_SPREAD_MS
    return known === null ? Math.max(quiet - CellTiming.PROMISE_DURATION_MS, options.startedAt) + spread : quiet + CellTiming.CLAIM_DELAY_MS + spread
  }

  /**
   * Claims a term in the durable row. Hosts that the platform lists as gone are
   * struck from the members; a host that is no member claims only where none is left.
   */
  function claim (current: StoredRow | null, now: number): CellAction[] {
    if (claiming || leader !== null || now < claimTime() || followedLeader(now) !== null) return []
    const left = (current?.row.members ?? []).filter((member) => !input.removedHosts.has(member.host))
    if (!input.listedHosts.has(self.host)) return []
    const isMember = left.some((member) => member.host === self.host)
    if (left.length > 0 && !isMember) return []
    claiming = true
    claimAt = now + CellTiming.CLAIM_DELAY_MS
    const others = left.filter((member) => member.host !== self.host)
    const row: CellRow = {
      term: (current?.row.term ?? 0) + 1,
      leader: self,
      succession: [...others, self],
      members: [...others, self],
      owners: current?.row.owners ?? {}
    }
    return [{ kind: 'write-row', expectedRevision: current?.revision ?? 0, row }]
  }

  function onClaimOutcome (outcome: RowOutcome, now: number): CellAction[] {
    if (outcome.kind !== 'read') claiming = false
    if (outcome.kind === 'unavailable') return []
    if (outcome.kind === 'written') candidate.recordClaim(outcome.storedRow.row.term)
    isRowKnown = true
    if (outcome.storedRow !== null) learnRow(outcome.storedRow)
    if (outcome.kind === 'written') return candidate.tick(now)
    return outcome.kind === 'read' ? claim(outcome.storedRow, now) : []
  }

  return {
    onMessage (from, message, now) {
      switch (message.kind) {
        case 'ping': return onPing(from, message, now)
        case 'ask': return onAsk(from, message, now)
        case 'promise': return leader === null ? candidate.onPromise(from, message, now) : []
        case 'join': return onJoin(from, message.incarnation, { echo: message.sentAt, now })
        case 'redirect':
          return [send(message.leader, { kind: 'join', incarnation: self.incarnation, sentAt: now })]
        case 'pong':
          return leader !== null && message.epoch === leader.epoch ? leader.onPong(from, message, now) : []
      }
    },
    onView (view, now) {
      const before = held
      hold(view)
      if (held !== before && view.leader !== self.host) return answerAgain(now)
      return leader !== null && view.leader === self.host ? leader.tick(now) : []
    },
    onRow (outcome, now) {
      if (leader !== null) {
        if (outcome.kind === 'read' || outcome.kind === 'written') isRowKnown = true
        return leader.onRow(outcome, now)
      }
      return onClaimOutcome(outcome, now)
    },
    tick (now) {
      if (leader !== null) {
        if (now < leader.authorityUntil()) return leader.tick(now)
        leader = null
      }
      return [...search(now), ...candidate.tick(now)]
    },
    setInput (next, reachable) {
      input = next
      platformReachable = reachable
      leader?.setInput(next, reachable)
    },
    setReport (next, now) {
      const isChanged = JSON.stringify(next) !== JSON.stringify(report)
      report = next
      return isChanged ? answerAgain(now) : []
    },
    setRowsRevision (revision) {
      rowsRevision = revision
      leader?.setRowsRevision(revision)
    },
    view: () => applied,
    heldView: () => leader?.view() ?? held,
    dispatchRight (now) {
      if (applied === null || lease.epoch !== applied.epoch || applied.version < lease.floor || now >= lease.until) return null
      return { view: applied, until: lease.until }
    },
    leader: (now) => followedLeader(now),
    isLeading: (now) => leader !== null && now < leader.authorityUntil(),
    dump: (now) => ({
      self,
      role: leader !== null ? 'leader' : candidate.isCampaigning() ? 'candidate' : 'follower',
      epoch: leader?.epoch ?? ledger.current().epoch,
      leader: followedLeader(now),
      promise: ledger.current(),
      lease,
      heldVersion: held?.version ?? null,
      appliedVersion: applied?.version ?? null,
      rowRevision: known?.revision ?? null,
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
