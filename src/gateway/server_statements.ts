/**
 * Load of servers as they state it in their responses.
 *
 * A statement describes one moment. Servers that share their machine with
 * others are slow for fractions of a second, so a statement counts for less the
 * older it is, and never changes the mean duration that is learned.
 */
import type { RoutedServer } from '../routing/mod.ts'

/** What a server has stated. */
export interface ServerStatement {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Present duration of work as a multiple of the usual one. */
  readonly slowdown: number
}

/** Statements as one host knows them. */
export interface ServerStatements {
  /** Records the header of a response; values that are no statement are ignored. */
  record (server: RoutedServer, value: string): void
  /** Factor by which work on the server takes longer now than usual, given the age of its statement; 1 if nothing is known. */
  slowdown (server: RoutedServer): number
  /** Requests at the server that this host has not sent, given those that it has in flight there; 0 if nothing recent is known. */
  foreignRequests (server: RoutedServer, ownInFlight: number): number
}

/** Age at which a statement of the present speed no longer says anything, in milliseconds: about two durations of a request, and the speed changes many times a second. */
const SPEED_RELEVANCE_MS = 400

/** Age up to which the stated numbers of requests are used, in milliseconds. */
const COUNT_RELEVANCE_MS = 150

/** Bounds of a plausible slowdown. */
const SLOWDOWN_RANGE = { minimum: 0.2, maximum: 10 } as const

/** Number of servers above which outdated statements are removed. */
const MAXIMUM_STATEMENTS = 4096

interface Observation { readonly bornAt: number, readonly statement: ServerStatement, readonly at: number }

/**
 * Parses a statement.
 *
 * @param value Running, waiting, slots and, optionally, present duration in percent of the usual one, separated by commas.
 * @returns The statement, or `null` if the value is none.
 */
export function parseServerStatement (value: string): ServerStatement | null {
  const figures = value.split(',').map((figure) => /^\s*\d{1,6}\s*$/.test(figure) ? Number(figure) : NaN)
  const [running = NaN, waiting = NaN, slots = NaN, percent = 100] = figures
  if (figures.length > 4 || figures.some(Number.isNaN) || Number.isNaN(running + waiting + slots) || slots < 1 || percent < 1) return null
  return { running, waiting, slots, slowdown: Math.min(SLOWDOWN_RANGE.maximum, Math.max(SLOWDOWN_RANGE.minimum, percent / 100)) }
}

/**
 * Creates a record without statements.
 *
 * @param now Monotonic time in milliseconds.
 * @returns The record.
 */
export function createServerStatements (now: () => number): ServerStatements {
  const observations = new Map<string, Observation>()

  function recent (server: RoutedServer, maximumAgeMs: number): Observation | null {
    const observation = observations.get(server.id)
    return observation === undefined || observation.bornAt !== server.bornAt || now() - observation.at > maximumAgeMs ? null : observation
  }

  return {
    record (server, value) {
      const statement = parseServerStatement(value)
      if (statement === null) return
      if (observations.size >= MAXIMUM_STATEMENTS) {
        for (const [id, { at }] of observations) if (now() - at > SPEED_RELEVANCE_MS) observations.delete(id)
      }
      observations.set(server.id, { bornAt: server.bornAt, statement, at: now() })
    },
    slowdown (server) {
      const observation = recent(server, SPEED_RELEVANCE_MS)
      if (observation === null) return 1
      const relevance = 1 - (now() - observation.at) / SPEED_RELEVANCE_MS
      return 1 + (observation.statement.slowdown - 1) * relevance
    },
    foreignRequests (server, ownInFlight) {
      const observation = recent(server, COUNT_RELEVANCE_MS)
      // The response that carries the statement may still count as running.
      return observation === null ? 0 : Math.max(0, observation.statement.running + observation.statement.waiting - ownInFlight - 1)
    }
  }
}
