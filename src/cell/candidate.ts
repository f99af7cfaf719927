/**
 * A candidate for leader: a deputy with an epoch that the durable row reserves
 * for it, or a host that has claimed a term. It requests promises from the
 * members and makes its own last, so that a lost election leaves it free to
 * follow another leader.
 */
import { hashText } from '../slices/mod.ts'
import type { PromiseTracker } from './promise_tracker.ts'
import { CellTiming, RANKS_PER_TERM } from './timing.ts'
import type { PromiseRequest, CellAction, CellRow, CellView, HostIncarnation, StoredRow, PromiseResponse } from './types.ts'

/** A won election. */
export interface Election {
  readonly epoch: number
  readonly storedRow: StoredRow
  /** Promises of a majority of the members, by host. */
  readonly promises: ReadonlyMap<string, PromiseResponse>
}

/** Options of {@link createCandidate}. */
export interface CandidateOptions {
  readonly self: HostIncarnation
  readonly promiseTracker: PromiseTracker
  /** Returns the newest durable row that the host has received. */
  readonly storedRow: () => StoredRow | null
  /** Returns the newest view that the host has stored. */
  readonly heldView: () => CellView | null
  /** Called when the election is won; returns the actions of the new leader. */
  readonly onWon: (election: Election, now: number) => CellAction[]
}

/** Candidate for the leadership of a cell. */
export interface Candidate {
  /** Starts or continues a campaign if this host may run now. */
  tick (now: number): CellAction[]
  onPromise (from: string, response: PromiseResponse, now: number): CellAction[]
  /** Records a term that this host has claimed in the durable row. */
  recordClaim (term: number): void
  /** Ends the campaign. */
  withdraw (): void
  isCampaigning (): boolean
}

/** An attempt to win the election for one epoch. */
interface Campaign {
  readonly epoch: number
  readonly storedRow: StoredRow
  readonly granted: Map<string, PromiseResponse>
  readonly startedAt: number
  nextRequestAt: number
}

/** Maximum duration of a campaign, in milliseconds. The candidate then backs off so that it can follow the leader of the others. */
const CAMPAIGN_DURATION_MS = 600

/** Maximum jitter added to the back-off of a candidate, in milliseconds. */
const BACKOFF_JITTER_MS = 600

/**
 * Creates the candidate of one host.
 *
 * @param options Identity, promises, durable row and view of the host.
 * @returns The candidate, without a campaign.
 */
export function createCandidate (options: CandidateOptions): Candidate {
  const { self, promiseTracker } = options
  const claimedTerms = new Set<number>()
  let activeCampaign: Campaign | null = null
  let lastLedEpoch = 0
  let backOffUntil = 0

  function isSelf (member: HostIncarnation | undefined): boolean {
    return member?.host === self.host && member.incarnation === self.incarnation
  }

  function campaignWithClaim (storedRow: StoredRow, now: number): CellAction[] {
    if (!isSelf(storedRow.row.leader) || !claimedTerms.has(storedRow.row.term)) return []
    return runCampaign(storedRow.row.term * RANKS_PER_TERM, storedRow, now)
  }

  /** Runs for the next epoch that the succession of the row's term reserves for this host. */
  function campaignAsDeputy (storedRow: StoredRow, now: number): CellAction[] {
    const epoch = nextOwnEpoch(storedRow.row)
    if (epoch === null) return []
    const latest = Math.max(promiseTracker.highestEpoch(), storedRow.row.term * RANKS_PER_TERM)
    const stagger = Math.max(0, epoch - latest - 1) * CellTiming.DEPUTY_STAGGER_MS
    return now < promiseTracker.current().until + stagger ? [] : runCampaign(epoch, storedRow, now)
  }

  function nextOwnEpoch (row: CellRow): number | null {
    const base = row.term * RANKS_PER_TERM
    for (let rank = 1; rank < RANKS_PER_TERM; rank++) {
      if (!isSelf(row.succession[(rank - 1) % row.succession.length])) continue
      const epoch = base + rank
      if (epoch === activeCampaign?.epoch || epoch > Math.max(promiseTracker.highestEpoch(), lastLedEpoch)) return epoch
    }
    return null
  }

  function runCampaign (epoch: number, storedRow: StoredRow, now: number): CellAction[] {
    if (epoch < promiseTracker.highestEpoch() || epoch <= lastLedEpoch || now < backOffUntil) return []
    if (activeCampaign === null || activeCampaign.epoch !== epoch) {
      activeCampaign = { epoch, storedRow, granted: new Map(), startedAt: now, nextRequestAt: now }
    }
    if (now - activeCampaign.startedAt > CAMPAIGN_DURATION_MS) {
      backOff(now, epoch)
      return []
    }
    if (now < activeCampaign.nextRequestAt) return []
    activeCampaign.nextRequestAt = now + CellTiming.PROMISE_REQUEST_INTERVAL_MS
    return tryToWin(activeCampaign, now) ?? requestPromises(activeCampaign, now)
  }

  function backOff (now: number, epoch: number): void {
    activeCampaign = null
    backOffUntil = now + CellTiming.PROMISE_DURATION_MS + hashText(`${self.host}/${epoch}`) % BACKOFF_JITTER_MS
  }

  function requestPromises (campaign: Campaign, now: number): CellAction[] {
    const heldView = options.heldView()
    const message: PromiseRequest = {
      kind: 'ask',
      epoch: campaign.epoch,
      sentAt: now,
      viewEpoch: heldView?.epoch ?? 0,
      viewVersion: heldView?.version ?? 0,
      rowRevision: campaign.storedRow.revision
    }
    return campaign.storedRow.row.members
      .filter((member) => member.host !== self.host)
      .map((member) => ({ kind: 'send', to: member.host, message }))
  }

  /** Wins the election if the valid promises and its own form a majority. */
  function tryToWin (campaign: Campaign, now: number): CellAction[] | null {
    const members = campaign.storedRow.row.members.map((member) => member.host)
    const promises = new Map([...campaign.granted].filter(([host, promise]) =>
      members.includes(host) && promise.echo + CellTiming.PROMISE_DURATION_MS - CellTiming.CLOCK_DRIFT_MARGIN_MS > now))
    if (!members.includes(self.host) || promises.size + 1 <= members.length / 2) return null
    if (!promiseTracker.mayPromise(campaign.epoch, self.host, now)) return null
    promiseTracker.recordPromise(campaign.epoch, self.host, now)
    promises.set(self.host, ownPromise(campaign.epoch, now))
    lastLedEpoch = campaign.epoch
    activeCampaign = null
    return options.onWon({ epoch: campaign.epoch, storedRow: campaign.storedRow, promises }, now)
  }

  function ownPromise (epoch: number, now: number): PromiseResponse {
    return { kind: 'promise', epoch, incarnation: self.incarnation, sentAt: now, echo: now, granted: true, behind: false }
  }

  return {
    tick (now) {
      const storedRow = options.storedRow()
      const { host, until } = promiseTracker.current()
      if (storedRow === null || (now < until && host !== self.host)) return []
      const actions = campaignWithClaim(storedRow, now)
      return actions.length > 0 ? actions : campaignAsDeputy(storedRow, now)
    },
    onPromise (from, response, now) {
      if (activeCampaign === null || response.epoch !== activeCampaign.epoch) return []
      if (!response.granted) return response.behind ? [{ kind: 'pull-view', from }, { kind: 'read-row' }] : []
      activeCampaign.granted.set(from, response)
      return tryToWin(activeCampaign, now) ?? []
    },
    recordClaim (term) { claimedTerms.add(term) },
    withdraw () { activeCampaign = null },
    isCampaigning: () => activeCampaign !== null
  }
}
