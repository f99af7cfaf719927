/** Times that remain for a request, and retry delays. */
import { clampRetryAfterMs } from './admission.ts'
import type { Exchange } from './_exchange.ts'

/** Times of requests, in milliseconds. */
export interface ExchangeTimes {
  /** Time until the timeout of the caller or of the route, whichever is earlier. */
  remainingMs (exchange: Exchange): number
  /** Time until the timeout of the caller. */
  callerRemainingMs (exchange: Exchange): number
  /** Time until the latency goal has passed, counted from the caller's first attempt; may be negative. */
  goalRemainingMs (exchange: Exchange): number
  /** Retry delay with jitter, so that callers refused at the same time do not retry at the same time. */
  jitteredRetryAfterMs (exchange: Exchange, suggestedMs: number): number
}

/**
 * Creates the calculation.
 *
 * @param options Monotonic time in milliseconds, and a source of random numbers from 0 to 1.
 * @returns The calculation.
 */
export function createExchangeTimes ({ now, random }: { readonly now: () => number, readonly random: () => number }): ExchangeTimes {
  function callerRemainingMs (exchange: Exchange): number {
    return exchange.callerDeadlineAt - now()
  }

  return {
    remainingMs: (exchange) => exchange.deadlineAt - now(),
    callerRemainingMs,
    goalRemainingMs: (exchange) => exchange.route.latencyGoalMs - exchange.elapsedMs - (now() - exchange.startedAt),
    jitteredRetryAfterMs: (exchange, suggestedMs) => clampRetryAfterMs(suggestedMs * (1 + random()), callerRemainingMs(exchange))
  }
}
