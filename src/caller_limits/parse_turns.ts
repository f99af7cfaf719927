/**
 * Shares the time for parsing among the connections of a host.
 *
 * One-byte chunks take a microsecond or more each, so a crowd can fill any
 * processor. The runtime accepts one connection in each turn of its event loop;
 * without a bound on the time of a turn, callers behind the crowd would wait
 * for minutes. What is parsed quickly is parsed when it arrives; only the rest
 * of what is not waits, one connection after the other.
 */

/** Parses the next part of a connection; returns whether more is waiting and may be parsed. */
export type TakeTurn = () => boolean

/** Time for parsing on one host. */
export interface ParseTurns {
  /** Parses parts of a connection: some now, and the rest in the next turns. */
  add (takeTurn: TakeTurn): void
}

/** Options of {@link createParseTurns}. */
export interface ParseTurnsOptions {
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Runs a callback in the next turn. Default: `setImmediate`. */
  readonly schedule?: (callback: () => void) => void
}

/** Time for parsing what waits in one turn of the event loop, in milliseconds. */
const TURN_MS = 8

/** Time for parsing what has just arrived on one connection, in milliseconds: some times as long as one read of a body in large chunks takes. */
const ARRIVAL_MS = 0.5

/**
 * Creates turns in which nothing waits.
 *
 * @param options Clock and scheduling.
 * @returns The turns.
 */
export function createParseTurns (options: ParseTurnsOptions): ParseTurns {
  const { now } = options
  const schedule = options.schedule ?? ((callback: () => void) => { setImmediate(callback) })
  const waiting = new Set<TakeTurn>()
  let isScheduled = false

  function scheduleTurn (): void {
    if (isScheduled) return
    isScheduled = true
    schedule(() => {
      isScheduled = false
      const until = now() + TURN_MS
      for (const takeTurn of waiting) {
        while (now() < until && takeTurn());
        if (now() >= until) break
        waiting.delete(takeTurn)
      }
      if (waiting.size > 0) scheduleTurn()
    })
  }

  return {
    add (takeTurn) {
      if (waiting.has(takeTurn)) return
      const until = now() + ARRIVAL_MS
      while (takeTurn()) {
        if (now() < until) continue
        waiting.add(takeTurn)
        return scheduleTurn()
      }
    }
  }
}
