/**
 * A host in the role of cell leader: pings the hosts, keeps the authority that
 * a majority of the members gives, makes assignments durable and publishes
 * them as views. It acts only while its authority lasts.
 */
import { createAssignment, type AssignmentInput } from './assignment.ts'
import { nextMembers, MEMBER_REMOVAL_TIMEOUT_MS } from './_next_members.ts'
import { createHostTable, type HostTable, type HostRecord } from './host_table.ts'
import { CellTiming } from './timing.ts'
import type {
  CellAction, CellRow, CellView, HostIncarnation, StoredRow, OwnersByService, Pong, PromiseResponse, RowOutcome
} from './types.ts'

/** What a new leader starts from. */
export interface LeaderOptions {
  readonly self: HostIncarnation
  readonly epoch: number
  readonly now: number
  readonly storedRow: StoredRow
  /** Newest view that the host held; `null` where it held none. */
  readonly heldView: CellView | null
  /** Promises that made it leader, by host. */
  readonly promises: ReadonlyMap<string, PromiseResponse>
}

/** A leader of one epoch. */
export interface Leader {
  readonly epoch: number
  /** End of the authority on this host's clock, in milliseconds. */
  authorityUntil (): number
  /** The view that the hosts should hold; `null` before the first. */
  view (): CellView | null
  committedVersion (): number
  hosts (): HostTable
  setInput (input: AssignmentInput, platformReachable: boolean): void
  /** Sets the newest revision of the shared rows that this host holds. */
  setRowsRevision (revision: number): void
  onPong (from: string, pong: Pong, now: number): CellAction[]
  onJoin (from: string, incarnation: number, heard: { readonly echo: number, readonly now: number }): void
  onRow (outcome: RowOutcome, now: number): CellAction[]
  tick (now: number): CellAction[]
}

/** Interval between two rounds in which slices may move from servers that stay, in milliseconds. */
const REBALANCE_INTERVAL_MS = 5000

/** Pause before a failed write is tried again, in milliseconds. */
const WRITE_RETRY_MS = 500

/**
 * Creates a leader from the promises of a majority.
 *
 * @param options What it starts from.
 * @returns The leader.
 */
export function createLeader (options: LeaderOptions): Leader {
  const { self, epoch } = options
  const hosts = createHostTable(() => version)
  let known = options.storedRow
  let input: AssignmentInput = { servers: [], homes: {}, loads: {}, listedHosts: new Set(), removedHosts: new Set() }
  let platformReachable = true
  let view: CellView | null = null
  let version = 0
  let rowsRevision = 0
  let writing: { readonly row: CellRow, readonly since: number } | null = null
  let unwrittenSince: number | null = null
  let retryWriteAt = 0
  const reports = new Map<string, string>()
  let nextPingAt = options.now
  let nextDecisionAt = options.now
  let lastCommitted = 0
  let nextRebalanceAt = options.now + REBALANCE_INTERVAL_MS
  let settled = false
  const settleUntil = options.now + CellTiming.DURABLE_READ_TIMEOUT_MS
  for (const [host, answer] of options.promises) hosts.onPromise(host, answer, options.now)
  let assignment = inheritAssignment(mergeOwners())

  function inheritAssignment (owners: OwnersByService): ReturnType<typeof createAssignment> {
    const lives = new Set([...(options.heldView?.hosts ?? []), ...known.row.members.map((member) => member.host)])
    return createAssignment({ epoch, owners, previousViewOwners: options.heldView?.owners ?? owners, servers: options.heldView?.servers, unconfirmedHosts: [...lives] })
  }

  function memberHosts (): string[] {
    return known.row.members.map((member) => member.host)
  }

  function authorityUntil (): number {
    return hosts.authorityUntil(memberHosts())
  }

  function reportText (host: string): string {
    const known = hosts.get(host)
    return JSON.stringify([known?.applied, known?.pending, known?.lost, known?.leaving, known?.incarnation])
  }

  function pingAll (now: number): CellAction[] {
    nextPingAt = now + CellTiming.PING_INTERVAL_MS
    const targets = new Set([...memberHosts(), ...hosts.all().map((host) => host.host)])
    return [...targets].map((host) => ping(host, now))
  }

  function ping (host: string, now: number): CellAction {
    const target = hosts.get(host)
    return {
      kind: 'send',
      to: host,
      message: {
        kind: 'ping',
        epoch,
        sentAt: now,
        incarnation: target?.incarnation ?? 0,
        echo: target?.echo ?? 0,
        lease: hosts.issueLease(host, authorityUntil()),
        floor: target?.floor ?? 0,
        view: version,
        committed: committed(),
        rows: rowsRevision
      }
    }
  }

  function committed (): number {
    return hosts.committedVersion(memberHosts())
  }

  function settle (): void {
    settled = true
    assignment = inheritAssignment(mergeOwners())
  }

  /** Of the durable row and the view the newer one stands, and the other fills in the rest. */
  function mergeOwners (): OwnersByService {
    const merged: Record<string, Record<string, string>> = {}
    const inView = options.heldView?.owners ?? {}
    const isRowNewer = known.revision > (options.heldView?.rowRevision ?? 0)
    for (const source of isRowNewer ? [inView, known.row.owners] : [known.row.owners, inView]) {
      for (const [service, owners] of Object.entries(source)) merged[service] = { ...merged[service], ...owners }
    }
    return merged
  }

  function decide (now: number): void {
    if (!settled && now >= settleUntil) settle()
    if (!settled) return
    const rebalance = now >= nextRebalanceAt
    if (rebalance) nextRebalanceAt = now + REBALANCE_INTERVAL_MS
    assignment.setInput(input)
    const changed = assignment.decide({
      now,
      version: version + 1,
      hosts,
      durableOwners: known.row.owners,
      allowNonDurableMoves: unwrittenSince !== null && now - unwrittenSince >= CellTiming.DURABLE_WRITE_TIMEOUT_MS,
      leader: self.host,
      members: memberHosts(),
      rebalance: rebalance && platformReachable && unwrittenSince === null
    })
    if (changed || view === null || isViewStale()) publish()
  }

  function decideAndWrite (now: number): CellAction[] {
    nextDecisionAt = now + CellTiming.DECISION_INTERVAL_MS
    decide(now)
    return write(now)
  }

  function isViewStale (): boolean {
    return view === null || view.rowRevision !== known.revision || view.durable !== isDurable() ||
      view.hosts.join() !== hostNames().join()
  }

  function hostNames (): string[] {
    return [...new Set([...memberHosts(), ...hosts.all().map((host) => host.host)])].sort()
  }

  function publish (): void {
    version++
    view = {
      epoch,
      version,
      leader: self.host,
      row: known.row,
      rowRevision: known.revision,
      hosts: hostNames(),
      servers: assignment.servers(),
      owners: assignment.owners(),
      durable: isDurable()
    }
  }

  function isDurable (): boolean {
    return ownersText(known.row.owners) === ownersText(assignment.targets())
  }

  /** A row with other members bears another term, so that no deputy's epoch is ever used twice. */
  function desiredRow (now: number): CellRow {
    const members = membersNow(now)
    const succession = [...members.filter((member) => member.host !== self.host), self]
    const same = sameLives([known.row.leader], [self]) && sameLives(known.row.members, members)
    return {
      term: same ? known.row.term : known.row.term + 1,
      leader: self,
      succession: same ? known.row.succession : succession,
      members,
      owners: assignment.targets()
    }
  }

  /** Members change only once a majority holds the members so far. */
  function membersNow (now: number): readonly HostIncarnation[] {
    const { members } = known.row
    if (view === null || view.rowRevision !== known.revision || committed() < view.version) return members
    return nextMembers(members, { self, hosts, input, leaderSince: options.now, now })
  }

  /** A host whose requests may still be at a server is remembered, however long it is silent. */
  function isForgettable (host: HostRecord, now: number): boolean {
    return now - host.receivedAt > MEMBER_REMOVAL_TIMEOUT_MS && host.pending.length === 0 && !memberHosts().includes(host.host)
  }

  function write (now: number): CellAction[] {
    if (writing !== null || !settled || now < retryWriteAt) return []
    const row = desiredRow(now)
    if (sameRow(row, known.row)) {
      unwrittenSince = null
      return []
    }
    unwrittenSince ??= now
    writing = { row, since: now }
    return [{ kind: 'write-row', expectedRevision: known.revision, row }]
  }

  return {
    epoch,
    authorityUntil,
    view: () => view,
    committedVersion: committed,
    hosts: () => hosts,
    setInput (next, reachable) {
      if (next !== input) nextDecisionAt = 0
      input = next
      platformReachable = reachable
    },
    setRowsRevision (revision) { rowsRevision = revision },
    onPong (from, pong, now) {
      hosts.onPong(from, pong, now)
      const reached = committed()
      const isNews = reportText(from) !== reports.get(from)
      reports.set(from, reportText(from))
      if (isNews || reached !== lastCommitted) nextDecisionAt = 0
      if (reached === lastCommitted) return isNews ? this.tick(now) : []
      lastCommitted = reached
      return [...pingAll(now), ...this.tick(now)]
    },
    onJoin (from, incarnation, heard) { hosts.add(from, incarnation, heard) },
    onRow (outcome, now) {
      if (outcome.kind === 'written') {
        unwrittenSince = null
        known = outcome.storedRow
      } else if (outcome.kind === 'unavailable') {
        retryWriteAt = now + WRITE_RETRY_MS
      } else if (outcome.storedRow !== null && outcome.storedRow.revision > known.revision) {
        known = outcome.storedRow
      }
      if (outcome.kind !== 'read') writing = null
      if (!settled && outcome.kind !== 'unavailable') settle()
      nextDecisionAt = 0
      return this.tick(now)
    },
    tick (now) {
      if (now >= authorityUntil()) return []
      for (const host of hosts.all()) {
        if (isForgettable(host, now)) hosts.remove(host.host)
      }
      const before = version
      const actions = now >= nextDecisionAt ? decideAndWrite(now) : []
      if (version !== before || now >= nextPingAt) actions.push(...pingAll(now))
      return actions
    }
  }
}

function sameLives (left: readonly HostIncarnation[], right: readonly HostIncarnation[]): boolean {
  return JSON.stringify(left) === JSON.stringify(right)
}

function sameRow (left: CellRow, right: CellRow): boolean {
  return left.term === right.term && sameLives([left.leader], [right.leader]) && sameLives(left.members, right.members) &&
    ownersText(left.owners) === ownersText(right.owners)
}

const ownersTexts = new WeakMap<OwnersByService, string>()

/** Text that is the same for the same owners; each object is written out once. */
function ownersText (owners: OwnersByService): string {
  const known = ownersTexts.get(owners)
  if (known !== undefined) return known
  const text = JSON.stringify(sortOwners(owners))
  ownersTexts.set(owners, text)
  return text
}

function sortOwners (owners: OwnersByService): unknown {
  return Object.entries(owners).sort(([left], [right]) => left < right ? -1 : 1)
    .map(([service, slices]) => [service, Object.entries(slices).sort(([left], [right]) => Number(left) - Number(right))])
}
