/** What callers and backend servers saw, and which promise it breaks. */

/** Names of the promises. */
export const Promises = {
  oneOwner: 'one-owner', tokensRise: 'tokens-rise', once: 'at-most-once', notRun: 'not-run-is-true', whole: 'whole-answer', asked: 'only-what-was-asked', leaving: 'leaving-server', graceful: 'graceful-shutdown', served: 'served-again'
} as const
/** One of the values of {@link Promises}. */
export type PromiseName = typeof Promises[keyof typeof Promises]

/** Record of one run. */
export interface SoakRecord {
  fail (promise: PromiseName, text: string): void
  /** A caller sends an attempt. */
  sent (id: string, options: { readonly once: boolean, readonly body: string }): void
  /** A backend server begins to run an attempt. */
  ran (id: string, server: string, body: string): void
  /** A caller got an answer, or none (status 0). */
  answered (id: string, answer: { readonly status: number, readonly body: string, readonly signed: boolean }): void
  /** Whether a server has begun to run an attempt. */
  hasRun (id: string): boolean
  readonly failures: string[]
  readonly counts: { sent: number, served: number, refused: number, other: number }
  /** Requests served since the last call. */
  servedSince (): number
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
export function createRecord (now: () => number): SoakRecord {
  const attempts = new Map<string, Attempt>()
  const failures: string[] = []
  const counts = { sent: 0, served: 0, refused: 0, other: 0 }
  let served = 0

  function fail (promise: PromiseName, text: string): void {
    if (failures.length < KEPT_FAILURES) failures.push(`${(now() / 1000).toFixed(2)} s ${promise}: ${text}`)
  }

  return {
    fail,
    sent (id, options) {
      counts.sent++
      attempts.set(id, { ...options, runs: 0, refused: false })
    },
    ran (id, server, body) {
      const attempt = attempts.get(id)
      if (attempt === undefined) return fail(Promises.asked, `${server} runs ${id}, which no caller sent`)
      if (body !== attempt.body) fail(Promises.asked, `${server} runs ${id} with another body`)
      attempt.runs++
      if (attempt.once && attempt.runs > 1) fail(Promises.once, `${id} runs for the ${attempt.runs}th time, at ${server}`)
      if (attempt.once && attempt.refused) fail(Promises.notRun, `${id} runs at ${server} after it was refused`)
    },
    answered (id, answer) {
      const attempt = attempts.get(id)
      if (attempt === undefined) return
      if (answer.status === 200) {
        counts.served++
        served++
        if (!answer.signed || answer.body !== `done ${id}`) fail(Promises.whole, `${id} got ${JSON.stringify(answer.body)}`)
      } else if (answer.status === 503) {
        counts.refused++
        attempt.refused = true
        if (attempt.once && attempt.runs > 0) fail(Promises.notRun, `${id} was refused although it ran`)
      } else counts.other++
    },
    hasRun: (id) => (attempts.get(id)?.runs ?? 0) > 0,
    failures,
    counts,
    servedSince () {
      const result = served
      served = 0
      return result
    }
  }
}
