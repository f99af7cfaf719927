/**
 * Simulates one server of a keyed service for some seconds, without network:
 * one key is requested far more often than the server can run, callers return
 * after refusals as the platform's callers do, and the server works on as many
 * requests as it has slots. The decisions are those of a function of the test.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { createEventQueue } from './event_queue.ts'

/** The server and its callers; times in milliseconds, rates per second. */
export interface HotKeyLoad {
  readonly seed: number
  readonly slots: number
  readonly workMs: number
  readonly latencyGoalMs: number
  readonly deadlineMs: number
  /** How often a caller returns. */
  readonly returns: number
  /** Requests for the server's other keys, all the time. */
  readonly otherRate: number
  /** Requests for the hot key while it is hot. */
  readonly hotRate: number
  readonly hotFromMs: number
  readonly hotToMs: number
  readonly lengthMs: number
}

/** A request at the moment of a decision. */
export interface SimulatedRequest {
  readonly isHot: boolean
  /** Time since the caller's first attempt, in milliseconds. */
  readonly elapsedMs: number
  readonly remainingMs: number
}

/** Decides on one request; `now` is the simulated time. */
export interface HotKeyPolicy {
  decide (request: SimulatedRequest): { readonly kind: 'admit', readonly end: (durationMs: number) => void } | { readonly kind: 'refuse', readonly returnAfterMs: number }
}

/** Shares of the requests that are owed. */
export interface HotKeyResult {
  readonly inTime: number
  readonly served: number
  /** Served share of the requests for other keys. */
  readonly otherServed: number
  readonly refusalsPerRequest: number
}

/** Longest wait of a caller, as a share of the time that it has left. */
const LONGEST_WAIT_SHARE = 1 / 3

/** Time that a caller needs to return over a new connection, in milliseconds. */
const RETURN_MS = 10

/**
 * Plays one load.
 *
 * @param load The server and its callers.
 * @param createPolicy Creates the policy, given the simulated clock and a random number from 0 to 1.
 * @returns What became of the requests.
 */
export function simulateHotKey (load: HotKeyLoad, createPolicy: (now: () => number, random: () => number) => HotKeyPolicy): HotKeyResult {
  const generator = xoroshiro128plus(load.seed)
  const random = (): number => (uniformInt(generator, 0, 2 ** 30 - 1) + 0.5) / 2 ** 30
  const events = createEventQueue()
  const policy = createPolicy(events.now, random)
  const waiting: Array<() => void> = []
  const counts = { owed: 0, inTime: 0, served: 0, otherOwed: 0, otherServed: 0, refusals: 0 }
  let running = 0

  /** Duration of one request: log-normal, with a mean near the work of the load. */
  function drawWorkMs (): number {
    const normal = Math.sqrt(-2 * Math.log(random())) * Math.cos(2 * Math.PI * random())
    return load.workMs * Math.min(6, Math.exp(0.45 * normal - 0.1))
  }

  function run (done: () => void): void {
    running++
    events.schedule(drawWorkMs(), () => {
      running--
      done()
      waiting.shift()?.()
    })
  }

  function arrive (request: { readonly isHot: boolean, readonly startedAt: number, readonly returns: number }): void {
    const { isHot, startedAt, returns } = request
    const remainingMs = startedAt + load.deadlineMs - events.now()
    const decision = policy.decide({ isHot, elapsedMs: events.now() - startedAt, remainingMs })
    if (decision.kind === 'refuse') {
      counts.refusals++
      const delayMs = Math.min(decision.returnAfterMs, remainingMs * LONGEST_WAIT_SHARE) + RETURN_MS
      if (returns < load.returns && delayMs < remainingMs) events.schedule(delayMs, () => { arrive({ isHot, startedAt, returns: returns + 1 }) })
      return
    }
    const admittedAt = events.now()
    const start = (): void => {
      run(() => {
        decision.end(events.now() - admittedAt)
        const latencyMs = events.now() - startedAt
        if (latencyMs > load.deadlineMs) return
        counts.served++
        if (latencyMs <= load.latencyGoalMs) counts.inTime++
        if (!isHot) counts.otherServed++
      })
    }
    if (running < load.slots) start()
    else waiting.push(start)
  }

  function generate (isHot: boolean, traffic: { readonly rate: number, readonly fromMs: number, readonly toMs: number }): void {
    for (let at = traffic.fromMs; ;) {
      at -= Math.log(random()) / traffic.rate * 1000
      if (at >= traffic.toMs) return
      const startedAt = at
      counts.owed++
      if (!isHot) counts.otherOwed++
      events.schedule(at, () => { arrive({ isHot, startedAt, returns: 0 }) })
    }
  }

  generate(false, { rate: load.otherRate, fromMs: 0, toMs: load.lengthMs })
  generate(true, { rate: load.hotRate, fromMs: load.hotFromMs, toMs: load.hotToMs })
  events.advance(load.lengthMs + load.deadlineMs)
  return { inTime: counts.inTime / counts.owed, served: counts.served / counts.owed, otherServed: counts.otherServed / counts.otherOwed, refusalsPerRequest: counts.refusals / counts.owed }
}
