/** What hosts exchange of servers that have ended, of the requests that were lost with them, and of requests that are refused. */
import type { ServerEnd } from './server_end.ts'

/** A request that a server has completed; earlier ends of servers were not due to it. */
export interface Completion {
  readonly fingerprint: string
  /** Monotonic time in milliseconds. */
  readonly at: number
}

/** A request that is refused because servers have ended under it. */
export interface Refusal {
  readonly fingerprint: string
  /** When it was refused, and when it may be sent to a server again; monotonic time in milliseconds. */
  readonly refusedAt: number
  readonly until: number
  /** How often it has been refused: another end after the refusal is over counts as the next time. */
  readonly times: number
}

/** Evidence of one host, or of several; merging the same evidence again changes nothing. */
export interface Evidence {
  readonly ends: readonly ServerEnd[]
  readonly completions: readonly Completion[]
  readonly refusals: readonly Refusal[]
}

/** Evidence without anything in it. */
export const NO_EVIDENCE: Evidence = { ends: [], completions: [], refusals: [] }
