/** Calls that are in progress at each server, and whether there is room for another. */
import type { ControlOutcome } from './server_control.ts'

/** Calls to one server that may be in progress at the same time. */
const CALLS_PER_SERVER = 6

/** Renewals to one server that may be in progress at the same time: each that goes unanswered makes its range wait longer. */
const RENEWALS_PER_SERVER = 2

/** Calls of one steward. */
export interface ServerCalls {
  /** Makes a call that counts as in progress at the server. */
  run (server: string, call: () => Promise<ControlOutcome>): Promise<ControlOutcome>
  /** Whether another call may be made; fewer renewals than other calls may be in progress. */
  hasCapacity (server: string, isRenewal?: boolean): boolean
}

/**
 * Creates a record without calls.
 *
 * @param isSilent Whether a server does not answer: it gets one call at a time.
 * @returns The record.
 */
export function createServerCalls (isSilent: (server: string) => boolean): ServerCalls {
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
      const limit = isSilent(server) ? 1 : isRenewal ? RENEWALS_PER_SERVER : CALLS_PER_SERVER
      return (calls.get(server) ?? 0) < limit
    }
  }
}
