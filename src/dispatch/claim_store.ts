/**
 * Claims on idempotency keys in the table service: the first attempt that
 * writes the row may run; later attempts find that the key is in use. The claim
 * of a request that was not run is released, even if the response to the claim was lost.
 */
import { z } from 'zod'
import type { TableService } from '../ports/mod.ts'

/** Prefix of the table keys of claims. */
const CLAIM_PREFIX = 'gooseberryfold-claims/'

/** How long claims fail immediately after the table service did not respond, in milliseconds. */
const UNAVAILABLE_PAUSE_MS = 500

/** Interval between attempts to release pending claims, in milliseconds. */
const RELEASE_INTERVAL_MS = 1000

/** Maximum number of pending releases. */
const MAXIMUM_PENDING_RELEASES = 10_000

const claimSchema = z.object({ attempt: z.string(), state: z.enum(['claimed', 'done', 'released']) })

/** A claim as stored in its row. */
type Claim = z.infer<typeof claimSchema>

/** Outcome of a claim. After `unavailable` the claim may have been written and must be released. */
export type ClaimOutcome =
  | { readonly kind: 'claimed' }
  | { readonly kind: 'held', readonly done: boolean }
  | { readonly kind: 'unavailable' }

/** Claims of one host. */
export interface ClaimStore {
  /** Claims a key for an attempt; the identifier of the attempt must be unique. */
  claim (service: string, key: string, attempt: string): Promise<ClaimOutcome>
  /** Records that the claimed request has run. */
  complete (service: string, key: string, attempt: string): Promise<void>
  /** Releases a claim; if the table service does not respond, the release is retried in the background. */
  release (service: string, key: string, attempt: string): Promise<void>
  /** Retries pending releases; call it periodically. */
  retryReleases (): Promise<void>
}

/** Options of {@link createClaimStore}. */
export interface ClaimStoreOptions {
  readonly table: TableService
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

interface StoredClaim { readonly revision: number, readonly claim: Claim }

/**
 * Creates a claim store on a table service.
 *
 * @param options Table service and clock.
 * @returns The claim store; its methods do not throw.
 */
export function createClaimStore (options: ClaimStoreOptions): ClaimStore {
  const { table, now } = options
  const pendingReleases = new Map<string, string>()
  let unavailableUntil = 0
  let nextReleaseAt = 0

  /** Reads a claim; returns `null` if there is none and `undefined` if it cannot be read. */
  async function read (key: string): Promise<StoredClaim | null | undefined> {
    const row = await table.read(key)
    if (!row.ok) return undefined
    const claim = claimSchema.safeParse(row.value?.value)
    return row.value === null || !claim.success ? null : { revision: row.value.revision, claim: claim.data }
  }

  function recordUnavailable (): ClaimOutcome {
    unavailableUntil = now() + UNAVAILABLE_PAUSE_MS
    return { kind: 'unavailable' }
  }

  async function overwrite (key: string, existing: StoredClaim, claim: Claim): Promise<boolean> {
    const written = await table.write([{ key, expectedRevision: existing.revision, value: claim }])
    return written.ok
  }

  /** Releases a claim; returns `false` if the attempt may still hold the key. */
  async function tryRelease (key: string, attempt: string): Promise<boolean> {
    const existing = await read(key)
    if (existing === undefined) return false
    if (existing === null || existing.claim.attempt !== attempt || existing.claim.state !== 'claimed') return true
    return await overwrite(key, existing, { attempt, state: 'released' })
  }

  return {
    async claim (service, idempotencyKey, attempt) {
      if (now() < unavailableUntil) return { kind: 'unavailable' }
      const key = keyOf(service, idempotencyKey)
      const claim: Claim = { attempt, state: 'claimed' }
      const written = await table.write([{ key, expectedRevision: 0, value: claim }])
      if (written.ok) return { kind: 'claimed' }
      const existing = await read(key)
      if (existing === undefined || existing === null) return recordUnavailable()
      if (existing.claim.attempt === attempt && existing.claim.state === 'claimed') return { kind: 'claimed' }
      if (existing.claim.state !== 'released') return { kind: 'held', done: existing.claim.state === 'done' }
      return await overwrite(key, existing, claim) ? { kind: 'claimed' } : recordUnavailable()
    },
    async complete (service, idempotencyKey, attempt) {
      const key = keyOf(service, idempotencyKey)
      const existing = await read(key)
      if (existing?.claim.attempt === attempt) await overwrite(key, existing, { attempt, state: 'done' })
    },
    async release (service, idempotencyKey, attempt) {
      const key = keyOf(service, idempotencyKey)
      if (now() >= unavailableUntil && await tryRelease(key, attempt)) return
      if (pendingReleases.size < MAXIMUM_PENDING_RELEASES) pendingReleases.set(attempt, key)
    },
    async retryReleases () {
      if (pendingReleases.size === 0 || now() < nextReleaseAt) return
      nextReleaseAt = now() + RELEASE_INTERVAL_MS
      for (const [attempt, key] of [...pendingReleases]) {
        if (!await tryRelease(key, attempt)) return
        pendingReleases.delete(attempt)
      }
    }
  }
}

function keyOf (service: string, idempotencyKey: string): string {
  return `${CLAIM_PREFIX}${service}/${idempotencyKey}`
}
