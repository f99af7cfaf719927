/**
 * Claims on idempotency keys in the table service: the first attempt that
 * writes the row may run, every later one learns that the key was used. A
 * claim whose request was not run is released, also when its answer was lost.
 */
import { z } from 'zod'
import type { TableService } from '../ports/mod.ts'

/** Start of the table keys of claims. */
const CLAIM_PREFIX = 'gooseberryfold-claims/'

/** How long claims are refused at once after the table service did not answer, in milliseconds. */
const PAUSE_MS = 500

/** Interval between two tries to release a claim, in milliseconds. */
const RELEASE_INTERVAL_MS = 1000

/** Releases that are kept waiting at most. */
const MAXIMUM_RELEASES = 10_000

const claimSchema = z.object({ attempt: z.string(), state: z.enum(['claimed', 'done', 'released']) })

/** State of a claim in its row. */
type Claim = z.infer<typeof claimSchema>

/** What became of a claim. After `unavailable` the claim may have been written; release it. */
export type ClaimOutcome =
  | { readonly kind: 'claimed' }
  | { readonly kind: 'held', readonly done: boolean }
  | { readonly kind: 'unavailable' }

/** Claims of one host. */
export interface ClaimStore {
  /** Claims a key for an attempt; the identifier of an attempt must be unique. */
  claim (service: string, key: string, attempt: string): Promise<ClaimOutcome>
  /** Records that the claimed request has run. */
  complete (service: string, key: string, attempt: string): Promise<void>
  /** Gives a claim back; tried again in the background until the table service answers. */
  release (service: string, key: string, attempt: string): Promise<void>
  /** Tries the waiting releases; to be called now and then. */
  retryReleases (): Promise<void>
}

/** Options of {@link createClaimStore}. */
export interface ClaimStoreOptions {
  readonly table: TableService
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

interface Existing { readonly revision: number, readonly claim: Claim }

/**
 * Creates the claims over a table service.
 *
 * @param options Table service and clock.
 * @returns The claims; no call throws.
 */
export function createClaimStore (options: ClaimStoreOptions): ClaimStore {
  const { table, now } = options
  const releases = new Map<string, string>()
  let refuseUntil = 0
  let nextReleaseAt = 0

  /** Reads a claim; `null` where there is none, `undefined` where it cannot be read. */
  async function read (key: string): Promise<Existing | null | undefined> {
    const row = await table.read(key)
    if (!row.ok) return undefined
    const claim = claimSchema.safeParse(row.value?.value)
    return row.value === null || !claim.success ? null : { revision: row.value.revision, claim: claim.data }
  }

  function unavailable (): ClaimOutcome {
    refuseUntil = now() + PAUSE_MS
    return { kind: 'unavailable' }
  }

  async function overwrite (key: string, existing: Existing, claim: Claim): Promise<boolean> {
    const written = await table.write([{ key, expectedRevision: existing.revision, value: claim }])
    return written.ok
  }

  /** Returns whether the key is free of the attempt, as far as can be known. */
  async function tryRelease (key: string, attempt: string): Promise<boolean> {
    const existing = await read(key)
    if (existing === undefined) return false
    if (existing === null || existing.claim.attempt !== attempt || existing.claim.state !== 'claimed') return true
    return await overwrite(key, existing, { attempt, state: 'released' })
  }

  return {
    async claim (service, idempotencyKey, attempt) {
      if (now() < refuseUntil) return { kind: 'unavailable' }
      const key = keyOf(service, idempotencyKey)
      const claim: Claim = { attempt, state: 'claimed' }
      const written = await table.write([{ key, expectedRevision: 0, value: claim }])
      if (written.ok) return { kind: 'claimed' }
      const existing = await read(key)
      if (existing === undefined || existing === null) return unavailable()
      if (existing.claim.attempt === attempt && existing.claim.state === 'claimed') return { kind: 'claimed' }
      if (existing.claim.state !== 'released') return { kind: 'held', done: existing.claim.state === 'done' }
      return await overwrite(key, existing, claim) ? { kind: 'claimed' } : unavailable()
    },
    async complete (service, idempotencyKey, attempt) {
      const key = keyOf(service, idempotencyKey)
      const existing = await read(key)
      if (existing?.claim.attempt === attempt) await overwrite(key, existing, { attempt, state: 'done' })
    },
    async release (service, idempotencyKey, attempt) {
      const key = keyOf(service, idempotencyKey)
      if (now() >= refuseUntil && await tryRelease(key, attempt)) return
      if (releases.size < MAXIMUM_RELEASES) releases.set(attempt, key)
    },
    async retryReleases () {
      if (releases.size === 0 || now() < nextReleaseAt) return
      nextReleaseAt = now() + RELEASE_INTERVAL_MS
      for (const [attempt, key] of [...releases]) {
        if (!await tryRelease(key, attempt)) return
        releases.delete(attempt)
      }
    }
  }
}

function keyOf (service: string, idempotencyKey: string): string {
  return `${CLAIM_PREFIX}${service}/${idempotencyKey}`
}
