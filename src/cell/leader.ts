/**
 * The leader of a cell: pings the hosts to renew its authority from a majority
 * of the members, writes assignments to the durable row and publishes them as
 * views. It acts only until its authority expires.
 */
import { createAssignment, type AssignmentInput } from './assignment.ts'
import { nextMembers, MEMBER_REMOVAL_TIMEOUT_MS } from './_next_members.ts'
import { createHostTable, type HostTable, type HostRecord } from './host_table.ts'
import { CellTiming } from './timing.ts'
import type {
  CellAction, CellRow, CellView, HostIncarnation, StoredRow, OwnersByService, Pong, PromiseResponse, RowOutcome
} from './types.ts'

/** Options of {@link createLeader}. */
export interface LeaderOptions {
  readonly self: HostIncarnation
  readonly epoch: number
  readonly now: number
  readonly storedRow: StoredRow
  /** Newest view that the host has stored; `null` if there is none. */
  readonly heldView: CellView | null
  /** Promises of the majority that elected the leader, by host. */
  readonly promises: ReadonlyMap<string, PromiseResponse>
}

/** The leader of one epoch. */
export interface Leader {
  readonly epoch: number
  /** End of the authority, in milliseconds of this host's monotonic clock. */
  authorityUntil (): number
  /** Newest published view; `null` before the first. */
  view (): CellView | null
  committedVersion (): number
  hosts (): HostTable
  setInput (input: AssignmentInput, platformReachable: boolean): void
  /** Sets the newest revision of the shared rows that this host has stored. */
  setRowsRevision (revision: number): void
  onPong (from: string, pong: Pong, now: number): CellAction[]
  onJoin (from: string, incarnation: number, received: { readonly echo: number, readonly now: number }): void
  onRow (outcome: RowOutcome, now: number): CellAction[]
  tick (now: number): CellAction[]
}

/** Interval between rounds that may move slices away from available servers, in milliseconds. */
const REBALANCE_INTERVAL_MS = 5000

/** Delay before a failed write is retried, in milliseconds. */
const WRITE_RETRY_MS = 500

/**
 * Creates a leader from the promises of a majority.
 *
 * @param options Identity, epoch, durable row, view and promises.
 * @returns The leader; it publishes its first view once the durable row has been read or the read has timed out.
 */
export function createLeader (options: LeaderOptions): Leader {
  const { self, epoch } = options
  const hosts = createHostTable(() => version)
  let storedRow = options.storedRow
  let input: AssignmentInput = { servers: [], homes: {}, loads: {}, listedHosts: new Set(), removedHosts: new Set() }
  let platformReachable = true
  let view: CellView | null = null
  let version = 0
  let rowsRevision = 0
  let pendingWrite: { readonly row: CellRow, readonly since: number } | null = null
  let nonDurableSince: number | null = null
  let retryWriteAt = 0
  const reportTexts = new Map<string, string>()
  let nextPingAt = options.now
  let nextDecisionAt = options.now
  let lastCommitted = 0
  let nextRebalanceAt = options.now + REBALANCE_INTERVAL_MS
  let isInitialised = false
  const rowReadDeadline = options.now + CellTiming.DURABLE_READ_TIMEOUT_MS
  for (const [host, response] of options.promises) hosts.onPromise(host, response, options.now)
  let assignment = createInheritedAssignment(mergeOwners())

  function createInheritedAssignment (owners: OwnersByService): ReturnType<typeof createAssignment> {
    const earlierHosts = new Set([...(options.heldView?.hosts ?? []), ...storedRow.row.members.map((member) => member.host)])
    return createAssignment({ epoch, owners, previousViewOwners: options.heldView?.owners ?? owners, servers: options.heldView?.servers, unconfirmedHosts: [...earlierHosts] })
  }

  function memberHosts (): string[] {
    return storedRow.row.members.map((member) => member.host)
  }

  function authorityUntil (): number {
    return hosts.authorityUntil(memberHosts())
  }

  function reportText (host: string): string {
    const record = hosts.get(host)
    return JSON.stringify([record?.applied, record?.pending, record?.lost, record?.leaving, record?.incarnation])
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
        committed: committedVersion(),
        rows: rowsRevision
      }
    }
  }

  function committedVersion (): number {
    return hosts.committedVersion(memberHosts())
  }

  function initialise (): void {
    isInitialised = true
    assignment = createInheritedAssignment(mergeOwners())
  }

  /** Merges the owners of the durable row and the stored view; the newer source takes precedence. */
  function mergeOwners (): OwnersByService {
    const merged: Record<string, Record<string, string>> = {}
    const viewOwners = options.heldView?.owners ?? {}
    const isRowNewer = storedRow.revision > (options.heldView?.rowRevision ?? 0)
    for (const source of isRowNewer ? [viewOwners, storedRow.row.owners] : [storedRow.row.owners, viewOwners]) {
      for (const [service, owners] of Object.entries(source)) merged[service] = { ...merged[service], ...owners }
    }
    return merged
  }

  function decideAssignment (now: number): void {
    if (!isInitialised && now >= rowReadDeadline) initialise()
    if (!isInitialised) return
    const rebalance = now >= nextRebalanceAt
    if (rebalance) nextRebalanceAt = now + REBALANCE_INTERVAL_MS
    assignment.setInput(input)
    const changed = assignment.decide({
      now,
      version: version + 1,
      hosts,
      durableOwners: storedRow.row.owners,
      allowNonDurableMoves: nonDurableSince !== null && now - nonDurableSince >= CellTiming.DURABLE_WRITE_TIMEOUT_MS,
      leader: self.host,
      members: memberHosts(),
      rebalance: rebalance && platformReachable && nonDurableSince === null
    })
    if (changed || view === null || isViewStale()) publish()
  }

  function decideAndWrite (now: number): CellAction[] {
    nextDecisionAt = now + CellTiming.DECISION_INTERVAL_MS
    decideAssignment(now)
    return write(now)
  }

  function isViewStale (): boolean {
    return view === null || view.rowRevision !== storedRow.revision || view.durable !== isDurable() ||
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
      row: storedRow.row,
      rowRevision: storedRow.revision,
      hosts: hostNames(),
      servers: assignment.servers(),
      owners: assignment.owners(),
      durable: isDurable()
    }
  }

  function isDurable (): boolean {
    return ownersText(storedRow.row.owners) === ownersText(assignment.targets())
  }

  /** A row with a different leader or members gets a new term, so that no deputy's epoch is used twice. */
  function desiredRow (now: number): CellRow {
    const members = nextRowMembers(now)
    const succession = [...members.filter((member) => member.host !== self.host), self]
    const isUnchanged = sameIncarnations([storedRow.row.leader], [self]) && sameIncarnations(storedRow.row.members, members)
    return {
      term: isUnchanged ? storedRow.row.term : storedRow.row.term + 1,
      leader: self,
      succession: isUnchanged ? storedRow.row.succession : succession,
      members,
      owners: assignment.targets()
    }
  }

  /** Changes members only after a majority has stored the current ones. */
  function nextRowMembers (now: number): readonly HostIncarnation[] {
    const { members } = storedRow.row
    if (view === null || view.rowRevision !== storedRow.revision || committedVersion() < view.version) return members
    return nextMembers(members, { self, hosts, input, leaderSince: options.now, now })
  }

  /** Keeps the record of a host that may still have requests at a server, even if it is unresponsive. */
  function isRemovable (host: HostRecord, now: number): boolean {
    return now - host.receivedAt > MEMBER_REMOVAL_TIMEOUT_MS && host.pending.length === 0 && !memberHosts().includes(host.host)
  }

  function write (now: number): CellAction[] {
    if (pendingWrite !== null || !isInitialised || now < retryWriteAt) return []
    const row = desiredRow(now)
    if (sameRow(row, storedRow.row)) {
      nonDurableSince = null
      return []
    }
    nonDurableSince ??= now
    pendingWrite = { row, since: now }
    return [{ kind: 'write-row', expectedRevision: storedRow.revision, row }]
  }

  return {
    epoch,
    authorityUntil,
    view: () => view,
    committedVersion,
    hosts: () => hosts,
    setInput (next, reachable) {
      if (next !== input) nextDecisionAt = 0
      input = next
      platformReachable = reachable
    },
    setRowsRevision (revision) { rowsRevision = revision },
    onPong (from, pong, now) {
      hosts.onPong(from, pong, now)
      const newestCommitted = committedVersion()
      const isReportChanged = reportText(from) !== reportTexts.get(from)
      reportTexts.set(from, reportText(from))
      if (isReportChanged || newestCommitted !== lastCommitted) nextDecisionAt = 0
      if (newestCommitted === lastCommitted) return isReportChanged ? this.tick(now) : []
      lastCommitted = newestCommitted
      return [...pingAll(now), ...this.tick(now)]
    },
    onJoin (from, incarnation, received) { hosts.add(from, incarnation, received) },
    onRow (outcome, now) {
      if (outcome.kind === 'written') {
        nonDurableSince = null
        storedRow = outcome.storedRow
      } else if (outcome.kind === 'unavailable') {
        retryWriteAt = now + WRITE_RETRY_MS
      } else if (outcome.storedRow !== null && outcome.storedRow.revision > storedRow.revision) {
        storedRow = outcome.storedRow
      }
      if (outcome.kind !== 'read') pendingWrite = null
      if (!isInitialised && outcome.kind !== 'unavailable') initialise()
      nextDecisionAt = 0
      return this.tick(now)
    },
    tick (now) {
      if (now >= authorityUntil()) return []
      for (const host of hosts.all()) {
        if (isRemovable(host, now)) hosts.remove(host.host)
      }
      const previousVersion = version
      const actions = now >= nextDecisionAt ? decideAndWrite(now) : []
      if (version !== previousVersion || now >= nextPingAt) actions.push(...pingAll(now))
      return actions
    }
  }
}

function sameIncarnations (left: readonly HostIncarnation[], right: readonly HostIncarnation[]): boolean {
  return JSON.stringify(left) === JSON.stringify(right)
}

function sameRow (left: CellRow, right: CellRow): boolean {
  return left.term === right.term && sameIncarnations([left.leader], [right.leader]) && sameIncarnations(left.members, right.members) &&
    ownersText(left.owners) === ownersText(right.owners)
}

const ownersTexts = new WeakMap<OwnersByService, string>()

/** Returns the same text for equal owners; caches the text of each object. */
function ownersText (owners: OwnersByService): string {
  const cached = ownersTexts.get(owners)
  if (cached !== undefined) return cached
  const text = JSON.stringify(sortOwners(owners))
  ownersTexts.set(owners, text)
  return text
}

function sortOwners (owners: OwnersByService): unknown {
  return Object.entries(owners).sort(([left], [right]) => left < right ? -1 : 1)
    .map(([service, slices]) => [service, Object.entries(slices).sort(([left], [right]) => Number(left) - Number(right))])
}
