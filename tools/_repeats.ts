/** Finds in the logs of hosts the arrivals beyond the first of each request, and what paid for them. */
import type { AttemptCost, AttemptReach } from '../src/gateway/mod.ts'

/** An attempt as a line of a request has it. */
export interface LoggedAttempt {
  readonly server: string
  readonly outcome: string
  readonly durationMs: number
  readonly reach: AttemptReach
  /** Absent in the lines of relays. */
  readonly cost?: AttemptCost
  readonly relay?: string
}

/** A repeat that may have reached a server. */
export interface Repeat {
  /** When it was sent, about: the time of the line less the durations of this attempt and later ones; milliseconds since the epoch. */
  readonly atMs: number
  readonly host: string
  readonly request: string
  /** Attempts of the request before this one. */
  readonly earlier: readonly LoggedAttempt[]
  readonly attempt: LoggedAttempt
}

/** Which repeats are found. */
export interface FindRepeatsOptions {
  readonly service: string
  /** Window, in milliseconds since the epoch; its end is not part of it. */
  readonly fromMs: number
  readonly toMs: number
}

/** What the logs say on a service in a window. */
export interface FoundRepeats {
  /** By time. */
  readonly repeats: readonly Repeat[]
  /** Number of lines that hosts left out in the window: so many requests may be missing. */
  readonly droppedLines: number
}

/**
 * Reads the pairs of one line.
 *
 * @param line The line.
 * @returns Values by key.
 */
export function parseLogLine (line: string): ReadonlyMap<string, string> {
  return new Map([...line.matchAll(/([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)/g)].map(([, key = '', value = '']) => [key, value.startsWith('"') ? String(JSON.parse(value)) : value]))
}

/**
 * Reads the field `attempts` of a line.
 *
 * @param text The field.
 * @returns The attempts, in the order in which they were made.
 */
export function parseAttempts (text: string): LoggedAttempt[] {
  const pattern = /([^:,]+):([^:(,]+)(?:\(.*?\))?:(\d+)ms:\d+busy:\d+expected(?::via=([^:,]+))?:reach=(\w+)(?::cost=(\w+))?/g
  return [...text.matchAll(pattern)].map(([, server = '', outcome = '', durationMs, relay, reach, cost]) => ({
    server, outcome, durationMs: Number(durationMs), reach: reach as AttemptReach, ...(cost === undefined ? {} : { cost: cost as AttemptCost }), ...(relay === undefined ? {} : { relay })
  }))
}

/**
 * Finds the repeats to a service.
 *
 * @param logs Lines of each host.
 * @param options Service and window.
 * @returns The repeats of all hosts.
 */
export function findRepeats (logs: ReadonlyMap<string, readonly string[]>, { service, fromMs, toMs }: FindRepeatsOptions): FoundRepeats {
  const repeats: Repeat[] = []
  let droppedLines = 0
  const isInWindow = (atMs: number): boolean => atMs >= fromMs && atMs < toMs

  for (const [host, lines] of logs) {
    for (const line of lines) {
      if (!line.includes(`service=${service} `) && !line.includes('event=request-log-lines-dropped')) continue
      const pairs = parseLogLine(line)
      const endedAtMs = Date.parse(pairs.get('time') ?? '')
      if (pairs.get('event') === 'request-log-lines-dropped' && isInWindow(endedAtMs)) droppedLines += Number(pairs.get('leftOut'))
      const attempts = parseAttempts(pairs.get('attempts') ?? '')
      let atMs = endedAtMs
      for (const [index, attempt] of [...attempts.entries()].reverse()) {
        atMs -= attempt.durationMs
        if (attempt.reach === 'none' || attempt.cost === undefined || attempt.cost === 'first' || !isInWindow(atMs)) continue
        repeats.push({ atMs, host, request: pairs.get('request') ?? '', earlier: attempts.slice(0, index), attempt })
      }
    }
  }
  return { repeats: repeats.sort((left, right) => left.atMs - right.atMs), droppedLines }
}

/**
 * Finds the largest number of repeats in any window of a given length.
 *
 * @param repeats Repeats by time.
 * @param windowMs Length of the window, in milliseconds.
 * @returns When that window begins, in milliseconds since the epoch, and the number.
 */
export function worstWindow (repeats: readonly Repeat[], windowMs: number): { readonly fromMs: number, readonly count: number } {
  let worst = { fromMs: 0, count: 0 }
  let end = 0
  for (const [begin, { atMs }] of repeats.entries()) {
    while ((repeats[end]?.atMs ?? Infinity) < atMs + windowMs) end++
    if (end - begin > worst.count) worst = { fromMs: atMs, count: end - begin }
  }
  return worst
}
