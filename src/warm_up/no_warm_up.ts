/** Warm-up of servers that are never cold, for hosts without a tracker. */
import type { WarmUpTracker } from './warm_up_tracker.ts'

/** Treats every server as warm. */
export const NO_WARM_UP: Pick<WarmUpTracker, 'isCold' | 'coldForMs' | 'requestsPerSecond' | 'take' | 'returnTaken'> = {
  isCold: () => false,
  coldForMs: () => 0,
  requestsPerSecond: () => null,
  take: () => null,
  returnTaken: () => {}
}
