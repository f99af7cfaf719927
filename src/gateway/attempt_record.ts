/** Records of attempts for logs and metrics: where each one got to, and what it was paid with. */
import { outcomeLabel } from './outcomes.ts'
import type { PartialBody } from './response_body_record.ts'
import type { AttemptOutcome } from './send_attempt.ts'

/**
 * Whether an attempt reached a server, as this host knows it. Arrivals beyond
 * the first of each request count against the retry limit of their service,
 * also if the server has turned them away.
 */
export const AttemptReach = {
  /** The request was not sent to a server. */
  none: 'none',
  /** It may have reached one: it was lost without a response, or a relay of an earlier build does not state that it has not sent it. */
  possible: 'possible',
  /** The server has responded, if only with a part of a response. */
  certain: 'certain'
} as const
export type AttemptReach = typeof AttemptReach[keyof typeof AttemptReach]

/** What an attempt was paid with. */
export const AttemptCost = {
  /** No earlier attempt of the request may have reached a server. */
  first: 'first',
  /** A repeat that drew nothing from the retry budget. */
  free: 'free',
  /** A repeat that drew on the retry budget. */
  budget: 'budget'
} as const
export type AttemptCost = typeof AttemptCost[keyof typeof AttemptCost]

/** Result of one attempt. */
export interface AttemptRecord {
  readonly server: string
  readonly outcome: string
  /** Why there was no response. */
  readonly detail?: string
  readonly durationMs: number
  /** Known requests in flight at the server, and the expected latency when it was chosen, in milliseconds. */
  readonly inFlight: number
  readonly expectedMs: number
  /** Host that relayed the request. */
  readonly relay?: string
  readonly reach: AttemptReach
  /** Absent on a relay, which does not pay. */
  readonly cost?: AttemptCost
  /** What was received of a response that was lost. */
  readonly partialBody?: PartialBody
}

/** An attempt as {@link createAttemptRecord} takes it. */
export interface EndedAttempt extends Omit<AttemptRecord, 'outcome' | 'detail' | 'reach' | 'cost' | 'partialBody'> {
  readonly outcome: AttemptOutcome
}

/**
 * Says whether an attempt reached a server.
 *
 * @param outcome Outcome of the attempt.
 * @returns Where it got to, as this host knows it.
 */
export function attemptReach (outcome: AttemptOutcome): AttemptReach {
  switch (outcome.kind) {
    case 'answer':
    case 'stream':
    case 'not-run':
      return AttemptReach.certain
    case 'lost':
      return outcome.partialBody === undefined ? AttemptReach.possible : AttemptReach.certain
    case 'not-admitted':
      return outcome.isUnsent ? AttemptReach.none : AttemptReach.possible
    case 'unsent':
      return AttemptReach.none
  }
}

/**
 * Says what an attempt was paid with. A withdrawal for an attempt that reached
 * no server pays for the next one that does.
 *
 * @param earlier Earlier attempts of the request.
 * @param withdrawals Number of withdrawals from the retry budget for the request so far.
 * @returns What paid for it.
 */
export function attemptCost (earlier: readonly AttemptRecord[], withdrawals: number): AttemptCost {
  const arrivals = earlier.filter(({ reach }) => reach !== AttemptReach.none)
  if (arrivals.length === 0) return AttemptCost.first
  return arrivals.filter(({ cost }) => cost === AttemptCost.budget).length < withdrawals ? AttemptCost.budget : AttemptCost.free
}

/**
 * Creates the record of an attempt that has ended.
 *
 * @param attempt The attempt.
 * @param payment Earlier attempts of the request and its withdrawals from the retry budget; absent on a relay.
 * @returns The record, with durations in whole milliseconds.
 */
export function createAttemptRecord (attempt: EndedAttempt, payment?: { readonly earlier: readonly AttemptRecord[], readonly withdrawals: number }): AttemptRecord {
  const { outcome } = attempt
  return {
    ...attempt,
    outcome: outcomeLabel(outcome),
    ...('detail' in outcome ? { detail: outcome.detail } : {}),
    durationMs: Math.round(attempt.durationMs),
    expectedMs: Math.round(attempt.expectedMs),
    reach: attemptReach(outcome),
    ...(outcome.kind === 'lost' && outcome.partialBody !== undefined ? { partialBody: outcome.partialBody } : {}),
    ...(payment === undefined ? {} : { cost: attemptCost(payment.earlier, payment.withdrawals) })
  }
}
