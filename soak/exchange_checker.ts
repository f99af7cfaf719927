/** Checks bodies by length and digest, and the retries that reach servers against the budget. */
import { Guarantees, type GuaranteeName } from './guarantee_checker.ts'
import type { BodySummary, CallerOutcome } from './raw_caller.ts'

/** Whole response of a server, and how the server writes it. */
export interface ServerResponseRecord { readonly status: number, readonly body: BodySummary, readonly framing: string, readonly fault: string | null }

/** Observations of exchanges, and the violations found in them. */
export interface ExchangeChecker {
  /** Records that a caller sends a request; `upload` is its body, `null` if there is none. */
  recordSent (id: string, request: { readonly service: string, readonly once: boolean, readonly upload: BodySummary | null }): void
  /** Records that a request reaches a server, whether or not the server rejects it. */
  recordArrival (id: string, server: string): void
  /** Records that a server starts to run a request. */
  recordStarted (id: string, server: string): void
  /** Records the whole body of a request that a server has received. */
  recordUpload (id: string, server: string, body: BodySummary): void
  /** Records the whole response of a server under its signature, before any of it is sent. */
  recordResponse (id: string, response: ServerResponseRecord & { readonly signature: string }): void
  /**
   * Records what a caller has got. If the caller's own host was killed meanwhile, a response without a length may end too early:
   * its connection is closed in order, and nothing can tell the caller.
   */
  recordOutcome (id: string, outcome: CallerOutcome, options: { readonly host: string, readonly wasHostKilled: boolean }): void
  /** Reports the services that get more repeats than the budget allows in some window. */
  checkBudgets (): void
  readonly counts: { sent: number, served: number, refused: number, other: number, untellable: number }
  /** The window of each service that came closest to its limit, as text. */
  readonly closestWindows: string[]
}

/** Options of {@link createExchangeChecker}. */
export interface ExchangeCheckerOptions {
  readonly reportViolation: (guarantee: GuaranteeName, text: string) => void
  /** Milliseconds since the start of the run. */
  readonly now: () => number
  /** Repeats that a service may get per request, and beyond that. */
  readonly retryRatio: number
  readonly retrySlack: number
}

interface Exchange { readonly service: string, readonly once: boolean, readonly upload: BodySummary | null, arrivals: number, runs: number, refused: boolean }
interface Service { readonly requests: number[], readonly repeats: number[] }

/** Window in which repeats are counted, in milliseconds. */
const WINDOW_MS = 10_000

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN: readonly number[] = [408, 421, 429, 503]

/**
 * Creates a checker without observations.
 *
 * @param options Clock, budget, and what is called with each violation.
 * @returns The checker.
 */
export function createExchangeChecker (options: ExchangeCheckerOptions): ExchangeChecker {
  const { reportViolation, now } = options
  const exchanges = new Map<string, Exchange>()
  const responses = new Map<string, ServerResponseRecord & { readonly id: string }>()
  const services = new Map<string, Service>()
  const counts = { sent: 0, served: 0, refused: 0, other: 0, untellable: 0 }
  const closestWindows: string[] = []

  function getService (name: string): Service {
    const service = services.get(name) ?? { requests: [], repeats: [] }
    services.set(name, service)
    return service
  }

  function getExchange (id: string, server: string): Exchange | undefined {
    const exchange = exchanges.get(id)
    if (exchange === undefined) reportViolation(Guarantees.onlySentRequests, `${server} gets ${id}, which no caller sent`)
    return exchange
  }

  function checkResponse (id: string, outcome: Extract<CallerOutcome, { readonly kind: 'complete' }>, { host, wasHostKilled }: { readonly host: string, readonly wasHostKilled: boolean }): void {
    const { status, signature, body, framing } = outcome
    const report = (text: string): void => { reportViolation(Guarantees.completeResponse, `${id} at ${host} got ${text}, framed by ${framing}`) }
    if (signature === undefined) {
      if (status >= 200 && status < 300) report(`${status} without a signature`)
      return
    }
    const whole = responses.get(signature)
    if (whole?.id !== id) return report(`the response ${signature} to ${whole?.id ?? 'nothing'}`)
    const written = `${signature}, written with ${whole.framing} and ${whole.fault ?? 'no fault'}`
    if (status !== whole.status) report(`status ${status} instead of ${whole.status} of ${written}`)
    else if (framing === 'connection' && wasHostKilled && body.length < whole.body.length) counts.untellable++
    else if (body.length !== whole.body.length) report(`${body.length} of ${whole.body.length} bytes of ${written}`)
    else if (body.digest !== whole.body.digest) report(`${body.length} other bytes than those of ${written}`)
  }

  function countBetween (times: readonly number[], after: number, until: number): number {
    return times.reduce((count, time) => time > after && time <= until ? count + 1 : count, 0)
  }

  function checkBudget (name: string, { requests, repeats }: Service): void {
    let closest = { share: 0, text: '' }
    for (const end of repeats.flatMap((time) => [time, time + WINDOW_MS - 1])) {
      const count = countBetween(repeats, end - WINDOW_MS, end)
      const mostRequests = Math.max(...[0, 0.5, 1].map((shift) => countBetween(requests, end - (1 + shift) * WINDOW_MS, end - shift * WINDOW_MS)))
      const allowed = options.retryRatio * mostRequests + options.retrySlack
      if (count / allowed > closest.share) closest = { share: count / allowed, text: `${name} gets ${count} repeats of ${Math.floor(allowed)} allowed in the 10 s up to ${(end / 1000).toFixed(2)} s` }
    }
    if (closest.text !== '') closestWindows.push(closest.text)
    if (closest.share > 1) reportViolation(Guarantees.retryBudget, closest.text)
  }

  return {
    recordSent (id, { service, once, upload }) {
      counts.sent++
      exchanges.set(id, { service, once, upload, arrivals: 0, runs: 0, refused: false })
      getService(service).requests.push(now())
    },
    recordArrival (id, server) {
      const exchange = getExchange(id, server)
      if (exchange === undefined) return
      exchange.arrivals++
      if (exchange.arrivals > 1) getService(exchange.service).repeats.push(now())
    },
    recordStarted (id, server) {
      const exchange = getExchange(id, server)
      if (exchange === undefined) return
      exchange.runs++
      if (exchange.once && exchange.runs > 1) reportViolation(Guarantees.once, `${id} runs for the ${exchange.runs}th time, at ${server}`)
      if (exchange.once && exchange.refused) reportViolation(Guarantees.notRun, `${id} runs at ${server} after it was refused`)
    },
    recordUpload (id, server, body) {
      const upload = exchanges.get(id)?.upload ?? { length: 0, digest: body.digest }
      if (body.length !== upload.length || body.digest !== upload.digest) reportViolation(Guarantees.onlySentRequests, `${server} gets ${id} with ${body.length} of ${upload.length} bytes, or others`)
    },
    recordResponse (id, { signature, ...response }) { responses.set(signature, { id, ...response }) },
    recordOutcome (id, outcome, host) {
      const exchange = exchanges.get(id)
      if (exchange === undefined || outcome.kind === 'incomplete') {
        counts.other++
        return
      }
      checkResponse(id, outcome, host)
      if (outcome.status >= 200 && outcome.status < 300) counts.served++
      else if (NOT_RUN.includes(outcome.status)) {
        counts.refused++
        exchange.refused = true
        if (exchange.once && exchange.runs > 0) reportViolation(Guarantees.notRun, `${id} got ${outcome.status} although it ran`)
      } else counts.other++
    },
    checkBudgets () { for (const [name, service] of services) checkBudget(name, service) },
    counts,
    closestWindows
  }
}
