/**
 * Requests that were in flight when a backend server crashed. After one crash
 * a request is suspect: it is not retried, and no two suspects run on one
 * server at once, so that the next crash has one culprit. After a second crash
 * it is refused. A suspect that completes is cleared.
 */

/** Standing of a request. */
export const SuspectStatus = { clear: 'clear', suspect: 'suspect', blocked: 'blocked' } as const
/** One of the values of {@link SuspectStatus}. */
export type SuspectStatus = typeof SuspectStatus[keyof typeof SuspectStatus]

/** One fingerprint with its crashes. */
export interface Suspect {
  readonly fingerprint: string
  readonly crashes: number
  /** When the entry is forgotten, on this host's monotonic clock, in milliseconds. */
  readonly expiresAt: number
}

/** Ledger of one host. */
export interface SuspectRegistry {
  statusOf (fingerprint: string, now: number): SuspectStatus
  /** Notes a crash; returns the entries as they stand now. */
  onCrash (fingerprints: readonly string[], now: number): Suspect[]
  onSuccess (fingerprint: string): void
  /** Takes in what another host saw. */
  merge (fingerprint: string, crashes: number, now: number): void
  clear (fingerprint: string): void
  list (now: number): Suspect[]
}

/** Crashes after which a request is refused. */
export const BLOCKING_CRASH_COUNT = 2

/** How long a crash is remembered, in milliseconds. */
const MEMORY_MS = 3_600_000

/** Most entries that are kept. */
const MAXIMUM_ENTRIES = 10_000

/**
 * Creates an empty ledger.
 *
 * @returns The ledger.
 */
export function createSuspectRegistry (): SuspectRegistry {
  const suspects = new Map<string, Suspect>()

  function get (fingerprint: string, now: number): Suspect | undefined {
    const suspect = suspects.get(fingerprint)
    if (suspect === undefined || suspect.expiresAt > now) return suspect
    suspects.delete(fingerprint)
    return undefined
  }

  function set (fingerprint: string, crashes: number, now: number): Suspect {
    const suspect = { fingerprint, crashes, expiresAt: now + MEMORY_MS }
    suspects.delete(fingerprint)
    suspects.set(fingerprint, suspect)
    const oldest = suspects.keys().next()
    if (suspects.size > MAXIMUM_ENTRIES && oldest.done !== true) suspects.delete(oldest.value)
    return suspect
  }

  /** A second crash blames the suspects that ran there; where none ran, every request is a first-time suspect. */
  function blame (fingerprints: readonly string[], now: number): readonly string[] {
    const suspected = fingerprints.filter((fingerprint) => get(fingerprint, now) !== undefined)
    return suspected.length > 0 ? suspected : fingerprints
  }

  return {
    statusOf (fingerprint, now) {
      const crashes = get(fingerprint, now)?.crashes ?? 0
      if (crashes === 0) return SuspectStatus.clear
      return crashes < BLOCKING_CRASH_COUNT ? SuspectStatus.suspect : SuspectStatus.blocked
    },
    onCrash (fingerprints, now) {
      const unique = [...new Set(fingerprints)]
      return blame(unique, now).map((fingerprint) => set(fingerprint, (get(fingerprint, now)?.crashes ?? 0) + 1, now))
    },
    onSuccess (fingerprint) {
      if ((suspects.get(fingerprint)?.crashes ?? 0) < BLOCKING_CRASH_COUNT) suspects.delete(fingerprint)
    },
    merge (fingerprint, crashes, now) {
      const known = get(fingerprint, now)?.crashes ?? 0
      if (crashes > known) set(fingerprint, crashes, now)
    },
    clear (fingerprint) { suspects.delete(fingerprint) },
    list: (now) => [...suspects.values()].filter((suspect) => suspect.expiresAt > now)
  }
}
