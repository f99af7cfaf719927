/**
 * Claims on idempotency keys in the table service: the first attempt that
 * writes the row may run, every later one learns that the key was used.
 */
import { z } from 'zod'
import type { TableService } from '../ports/mod.ts'

/** Start of the table keys of claims. */
const CLAIM_PREFIX = 'gooseberryfold-claims/'

/** Tries to learn what became of a claim whose answer was lost. */
const READ_BACK_TRIES = 3

const claimSchema = z.object({ attempt: z.string(), done: z.boolean() })

/** What became of a claim. */
export type ClaimOutcome =
  | { readonly kind: 'claimed' }
  | { readonly kind: 'held', readonly done: boolean }
  | { readonly kind: 'unavailable' }

/** Claims of one host. */
export interface ClaimStore {
  claim (service: string, key: string, attempt: string): Promise<ClaimOutcome>
  /** Records that the claimed request has run. */
  complete (service: string, key: string, attempt: string): Promise<void>
}

/**
 * Creates the claims over a table service.
 *
 * @param table The table service.
 * @returns The claims; no call throws.
 */
export function createClaimStore (table: TableService): ClaimStore {
  async function read (key: string): Promise<{ readonly revision: number, readonly attempt: string, readonly done: boolean } | null | undefined> {
    const row = await table.read(key)
    if (!row.ok) return undefined
    const value = claimSchema.safeParse(row.value?.value)
    return row.value === null || !value.success ? null : { revision: row.value.revision, ...value.data }
  }

  return {
    async claim (service, idempotencyKey, attempt) {
      const key = `${CLAIM_PREFIX}${service}/${idempotencyKey}`
      for (let tries = 0; tries < READ_BACK_TRIES; tries++) {
        const written = await table.write([{ key, expectedRevision: 0, value: { attempt, done: false } }])
        if (written.ok) return { kind: 'claimed' }
        const existing = await read(key)
        if (existing === undefined || existing === null) continue
        return existing.attempt === attempt ? { kind: 'claimed' } : { kind: 'held', done: existing.done }
      }
      return { kind: 'unavailable' }
    },
    async complete (service, idempotencyKey, attempt) {
      const key = `${CLAIM_PREFIX}${service}/${idempotencyKey}`
      const existing = await read(key)
      if (existing === undefined || existing === null || existing.attempt !== attempt) return
      await table.write([{ key, expectedRevision: existing.revision, value: { attempt, done: true } }])
    }
  }
}
