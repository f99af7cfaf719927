/**
 * Request rates that servers have named as the most that they take from all
 * hosts together. A server in need names its limit in its responses, for as
 * long as it holds.
 */
import type { RoutedServer } from '../routing/mod.ts'

/** What a response of a server says about its limit. */
export interface LimitStatement {
  /** Value of the header; `undefined` if the response has none. */
  readonly value: string | undefined
  /** When the request was sent; monotonic time in milliseconds. */
  readonly sentAt: number
}

/** A change of what is known about the limit of a server. */
export interface LimitChange {
  readonly server: string
  /** Requests per second; `null` if the server no longer names a limit. */
  readonly perSecond: number | null
  readonly previousPerSecond: number | null
}

/** Limit of a server with its age. */
export interface LimitObservation {
  /** Requests per second; `null` if the server no longer names a limit. */
  readonly perSecond: number | null
  /** Time since a response of the server showed this, in milliseconds. */
  readonly ageMs: number
}

/** Limits as one host knows them. */
export interface RequestLimits {
  /** Records what a complete response of the server says. */
  record (server: RoutedServer, statement: LimitStatement): void
  /** Requests per second that the server takes from all hosts together; `null` if it has named no limit. */
  limitOf (server: RoutedServer): number | null
  /** The last observation of each server that has recently named a limit. */
  observations (): Map<string, LimitObservation>
}

/** Options of {@link createRequestLimits}. */
export interface RequestLimitsOptions {
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Called when a server names a limit, changes it or no longer names one. */
  readonly onChange: (change: LimitChange) => void
}

/** Time after which a limit that no further response has confirmed is forgotten, in milliseconds. */
const LIMIT_RETENTION_MS = 10_000

/** Number of requests that a server may take before its limit is forgotten: a low limit lets few responses confirm it. */
const RETAINED_REQUESTS = 3

interface LimitState {
  readonly bornAt: number
  perSecond: number | null
  /** When a response last showed the limit, or its end. */
  observedAt: number
}

/**
 * Parses the limit that a response states.
 *
 * @param value Value of the header.
 * @returns Requests per second, or `null` if the value is not a positive decimal number.
 */
export function parseRequestLimit (value: string): number | null {
  const limit = /^\d+(\.\d+)?$/.test(value) ? Number(value) : NaN
  return Number.isFinite(limit) && limit > 0 ? limit : null
}

/** Time for which an unconfirmed limit is kept, in milliseconds. */
export function limitRetentionMs (perSecond: number): number {
  return Math.max(LIMIT_RETENTION_MS, RETAINED_REQUESTS * 1000 / perSecond)
}

/**
 * Creates limits of which nothing is known.
 *
 * @param options Clock and callback.
 * @returns The limits.
 */
export function createRequestLimits (options: RequestLimitsOptions): RequestLimits {
  const { now } = options
  const states = new Map<string, LimitState>()

  /** State of a server; a restarted server has another one. */
  function stateOf (server: RoutedServer): LimitState | undefined {
    const state = states.get(server.id)
    if (state === undefined) return undefined
    const isOutdated = state.perSecond !== null && now() - state.observedAt > limitRetentionMs(state.perSecond)
    if (state.bornAt === server.bornAt && !isOutdated) return state
    states.delete(server.id)
    return undefined
  }

  function change (server: RoutedServer, perSecond: number | null): void {
    const previousPerSecond = stateOf(server)?.perSecond ?? null
    states.set(server.id, { bornAt: server.bornAt, perSecond, observedAt: now() })
    if (perSecond !== previousPerSecond) options.onChange({ server: server.id, perSecond, previousPerSecond })
  }

  return {
    record (server, { value, sentAt }) {
      const state = stateOf(server)
      if (value !== undefined) {
        const perSecond = parseRequestLimit(value)
        if (perSecond !== null) change(server, perSecond)
        return
      }
      // A response to an earlier request may have been created before the server named its limit.
      if (state !== undefined && state.perSecond !== null && sentAt >= state.observedAt) change(server, null)
    },
    limitOf: (server) => stateOf(server)?.perSecond ?? null,
    observations () {
      const observations = new Map<string, LimitObservation>()
      for (const [id, { perSecond, observedAt }] of states) {
        const ageMs = now() - observedAt
        if (ageMs > limitRetentionMs(perSecond ?? Infinity)) states.delete(id)
        else observations.set(id, { perSecond, ageMs: Math.round(ageMs) })
      }
      return observations
    }
  }
}
