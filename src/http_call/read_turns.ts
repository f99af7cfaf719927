/**
 * Shares the time for parsing among the connections that this process has opened.
 *
 * A body may come in chunks of one byte, and a read of 64 KB then takes
 * milliseconds to parse; the runtime parses many reads of one connection in one
 * turn of its event loop. Here a connection whose last read had many parts waits
 * for its turn, and each turn of the event loop has one of them, so that a server
 * which sends without end delays others by one read.
 */

/** Turns of one process. */
export interface ReadTurns {
  /** Calls `read` in a later turn of the event loop, after those that wait already. */
  add (read: () => void): void
}

/** Options of {@link createReadTurns}. */
export interface ReadTurnsOptions {
  /** Runs a callback in the next turn. Default: `setImmediate`. */
  readonly schedule?: (callback: () => void) => void
}

/**
 * Creates turns in which nothing waits.
 *
 * @param options Scheduling.
 * @returns The turns.
 */
export function createReadTurns ({ schedule = (callback) => { setImmediate(callback) } }: ReadTurnsOptions = {}): ReadTurns {
  const waiting: Array<() => void> = []
  let isScheduled = false

  function scheduleTurn (): void {
    if (isScheduled || waiting.length === 0) return
    isScheduled = true
    schedule(() => {
      isScheduled = false
      waiting.shift()?.()
      scheduleTurn()
    })
  }

  return {
    add (read) {
      waiting.push(read)
      scheduleTurn()
    }
  }
}
