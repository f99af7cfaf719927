/** Records what callers and backend servers observe, and reports violated guarantees. */

/** Names of the guarantees; the values appear in the lines of failed runs. */
export const Guarantees = {
  oneOwner: 'one-owner', tokensRise: 'tokens-rise', once: 'at-most-once', notRun: 'not-run-is-true', completeResponse: 'whole-answer', onlySentRequests: 'only-what-was-asked', leaving: 'leaving-server', evacuated: 'evacuated-zone', graceful: 'graceful-shutdown', served: 'served-again', memory: 'bounded-memory', callersLeft: 'callers-left', limit: 'request-limit', fatalRequest: 'fatal-request', retryBudget: 'retry-budget'
} as const
/** One of the values of {@link Guarantees}. */
export type GuaranteeName = typeof Guarantees[keyof typeof Guarantees]

/** Observations of one run, and the violations found in them. */
export interface GuaranteeChecker {
  reportViolation (guarantee: GuaranteeName, text: string): void
  /** Records that a caller sends an attempt. */
  recordSent (id: string, options: { readonly once: boolean, readonly body: string }): void
  /** Records that a backend server starts to run an attempt. */
  recordStarted (id: string, server: string, body: string): void
  /** Records the response to an attempt; status 0 if the caller got none. */
  recordResponse (id: string, response: { readonly status: number, readonly body: string, readonly signed: boolean }): void
  /** Records that the caller of an attempt closes its connection. */
  recordLeft (id: string): void
  /** Returns the time since the caller of an attempt closed its connection, in milliseconds; 0 if it has not. */
  leftSinceMs (id: string): number
  /** Returns whether a server has started to run an attempt. */
  hasStarted (id: string): boolean
  readonly failures: string[]
  readonly counts: { sent: number, served: number, refused: number, left: number, other: number }
  /** Returns the number of requests served since its last call. */
  takeServedCount (): number
}

interface Attempt { readonly once: boolean, readonly body: string, runs: number, refused: boolean, leftAt: number }

/** Maximum number of failures that are kept; the first ones are the most useful. */
const MAXIMUM_FAILURES = 50

/**
 * Creates a checker without observations.
 *
 * @param now Returns the milliseconds since the start of the run.
 * @returns The checker.
 */
export function createGuaranteeChecker (now: () => number): GuaranteeChecker {
  const attempts = new Map<string, Attempt>()
  const failures: string[] = []
  const counts = { sent: 0, served: 0, refused: 0, left: 0, other: 0 }
  let servedSinceLastCall = 0

  function reportViolation (guarantee: GuaranteeName, text: string): void {
    if (failures.length < MAXIMUM_FAILURES) failures.push(`${(now() / 1000).toFixed(2)} s ${guarantee}: ${text}`)
  }

  return {
    reportViolation,
    recordSent (id, options) {
      counts.sent++
      attempts.set(id, { ...options, runs: 0, refused: false, leftAt: Infinity })
    },
    recordStarted (id, server, body) {
      const attempt = attempts.get(id)
      if (attempt === undefined) return reportViolation(Guarantees.onlySentRequests, `${server} runs ${id}, which no caller sent`)
      if (body !== attempt.body) reportViolation(Guarantees.onlySentRequests, `${server} runs ${id} with another body`)
      attempt.runs++
      if (attempt.once && attempt.runs > 1) reportViolation(Guarantees.once, `${id} runs for the ${attempt.runs}th time, at ${server}`)
      if (attempt.once && attempt.refused) reportViolation(Guarantees.notRun, `${id} runs at ${server} after it was refused`)
    },
    recordResponse (id, response) {
      const attempt = attempts.get(id)
      if (attempt === undefined) return
      if (response.status === 200) {
        counts.served++
        servedSinceLastCall++
        if (!response.signed || response.body !== `done ${id}`) reportViolation(Guarantees.completeResponse, `${id} got ${JSON.stringify(response.body)}`)
      } else if (response.status === 503) {
        counts.refused++
        attempt.refused = true
        if (attempt.once && attempt.runs > 0) reportViolation(Guarantees.notRun, `${id} was refused although it ran`)
      } else if (attempt.leftAt === Infinity) counts.other++
    },
    recordLeft (id) {
      const attempt = attempts.get(id)
      if (attempt === undefined) return
      counts.left++
      attempt.leftAt = now()
    },
    leftSinceMs: (id) => Math.max(0, now() - (attempts.get(id)?.leftAt ?? Infinity)),
    hasStarted: (id) => (attempts.get(id)?.runs ?? 0) > 0,
    failures,
    counts,
    takeServedCount () {
      const result = servedSinceLastCall
      servedSinceLastCall = 0
      return result
    }
  }
}
