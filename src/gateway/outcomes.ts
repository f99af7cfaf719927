/** Converts attempt outcomes to load outcomes and to labels for logs and metrics; parses keys. */
import { KEY_SPACE } from '../routing/mod.ts'
import type { AttemptOutcome } from './send_attempt.ts'
import type { LoadOutcome } from './server_loads.ts'

/** Parses a key from a header; returns `null` if the value is not a key. */
export function parseKey (value: string | string[] | undefined): number | null {
  const key = typeof value === 'string' && /^\d{1,5}$/.test(value) ? Number(value) : NaN
  return key < KEY_SPACE ? key : null
}

/** Label of an outcome for logs and metrics. */
export function outcomeLabel (outcome: AttemptOutcome): string {
  if (outcome.kind === 'answer' || outcome.kind === 'stream') return `${outcome.status}`
  if (outcome.kind === 'not-admitted') return 'full'
  if (outcome.kind === 'not-run') return outcome.misdirected ? 'misdirected' : `refused-${outcome.status}`
  return outcome.kind
}

/** Whether the request may have been received by its server; a response with status 421 comes from another server at the address. */
export function hasReachedServer (outcome: AttemptOutcome): boolean {
  return outcome.kind !== 'unsent' && outcome.kind !== 'not-admitted' && !(outcome.kind === 'not-run' && outcome.misdirected)
}

/** Converts an attempt outcome to the outcome that the server's load is updated with. */
export function toLoadOutcome (outcome: AttemptOutcome, durationMs: number): LoadOutcome {
  if (outcome.kind === 'answer' || outcome.kind === 'stream') return outcome.status >= 500 ? { kind: 'failed' } : { kind: 'served', durationMs }
  if (outcome.kind === 'not-run') return { kind: outcome.misdirected ? 'other' : 'shed' }
  if (outcome.kind === 'not-admitted') return { kind: 'other' }
  if (outcome.kind === 'unsent' && outcome.isEvacuated === true) return { kind: 'other' }
  // A reset shows that the address responds; only timeouts and refused connections count as lost.
  if (outcome.kind === 'unsent' && outcome.wasConnected === true) return { kind: 'failed' }
  if (outcome.kind === 'lost') return outcome.aborted ? { kind: 'abandoned', durationMs } : { kind: 'failed', isReset: outcome.isReset === true }
  return { kind: 'lost', refused: outcome.refused, ...(outcome.wasAborted === true ? { wasAborted: true } : {}) }
}
