/** Limits the number of concurrent calls to each server. */
import type { ControlOutcome } from './server_control.ts'

/** Maximum concurrent calls to a server. */
const MAXIMUM_CALLS_PER_SERVER = 6

/** Maximum concurrent renewals to a server; each unanswered renewal extends the time until its range can move. */
const MAXIMUM_RENEWALS_PER_SERVER = 2

/** Calls in progress of one range controller. */
export interface ServerCalls {
  /** Runs a call and counts it as in progress until it ends. */
  run (server: string, call: () => Promise<ControlOutcome>): Promise<ControlOutcome>
  /** Whether another call to the server may start; the limit for renewals is lower. */
  hasCapacity (server: string, isRenewal?: boolean): boolean
}

/**
 * Creates a limiter without calls in progress.
 *
 * @param isUnresponsive Whether a server does not respond; such a server gets one call at a time.
 * @returns The limiter.
 */
export function createServerCalls (isUnresponsive: (server: string) => boolean): ServerCalls {
  const calls = new Map<string, number>()

  return {
    async run (server, call) {
      calls.set(server, (calls.get(server) ?? 0) + 1)
      try {
        return await call()
      } finally {
        calls.set(server, (calls.get(server) ?? 1) - 1)
      }
    },
    hasCapacity (server, isRenewal = false) {
      const limit = isUnresponsive(server) ? 1 : isRenewal ? MAXIMUM_RENEWALS_PER_SERVER : MAXIMUM_CALLS_PER_SERVER
      return (calls.get(server) ?? 0) < limit
    }
  }
}
