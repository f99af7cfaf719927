/** Tracks the leader's heartbeats and whether they are recent enough to rely on. */
import type { Update } from '../replication/mod.ts'
import { TaskTiming } from './_task_timing.ts'

/** Message that the leader sends at regular intervals. */
export type Heartbeat = Extract<Update, { readonly kind: 'beat' }>

/** Leader monitor of one host. */
export interface LeaderMonitor {
  /** Records a heartbeat and the address that sent it. */
  recordHeartbeat (heartbeat: Heartbeat, address: string): void
  /** Records that the leader has resigned, so that its data is out of date from now on. */
  recordResigned (): void
  /** Whether the last heartbeat is recent and the leader had recently read the store. */
  isFresh (): boolean
  /** Whether heartbeats arrive, however old the leader's data from the store is. */
  isReceiving (): boolean
  /** Time for which heartbeats have shown data that is too old, in milliseconds; 0 if they have not. */
  staleMs (): number
  /** Whether the process at the address still sends heartbeats; it may be unable to reach the store. */
  isRespondingAt (address: string | undefined): boolean
  /** Interval between two reports of a host, in milliseconds. */
  intervalMs (): number
  setIntervalMs (intervalMs: number): void
}

/**
 * Creates a monitor that has received no heartbeat.
 *
 * @param now Monotonic time in milliseconds.
 * @returns The monitor.
 */
export function createLeaderMonitor (now: () => number): LeaderMonitor {
  let lastHeartbeat = { storeAgeMs: Infinity, at: -Infinity, address: '' }
  let intervalMs: number = TaskTiming.loadIntervalMs

  function staleAfterMs (): number {
    return TaskTiming.staleAfterMs + intervalMs
  }

  return {
    recordHeartbeat (heartbeat, address) {
      lastHeartbeat = { storeAgeMs: heartbeat.leading ? heartbeat.storeAgeMs : Infinity, at: now(), address }
      intervalMs = heartbeat.intervalMs
    },
    recordResigned () { lastHeartbeat = { ...lastHeartbeat, at: now(), storeAgeMs: staleAfterMs() } },
    isFresh () {
      const sinceMs = now() - lastHeartbeat.at
      return sinceMs < staleAfterMs() && lastHeartbeat.storeAgeMs + sinceMs < staleAfterMs()
    },
    isReceiving: () => now() - lastHeartbeat.at < staleAfterMs(),
    staleMs: () => Math.max(0, lastHeartbeat.storeAgeMs + now() - lastHeartbeat.at - staleAfterMs()),
    isRespondingAt: (address) => lastHeartbeat.address === address && now() - lastHeartbeat.at < staleAfterMs(),
    intervalMs: () => intervalMs,
    setIntervalMs (milliseconds) { intervalMs = milliseconds }
  }
}
