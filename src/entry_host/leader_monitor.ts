/** What a host hears of the leading host, and whether that is recent enough to rely on. */
import type { Update } from '../replication/mod.ts'
import { TaskTiming } from './_task_timing.ts'

/** The leader's regular message. */
export type Heartbeat = Extract<Update, { readonly kind: 'beat' }>

/** Watch of one host. */
export interface LeaderMonitor {
  /** Takes in a message and the address that it came from. */
  recordHeartbeat (beat: Heartbeat, address: string): void
  /** Whether what the leader tells is recent, and rests on a recent look at the store. */
  isFresh (): boolean
  /** Whether a process at the address still speaks, though it may not reach the store. */
  isRespondingAt (address: string | undefined): boolean
  /** Time between two reports of a host, in milliseconds. */
  intervalMs (): number
  setIntervalMs (intervalMs: number): void
}

/**
 * Creates a watch that has heard nothing.
 *
 * @param now Monotonic time in milliseconds.
 * @returns The watch.
 */
export function createLeaderMonitor (now: () => number): LeaderMonitor {
  let heard = { storeAgeMs: Infinity, at: -Infinity, address: '' }
  let intervalMs: number = TaskTiming.loadIntervalMs

  function staleMs (): number {
    return TaskTiming.staleAfterMs + intervalMs
  }

  return {
    recordHeartbeat (beat, address) {
      heard = { storeAgeMs: beat.leading ? beat.storeAgeMs : Infinity, at: now(), address }
      intervalMs = beat.intervalMs
    },
    isFresh () {
      const sinceMs = now() - heard.at
      return sinceMs < staleMs() && heard.storeAgeMs + sinceMs < staleMs()
    },
    isRespondingAt: (address) => heard.address === address && now() - heard.at < staleMs(),
    intervalMs: () => intervalMs,
    setIntervalMs (milliseconds) { intervalMs = milliseconds }
  }
}
