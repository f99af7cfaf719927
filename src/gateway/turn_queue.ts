/**
 * Starts one request in each turn of the event loop.
 *
 * The runtime accepts one connection in each turn, and reads from all of them.
 * If everything that was read started at once, a busy process would take long
 * turns, in which callers with a new connection wait unaccepted, and the close
 * of a connection is read only after its request has been sent.
 */

/** Queue of one process. */
export interface TurnQueue {
  /** Resolves in a turn of its own, in the order of the calls, and after the process has polled its connections: one that has been closed by now is known to be closed. */
  next (): Promise<void>
}

interface Waiting {
  /** Turn in which the wait began. */
  readonly turn: number
  readonly resolve: () => void
}

/** Turns after which the process has polled its connections: the first may be the end of the turn in which the wait began. */
const TURNS_WITH_POLL = 2

/**
 * Creates an empty queue.
 *
 * @returns The queue.
 */
export function createTurnQueue (): TurnQueue {
  const waiting: Waiting[] = []
  let turn = 0
  let isScheduled = false

  function schedule (): void {
    if (isScheduled) return
    isScheduled = true
    setImmediate(runTurn)
  }

  function runTurn (): void {
    isScheduled = false
    turn++
    const [first] = waiting
    if (first === undefined) return
    schedule()
    if (turn - first.turn < TURNS_WITH_POLL) return
    waiting.shift()
    first.resolve()
  }

  return {
    next: () => new Promise((resolve) => {
      waiting.push({ turn, resolve })
      schedule()
    })
  }
}
