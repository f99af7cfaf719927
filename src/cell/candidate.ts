/**
 * A host that stands for leader: as deputy, with an epoch that the durable row
 * names in advance, or with a term that it has claimed itself. It asks the
 * members for their promises and gives its own last, so that losing binds it
 * to nothing.
 */
import { hashText } from '../slices/mod.ts'
import type { PromiseTracker } from './promise_tracker.ts'
import { CellTiming, RANKS_PER_TERM } from './timing.ts'
import type { PromiseRequest, CellAction, CellRow, CellView, HostIncarnation, StoredRow, PromiseResponse } from './types.ts'

/** An election that was won. */
export interface Election {
  readonly epoch: number
  readonly storedRow: StoredRow
  /** Promises of a majority of the members, by host. */
  readonly promises: ReadonlyMap<string, PromiseResponse>
}

/** What a candidate works with. */
export interface CandidateOptions {
  readonly self: HostIncarnation
  readonly promiseTracker: PromiseTracker
  /** The newest durable row that the host knows. */
  readonly storedRow: () => StoredRow | null
  /** The newest view that the host holds. */
  readonly heldView: () => CellView | null
  /** Called when the election is won; returns what the new leader does. */
  readonly onWon: (election: Election, now: number) => CellAction[]
}

/** One host as candidate. */
export interface Candidate {
  /** Stands if it is this host's turn. */
  tick (now: number): CellAction[]
  onPromise (from: string, answer: PromiseResponse, now: number): CellAction[]
  /** Notes a term that this host has claimed in the durable row. */
  recordClaim (term: number): void
  /** Gives up standing. */
  withdraw (): void
  isCampaigning (): boolean
}

/** A round of asking for promises. */
interface Candidacy {
  readonly epoch: number
  readonly known: StoredRow
  readonly granted: Map<string, PromiseResponse>
  readonly startedAt: number
  nextAskAt: number
}

/** How long a candidate asks before it rests, so that it can follow a leader that others follow, in milliseconds. */
const CANDIDACY_MS = 600

/** Spread of the rests of candidates, in milliseconds. */
const REST_SPREAD_MS = 600

/**
 * Creates the candidate of one host.
 *
 * @param options Identity, promises and knowledge of the host.
 * @returns The candidate; it stands for nothing.
 */
export function createCandidate (options: CandidateOptions): Candidate {
  const { self, promiseTracker: ledger } = options
  const claimedTerms = new Set<number>()
  let candidacy: Candidacy | null = null
  let lastLedEpoch = 0
  let restUntil = 0

  function isSelf (life: HostIncarnation | undefined): boolean {
    return life?.host === self.host && life.incarnation === self.incarnation
  }

  function standOnClaim (known: StoredRow, now: number): CellAction[] {
    if (!isSelf(known.row.leader) || !claimedTerms.has(known.row.term)) return []
    return stand(known.row.term * RANKS_PER_TERM, known, now)
  }

  /** Stands with the next epoch of the row's term that is written down for this host. */
  function standAsDeputy (known: StoredRow, now: number): CellAction[] {
    const epoch = nextOwnEpoch(known.row)
    if (epoch === null) return []
    const latest = Math.max(ledger.highestEpoch(), known.row.term * RANKS_PER_TERM)
    const stagger = Math.max(0, epoch - latest - 1) * CellTiming.DEPUTY_STAGGER_MS
    return now < ledger.current().until + stagger ? [] : stand(epoch, known, now)
  }

  function nextOwnEpoch (row: CellRow): number | null {
    const base = row.term * RANKS_PER_TERM
    for (let rank = 1; rank < RANKS_PER_TERM; rank++) {
      if (!isSelf(row.succession[(rank - 1) % row.succession.length])) continue
      const epoch = base + rank
      if (epoch === candidacy?.epoch || epoch > Math.max(ledger.highestEpoch(), lastLedEpoch)) return epoch
    }
    return null
  }

  function stand (epoch: number, known: StoredRow, now: number): CellAction[] {
    if (epoch < ledger.highestEpoch() || epoch <= lastLedEpoch || now < restUntil) return []
    if (candidacy === null || candidacy.epoch !== epoch) {
      candidacy = { epoch, known, granted: new Map(), startedAt: now, nextAskAt: now }
    }
    if (now - candidacy.startedAt > CANDIDACY_MS) {
      rest(now, epoch)
      return []
    }
    if (now < candidacy.nextAskAt) return []
    candidacy.nextAskAt = now + CellTiming.PROMISE_REQUEST_INTERVAL_MS
    return tryToWin(candidacy, now) ?? askMembers(candidacy, now)
  }

  function rest (now: number, epoch: number): void {
    candidacy = null
    restUntil = now + CellTiming.PROMISE_DURATION_MS + hashText(`${self.host}/${epoch}`) % REST_SPREAD_MS
  }

  function askMembers (candidate: Candidacy, now: number): CellAction[] {
    const held = options.heldView()
    const message: PromiseRequest = {
      kind: 'ask',
      epoch: candidate.epoch,
      sentAt: now,
      viewEpoch: held?.epoch ?? 0,
      viewVersion: held?.version ?? 0,
      rowRevision: candidate.known.revision
    }
    return candidate.known.row.members
      .filter((member) => member.host !== self.host)
      .map((member) => ({ kind: 'send', to: member.host, message }))
  }

  /** Wins once the others' promises and its own make a majority. */
  function tryToWin (candidate: Candidacy, now: number): CellAction[] | null {
    const members = candidate.known.row.members.map((member) => member.host)
    const promises = new Map([...candidate.granted].filter(([host, promise]) =>
      members.includes(host) && promise.echo + CellTiming.PROMISE_DURATION_MS - CellTiming.CLOCK_DRIFT_MARGIN_MS > now))
    if (!members.includes(self.host) || promises.size + 1 <= members.length / 2) return null
    if (!ledger.mayPromise(candidate.epoch, self.host, now)) return null
    ledger.recordPromise(candidate.epoch, self.host, now)
    promises.set(self.host, ownPromise(candidate.epoch, now))
    lastLedEpoch = candidate.epoch
    candidacy = null
    return options.onWon({ epoch: candidate.epoch, storedRow: candidate.known, promises }, now)
  }

  function ownPromise (epoch: number, now: number): PromiseResponse {
    return { kind: 'promise', epoch, incarnation: self.incarnation, sentAt: now, echo: now, granted: true, behind: false }
  }

  return {
    tick (now) {
      const known = options.storedRow()
      const { host, until } = ledger.current()
      if (known === null || (now < until && host !== self.host)) return []
      const standing = standOnClaim(known, now)
      return standing.length > 0 ? standing : standAsDeputy(known, now)
    },
    onPromise (from, answer, now) {
      if (candidacy === null || answer.epoch !== candidacy.epoch) return []
      if (!answer.granted) return answer.behind ? [{ kind: 'pull-view', from }, { kind: 'read-row' }] : []
      candidacy.granted.set(from, answer)
      return tryToWin(candidacy, now) ?? []
    },
    recordClaim (term) { claimedTerms.add(term) },
    withdraw () { candidacy = null },
    isCampaigning: () => candidacy !== null
  }
}
