/** What callers and backend servers saw, and which promise it breaks. */

/** Names of the promises. */
export const Guarantees = {
  oneOwner: 'one-owner', tokensRise: 'tokens-rise', once: 'at-most-once', notRun: 'not-run-is-true', completeResponse: 'whole-answer', onlySentRequests: 'only-what-was-asked', leaving: 'leaving-server', graceful: 'graceful-shutdown', served: 'served-again'
} as const
/** One of the values of {@link Guarantees}. */
export type GuaranteeName = typeof Guarantees[keyof typeof Guarantees]

/** Record of one run. */
export interface GuaranteeChecker {
  reportViolation (promise: GuaranteeName, text: string): void
  /** A caller sends an attempt. */
  recordSent (id: string, options: { readonly once: boolean, readonly body: string }): void
  /** A backend server begins to run an attempt. */
  recordStarted (id: string, server: string, body: string): void
  /** A caller got an answer, or none (status 0). */
  recordResponse (id: string, answer: { readonly status: number, readonly body: string, readonly signed: boolean }): void
  /** Whether a server has begun to run an attempt. */
  hasStarted (id: string): boolean
  readonly failures: string[]
  readonly counts: { sent: number, served: number, refused: number, other: number }
  /** Requests served since the last call. */
  takeServedCount (): number
}

interface Attempt { readonly once: boolean, readonly body: string, runs: number, refused: boolean }

/** Failures that are kept; the first ones tell most. */
const KEPT_FAILURES = 50

/**
 * Creates an empty record.
 *
 * @param now Milliseconds since the start of the run.
 * @returns The record.
 */
export function createGuaranteeChecker (now: () => number): GuaranteeChecker {
  const attempts = new Map<string, Attempt>()
  const failures: string[] = []
  const counts = { sent: 0, served: 0, refused: 0, other: 0 }
  let served = 0

  function fail (promise: GuaranteeName, text: string): void {
    if (failures.length < KEPT_FAILURES) failures.push(`${(now() / 1000).toFixed(2)} s ${promise}: ${text}`)
  }

  return {
    reportViolation: fail,
    recordSent (id, options) {
      counts.sent++
      attempts.set(id, { ...options, runs: 0, refused: false })
    },
    recordStarted (id, server, body) {
      const attempt = attempts.get(id)
      if (attempt === undefined) return fail(Guarantees.onlySentRequests, `${server} runs ${id}, which no caller sent`)
      if (body !== attempt.body) fail(Guarantees.onlySentRequests, `${server} runs ${id} with another body`)
      attempt.runs++
      if (attempt.once && attempt.runs > 1) fail(Guarantees.once, `${id} runs for the ${attempt.runs}th time, at ${server}`)
      if (attempt.once && attempt.refused) fail(Guarantees.notRun, `${id} runs at ${server} after it was refused`)
    },
    recordResponse (id, answer) {
      const attempt = attempts.get(id)
      if (attempt === undefined) return
      if (answer.status === 200) {
        counts.served++
        served++
        if (!answer.signed || answer.body !== `done ${id}`) fail(Guarantees.completeResponse, `${id} got ${JSON.stringify(answer.body)}`)
      } else if (answer.status === 503) {
        counts.refused++
        attempt.refused = true
        if (attempt.once && attempt.runs > 0) fail(Guarantees.notRun, `${id} was refused although it ran`)
      } else counts.other++
    },
    hasStarted: (id) => (attempts.get(id)?.runs ?? 0) > 0,
    failures,
    counts,
    takeServedCount () {
      const result = served
      served = 0
      return result
    }
  }
}
