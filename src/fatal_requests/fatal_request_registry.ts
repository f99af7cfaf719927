/**
 * Decides which requests are refused because servers end under them.
 *
 * A request is refused once three servers have ended one after another while
 * they ran it and none has completed it since the second of these ends. Two
 * ends leave too much to chance: requests that were lost with one server are
 * sent again, and some of them meet the end of the next. If several requests
 * were lost with all three servers, none is refused before their numbers of
 * ends differ, or two more servers have ended. The same number is required
 * while servers end without the request, too. An end is attributed to one
 * request only, so that it does not count for the others that were lost with it.
 */
import { countMoments, countSequentialEnds } from './_sequence.ts'
import type { Completion, Evidence, Refusal } from './evidence.ts'
import { isContentFingerprint } from './request_fingerprint.ts'
import { SAME_END_MS, type ServerEnd } from './server_end.ts'

/** Options of {@link createFatalRequestRegistry}. */
export interface FatalRequestRegistryOptions {
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Called when a request is refused from now on, with the servers that have ended under it. Default: no callback. */
  readonly onRefused?: (refusal: Refusal, servers: readonly string[]) => void
  /** Called when a request is no longer refused, because a server has completed it. Default: no callback. */
  readonly onCleared?: (fingerprint: string) => void
}

/** Registry of one host. */
export interface FatalRequestRegistry {
  /** Merges evidence of this or another host; returns the part of it that was not known. */
  merge (evidence: Evidence): Evidence
  /** Returns the present refusal of a request; `null` if it may be sent. */
  refusalOf (fingerprint: string): Refusal | null
  /** Number of servers that have ended under the request one after another, and the time since the last of these ends in milliseconds. */
  endsUnder (fingerprint: string): { readonly count: number, readonly sinceMs: number }
  /** Whether any request is refused, or close to it, or was lost with a server a short time ago, so that completed requests have to be recorded. */
  isWatching (): boolean
  /** Whether the request is refused or close to it, so that all hosts need to know when it is completed. */
  isWatched (fingerprint: string): boolean
  /** What another host needs: refusals, completions, recent ends, and those under requests that are close to a refusal. */
  evidence (): Evidence
}

/** Number of ends, one after another, from which a request is refused. */
export const FATAL_END_COUNT = 3

/** Number of ends from which a request is refused even if others were lost with the same servers, or servers end without it as well, or only its content is the same and not its headers. */
const UNDISPUTED_END_COUNT = 5

/** Factor by which the ends under a request must exceed the other ends of the same time, and the time before its first end that counts, in milliseconds: while many servers end, some request is lost with three of them by chance. */
const OTHER_ENDS_FACTOR = 2
const OTHER_ENDS_WINDOW_MS = 2000

/** Number of ends from which all hosts need to know of the completions of a request. */
const WATCHED_END_COUNT = 2

/** Time after an end for which the completions of every request that was lost with the server are recorded, in milliseconds: a request that is sent again takes less. */
const RECENT_LOSS_MS = 10_000

/** Duration of the first refusal, and the maximum of later ones, each of which lasts twice as long as the one before, in milliseconds. */
const FIRST_REFUSAL_MS = 600_000
const MAXIMUM_REFUSAL_MS = 3_600_000

/** Time for which an end, a completion or the end of a refusal is remembered, in milliseconds. */
const RETENTION_MS = 3_600_000

/** Age up to which every end is passed on to hosts that join, in milliseconds; later a request with a single end rarely matters. */
const RECENT_END_MS = 60_000

/** Maximum numbers of ends, of fingerprints of one end, of completions and of refusals: about two megabytes. */
const MAXIMUM_ENDS = 128
const MAXIMUM_REQUESTS_PER_END = 128
const MAXIMUM_COMPLETIONS = 512
const MAXIMUM_REFUSALS = 512

interface KnownEnd {
  readonly server: string
  readonly bornAt: number
  endedAt: number
  /** When each request was first sent to the server, by fingerprint. */
  readonly sentAt: Map<string, number>
  /** Refused request that the end is attributed to. */
  causedBy: string | null
}

/**
 * Creates a registry without evidence.
 *
 * @param options Clock and callbacks.
 * @returns The registry.
 */
export function createFatalRequestRegistry (options: FatalRequestRegistryOptions): FatalRequestRegistry {
  const { now } = options
  /** By run, in the order in which they became known. */
  const ends = new Map<string, KnownEnd>()
  const completedAt = new Map<string, number>()
  const refusals = new Map<string, Refusal>()
  const watched = new Set<string>()
  let lastEndedAt = -Infinity

  function endsOf (fingerprint: string): KnownEnd[] {
    const since = completedAt.get(fingerprint) ?? -Infinity
    return [...ends.values()].filter((end) => end.sentAt.has(fingerprint) && end.endedAt > since && (end.causedBy === null || end.causedBy === fingerprint))
  }

  function countEnds (fingerprint: string): number {
    return countSequentialEnds(endsOf(fingerprint).map((end) => ({ sentAt: end.sentAt.get(fingerprint) ?? 0, endedAt: end.endedAt })))
  }

  function watch (fingerprint: string): void {
    if (refusals.has(fingerprint) || countEnds(fingerprint) >= WATCHED_END_COUNT) watched.add(fingerprint)
    else watched.delete(fingerprint)
  }

  function watchAll (fingerprints: Iterable<string>): void {
    for (const fingerprint of fingerprints) watch(fingerprint)
  }

  function dropOldest (map: Map<string, unknown>, maximum: number): void {
    for (const key of map.keys()) {
      if (map.size <= maximum) return
      map.delete(key)
    }
  }

  function dropOutdated (): void {
    const before = now() - RETENTION_MS
    for (const [key, end] of ends) if (end.endedAt < before) ends.delete(key)
    for (const [key, at] of completedAt) if (at < before) completedAt.delete(key)
    for (const [key, { until }] of refusals) if (until < before) refusals.delete(key)
    dropOldest(ends, MAXIMUM_ENDS)
    dropOldest(completedAt, MAXIMUM_COMPLETIONS)
    dropOldest(refusals, MAXIMUM_REFUSALS)
    watchAll([...watched])
  }

  function attributeEnds (fingerprint: string): void {
    for (const end of endsOf(fingerprint)) {
      end.causedBy = fingerprint
      watchAll(end.sentAt.keys())
    }
  }

  function addRefusal (refusal: Refusal): void {
    refusals.delete(refusal.fingerprint)
    refusals.set(refusal.fingerprint, refusal)
    watched.add(refusal.fingerprint)
    const servers = endsOf(refusal.fingerprint).map(({ server }) => server)
    attributeEnds(refusal.fingerprint)
    options.onRefused?.(refusal, servers)
  }

  function isRefused (fingerprint: string): boolean {
    return (refusals.get(fingerprint)?.until ?? -Infinity) > now()
  }

  /** Number of moments at which servers ended without the request, at about the time of its own ends. */
  function countOtherEnds (fingerprint: string): number {
    const since = Math.min(...endsOf(fingerprint).map(({ endedAt }) => endedAt)) - OTHER_ENDS_WINDOW_MS
    return countMoments([...ends.values()].filter((end) => end.endedAt >= since && end.causedBy === null && !end.sentAt.has(fingerprint)).map(({ endedAt }) => endedAt))
  }

  /** Requests that may have caused an end, with their numbers of ends. */
  function suspectsOf (end: KnownEnd): Array<{ readonly fingerprint: string, readonly count: number }> {
    return [...end.sentAt.keys()].map((fingerprint) => ({
      fingerprint,
      // A request that has been refused before needs only one more end.
      count: end.endedAt > (completedAt.get(fingerprint) ?? -Infinity) ? countEnds(fingerprint) + (refusals.has(fingerprint) ? FATAL_END_COUNT : 0) : 0
    })).filter(({ fingerprint, count }) => count >= UNDISPUTED_END_COUNT || (!isContentFingerprint(fingerprint) && count >= FATAL_END_COUNT && count >= OTHER_ENDS_FACTOR * countOtherEnds(fingerprint))).sort((left, right) => right.count - left.count)
  }

  function judge (end: KnownEnd): void {
    if (end.causedBy !== null) return
    const refused = [...end.sentAt.keys()].find(isRefused)
    if (refused !== undefined) {
      end.causedBy = refused
      watchAll(end.sentAt.keys())
      return
    }
    const [first, second] = suspectsOf(end)
    if (first === undefined || (second?.count === first.count && first.count < UNDISPUTED_END_COUNT)) return
    const times = (refusals.get(first.fingerprint)?.times ?? 0) + 1
    addRefusal({ fingerprint: first.fingerprint, refusedAt: now(), until: now() + Math.min(MAXIMUM_REFUSAL_MS, FIRST_REFUSAL_MS * 2 ** (times - 1)), times })
  }

  /** Whether two reports are of the same end. A server that has run requests since the first was wrongly taken for ended, by a host that had lost its paths. */
  function isSameEnd (recorded: KnownEnd, end: ServerEnd): boolean {
    const [endedAt, laterSentAt] = end.endedAt < recorded.endedAt ? [end.endedAt, [...recorded.sentAt.values()]] : [recorded.endedAt, end.requests.map(({ sentAt }) => sentAt)]
    return laterSentAt.every((sentAt) => sentAt < endedAt + SAME_END_MS)
  }

  function mergeEnd (end: ServerEnd): ServerEnd | null {
    const key = `${end.bornAt} ${end.server}`
    const recorded = ends.get(key)
    const isSame = recorded !== undefined && isSameEnd(recorded, end)
    if (recorded !== undefined && !isSame && end.endedAt < recorded.endedAt) return null
    const known = isSame ? recorded : { server: end.server, bornAt: end.bornAt, endedAt: end.endedAt, sentAt: new Map<string, number>(), causedBy: null }
    const added = end.requests.filter(({ fingerprint }) => !known.sentAt.has(fingerprint)).slice(0, MAXIMUM_REQUESTS_PER_END - known.sentAt.size)
    if (added.length === 0) return null
    known.endedAt = Math.min(known.endedAt, end.endedAt)
    lastEndedAt = Math.max(lastEndedAt, end.endedAt)
    for (const { fingerprint, sentAt } of added) known.sentAt.set(fingerprint, Math.min(known.sentAt.get(fingerprint) ?? Infinity, sentAt))
    ends.set(key, known)
    watchAll(known.sentAt.keys())
    judge(known)
    return { ...end, requests: added }
  }

  function mergeCompletion (completion: Completion): boolean {
    const { fingerprint, at } = completion
    if (at <= (completedAt.get(fingerprint) ?? -Infinity)) return false
    const hasEnds = endsOf(fingerprint).length > 0
    const refusal = refusals.get(fingerprint)
    completedAt.delete(fingerprint)
    completedAt.set(fingerprint, at)
    if (refusal !== undefined && (at > refusal.refusedAt || (hasEnds && countEnds(fingerprint) < FATAL_END_COUNT))) {
      refusals.delete(fingerprint)
      for (const end of ends.values()) if (end.causedBy === fingerprint) end.causedBy = null
      options.onCleared?.(fingerprint)
    }
    watch(fingerprint)
    return true
  }

  function mergeRefusal (refusal: Refusal): boolean {
    const known = refusals.get(refusal.fingerprint)
    if (refusal.until + RETENTION_MS < now() || (completedAt.get(refusal.fingerprint) ?? -Infinity) >= refusal.refusedAt) return false
    if (known !== undefined && known.times >= refusal.times) return false
    addRefusal(refusal)
    return true
  }

  return {
    merge (evidence) {
      dropOutdated()
      // Completions come first: they may show that ends in the same message do not count.
      const added = {
        completions: evidence.completions.filter(mergeCompletion),
        refusals: evidence.refusals.filter(mergeRefusal),
        ends: [...evidence.ends].sort((left, right) => left.endedAt - right.endedAt).flatMap((end) => mergeEnd(end) ?? [])
      }
      dropOutdated()
      return added
    },
    refusalOf (fingerprint) {
      const refusal = refusals.get(fingerprint)
      return refusal !== undefined && refusal.until > now() ? refusal : null
    },
    endsUnder (fingerprint) {
      const endedAt = Math.max(-Infinity, ...endsOf(fingerprint).map((end) => end.endedAt))
      return { count: countEnds(fingerprint), sinceMs: now() - endedAt }
    },
    isWatching: () => watched.size > 0 || now() - lastEndedAt < RECENT_LOSS_MS,
    isWatched: (fingerprint) => watched.has(fingerprint),
    evidence: () => ({
      ends: [...ends.values()].filter((end) => end.endedAt > now() - RECENT_END_MS || [...end.sentAt.keys()].some((fingerprint) => watched.has(fingerprint))).map(({ server, bornAt, endedAt, sentAt }) => ({ server, bornAt, endedAt, requests: [...sentAt].map(([fingerprint, at]) => ({ fingerprint, sentAt: at })) })),
      completions: [...completedAt].map(([fingerprint, at]) => ({ fingerprint, at })),
      refusals: [...refusals.values()]
    })
  }
}
