/** Reports to the guard what an attempt has shown of its request and its server. */
import type { FingerprintSource, RequestGuard } from '../fatal_requests/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import type { AttemptOutcome } from './send_attempt.ts'

/** An attempt that this host sent to a server itself. */
export interface SentAttempt {
  readonly server: RoutedServer
  readonly fingerprint: FingerprintSource
  /** Monotonic time in milliseconds. */
  readonly sentAt: number
  readonly outcome: AttemptOutcome
}

/**
 * Reports an attempt. Attempts that this host has aborted show nothing.
 *
 * @param guard Guard of this host.
 * @param attempt The attempt and its outcome.
 */
export function reportAttempt (guard: RequestGuard, { server, fingerprint, sentAt, outcome }: SentAttempt): void {
  if (outcome.kind === 'lost' && !outcome.aborted) guard.recordLoss(server, { fingerprint, sentAt })
  // A server may report a failure before it has run the request to its end.
  if (outcome.kind === 'answer' && outcome.status < 500) guard.recordCompletion(fingerprint)
}
