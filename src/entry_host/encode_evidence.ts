/** Converts evidence on fatal requests between the clock of a host and messages, which have ages because clocks differ between hosts. */
import type { Evidence } from '../fatal_requests/mod.ts'
import type { WireEvidence } from '../replication/mod.ts'

/**
 * Encodes evidence.
 *
 * @param evidence The evidence.
 * @param now Monotonic time in milliseconds.
 * @returns The message, without its kind.
 */
export function encodeEvidence (evidence: Evidence, now: number): WireEvidence {
  const age = (time: number): number => Math.round(now - time)
  return {
    ends: evidence.ends.map(({ server, bornAt, endedAt, requests }) => [server, bornAt, age(endedAt), requests.map(({ fingerprint, sentAt }) => [fingerprint, age(sentAt)] as const)] as const),
    completions: evidence.completions.map(({ fingerprint, at }) => [fingerprint, age(at)] as const),
    refusals: evidence.refusals.map(({ fingerprint, refusedAt, until, times }) => [fingerprint, age(refusedAt), -age(until), times] as const)
  }
}

/**
 * Decodes evidence.
 *
 * @param wire The message.
 * @param now Monotonic time in milliseconds.
 * @returns The evidence.
 */
export function decodeEvidence (wire: WireEvidence, now: number): Evidence {
  return {
    ends: wire.ends.map(([server, bornAt, endedAgoMs, requests]) => ({ server, bornAt, endedAt: now - endedAgoMs, requests: requests.map(([fingerprint, sentAgoMs]) => ({ fingerprint, sentAt: now - sentAgoMs })) })),
    completions: wire.completions.map(([fingerprint, agoMs]) => ({ fingerprint, at: now - agoMs })),
    refusals: wire.refusals.map(([fingerprint, refusedAgoMs, remainingMs, times]) => ({ fingerprint, refusedAt: now - refusedAgoMs, until: now + remainingMs, times }))
  }
}
