/** Control interface between entry hosts over tRPC: its router and its clients. */
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import { initTRPC } from '@trpc/server'
import { z } from 'zod'
import type { CellView } from '../cell/mod.ts'
import { describeInvalidStatus } from '../http_call/mod.ts'
import type { TableRow } from '../ports/mod.ts'
import { FIRST_ERA, type StorePosition } from '../store_history/mod.ts'

/** State and handlers behind a host's control interface. */
export interface ControlSource {
  view (): CellView | null
  rowsSince (position: StorePosition): TableRow[]
  bundle (digest: string): string | null
  takeLoads (): Record<string, Record<string, number>>
  onSuspects (suspects: ReadonlyArray<{ readonly fingerprint: string, readonly crashes: number }>): void
  onClearedSuspect (fingerprint: string): void
}

const trpc = initTRPC.create()

/**
 * Creates the control interface of a host.
 *
 * @param source State and handlers of the host.
 * @returns The tRPC router.
 */

export function createControlRouter (source: ControlSource) {
  return trpc.router({
    view: trpc.procedure.query(() => source.view()),
    rows: trpc.procedure.input(z.object({ era: z.number().int().default(FIRST_ERA), since: z.number().int().min(0) }))
      .query(({ input }) => source.rowsSince({ era: input.era, revision: input.since })),
    bundle: trpc.procedure.input(z.object({ digest: z.string() })).query(({ input }) => source.bundle(input.digest)),
    loads: trpc.procedure.mutation(() => source.takeLoads()),
    suspects: trpc.procedure
      .input(z.array(z.object({ fingerprint: z.string(), crashes: z.number().int().min(1) })))
      .mutation(({ input }) => { source.onSuspects(input) }),
    clearSuspect: trpc.procedure.input(z.object({ fingerprint: z.string() }))
      .mutation(({ input }) => { source.onClearedSuspect(input.fingerprint) })
  })
}

/** Type of the control interface. */
export type ControlRouter = ReturnType<typeof createControlRouter>

/** Client of one peer's control interface. */
export type ControlClient = TRPCClient<ControlRouter>

/** Timeout of one call, in milliseconds. */
const CALL_TIMEOUT_MS = 1000

/**
 * Creates a function that returns the client of each peer.
 *
 * @param secret Secret shared by the hosts.
 * @returns The function; it creates one client for each peer and reuses it.
 */
export function createControlClients (secret: string): (host: string) => ControlClient {
  const clients = new Map<string, ControlClient>()
  return (host) => {
    const existing = clients.get(host)
    if (existing !== undefined) return existing
    const client = createTRPCClient<ControlRouter>({
      links: [httpLink({
        url: `http://${host}/control`,
        headers: { 'gooseberryfold-secret': secret },
        fetch: async (url, init) => {
          const response = await fetch(url, { ...init as RequestInit, signal: AbortSignal.timeout(CALL_TIMEOUT_MS) })
          const invalidStatus = describeInvalidStatus(response.status)
          if (invalidStatus !== null) throw new Error(invalidStatus)
          return response
        }
      })]
    })
    clients.set(host, client)
    return client
  }
}
