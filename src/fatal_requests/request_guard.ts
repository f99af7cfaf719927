/**
 * Keeps requests from servers that they would end. Gateways and relays ask the
 * guard before they send a request, and report what became of it.
 */
import type { RoutedServer } from '../routing/mod.ts'
import { NO_EVIDENCE, type Completion, type Evidence } from './evidence.ts'
import { createFatalRequestRegistry, type FatalRequestRegistryOptions } from './fatal_request_registry.ts'
import type { FingerprintSource, RequestFingerprints } from './request_fingerprint.ts'
import { createServerEndDetector, type ServerEndDetectorOptions } from './server_end_detector.ts'

/** Guard of one host. */
export interface RequestGuard {
  /** Time for which a request is refused, in milliseconds; `null` if it may be sent. */
  refusalMs (fingerprint: FingerprintSource): number | null
  /** Whether a server that the request was just lost with may have ended because of it, so that the request is not sent again at once. */
  isSuspect (fingerprint: FingerprintSource): boolean
  /** Records that a request was lost together with its connection to a server; `sentAt` is monotonic time in milliseconds. */
  recordLoss (server: RoutedServer, request: { readonly fingerprint: FingerprintSource, readonly sentAt: number }): void
  /** Records that a server has completed a request. */
  recordCompletion (fingerprint: FingerprintSource): void
  /** Merges evidence of other hosts; returns the part of it that was not known. */
  merge (evidence: Evidence): Evidence
  /** What this host knows that others need. */
  evidence (): Evidence
  /** Records the runs of servers that are listed, whenever the list has changed. */
  onListed (servers: readonly RoutedServer[]): void
}

/** Options of {@link createRequestGuard}. */
export interface RequestGuardOptions extends Omit<ServerEndDetectorOptions, 'onEnd'>, FatalRequestRegistryOptions {
  /** Called with what this host has found out itself. */
  readonly onEvidence: (evidence: Evidence) => void
}

/** Time after the end of a server within which a request that was lost with it and is lost again is not sent a third time, in milliseconds: its caller may have sent it again by then. */
const SUSPECT_MS = 30_000

/** Maximum number of completions that are kept until other hosts need them. */
const MAXIMUM_UNPUBLISHED = 512

/**
 * Creates the guard of one host.
 *
 * @param options Probes, callbacks and clock.
 * @returns The guard.
 */
export function createRequestGuard (options: RequestGuardOptions): RequestGuard {
  const registry = createFatalRequestRegistry(options)
  const detector = createServerEndDetector({ ...options, onEnd (end) { mergeOwn({ ...NO_EVIDENCE, ends: [end] }) } })

  /** Completions of requests that were lost with one server; other hosts need them once the same requests are lost with another. */
  const unpublished = new Map<string, Completion>()

  function mergeOwn (evidence: Evidence): void {
    const added = registry.merge(evidence)
    if (added.ends.length + added.completions.length > 0) options.onEvidence(added)
    publishCompletions(added)
  }

  function publishCompletions ({ ends }: Evidence): void {
    const completions = ends.flatMap(({ requests }) => requests.flatMap(({ fingerprint }) => unpublished.get(fingerprint) ?? []))
    for (const { fingerprint } of completions) unpublished.delete(fingerprint)
    if (completions.length > 0) options.onEvidence({ ...NO_EVIDENCE, completions })
  }

  function recordUnpublished (completion: Completion): void {
    registry.merge({ ...NO_EVIDENCE, completions: [completion] })
    unpublished.delete(completion.fingerprint)
    unpublished.set(completion.fingerprint, completion)
    const oldest = unpublished.keys().next()
    if (unpublished.size > MAXIMUM_UNPUBLISHED && oldest.done !== true) unpublished.delete(oldest.value)
  }

  return {
    refusalMs (fingerprint) {
      // Fingerprints are computed only in the rare case that any request is refused.
      const known = registry.isWatching() ? fingerprint() : null
      const refusal = known === null ? null : registry.refusalOf(known.exact) ?? registry.refusalOf(known.content)
      return refusal === null ? null : refusal.until - options.now()
    },
    isSuspect (fingerprint) {
      const known = fingerprint()
      if (known === null) return false
      const { count, sinceMs } = registry.endsUnder(known.exact)
      return count > 1 || (count === 1 && sinceMs < SUSPECT_MS)
    },
    recordLoss (server, { fingerprint, sentAt }) {
      const known = fingerprint()
      for (const value of allOf(known)) detector.recordLoss(server, { fingerprint: value, sentAt })
    },
    recordCompletion (fingerprint) {
      const known = registry.isWatching() ? fingerprint() : null
      for (const value of allOf(known)) {
        const completion = { fingerprint: value, at: options.now() }
        if (registry.isWatched(value)) mergeOwn({ ...NO_EVIDENCE, completions: [completion] })
        else if (registry.endsUnder(value).count > 0) recordUnpublished(completion)
      }
    },
    merge (evidence) {
      const added = registry.merge(evidence)
      publishCompletions(added)
      return added
    },
    evidence: registry.evidence,
    onListed: detector.onListed
  }
}

function allOf (fingerprints: RequestFingerprints | null): string[] {
  return fingerprints === null ? [] : [fingerprints.exact, fingerprints.content]
}
