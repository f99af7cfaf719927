/** Load on a cluster while faults come: keys that are read all the time, and orders. */
import { randomUUID } from 'node:crypto'
import { Agent, request } from 'undici'
import type { Cluster, ClusterHost } from './_cluster.ts'

/** Interval between two requests for one key, in milliseconds. */
export const REQUEST_INTERVAL_MS = 60
const KEYS_PER_SERVICE = 40
const ORDERS_PERIOD_MS = 40
const TIMEOUT_MS = 6000

/** How requests ended. */
export interface OutcomeCounts { answered: number, notRun: number, unknown: number, refused: number, cut: number, timedOut: number, wrong: number }

/** Load that runs until it is stopped. */
export interface Load {
  readonly outcomes: OutcomeCounts
  /** Longest time between two answers, by key, in milliseconds. */
  readonly longestGapsMs: Map<string, number>
  stop (): Promise<void>
}

const agent = new Agent({ connections: 64, pipelining: 1, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS })

/** Starts the load. */
export function startLoad (cluster: Cluster): Load {
  const tally: OutcomeCounts = { answered: 0, notRun: 0, unknown: 0, refused: 0, cut: 0, timedOut: 0, wrong: 0 }
  const lastServed = new Map<string, number>()
  const gaps = new Map<string, number>()
  const timers: NodeJS.Timeout[] = []
  const pending = new Set<Promise<void>>()
  const avoided = new Map<string, number>()
  let turn = 0

  function chooseHost (): ClusterHost {
    for (let tries = 0; tries < cluster.hosts.length; tries++) {
      const host = cluster.hosts[turn++ % cluster.hosts.length]
      if (host !== undefined && (avoided.get(host.name) ?? 0) < Date.now()) return host
    }
    return cluster.hosts[0] as ClusterHost
  }

  function noteServed (key: string): void {
    const now = performance.now()
    const before = lastServed.get(key)
    if (before !== undefined) gaps.set(key, Math.max(gaps.get(key) ?? 0, now - before))
    lastServed.set(key, now)
  }

  async function send (method: 'GET' | 'POST', path: string, key: string | null): Promise<void> {
    const host = chooseHost()
    try {
      const response = await request(`http://${host.callerAddress}${path}`, {
        method, dispatcher: agent, headers: method === 'POST' ? { 'idempotency-key': randomUUID() } : {}
      })
      const text = await response.body.text()
      classify(JSON.parse(text), { status: response.statusCode, path, key })
    } catch (error) {
      tally[failureOf(error)]++
      avoided.set(host.name, Date.now() + 1000)
    }
  }

  /** A refused connection or one closed while it was idle is the balancer's to avoid; a cut lost a request. */
  function failureOf (error: unknown): 'refused' | 'cut' | 'timedOut' {
    const code = (error as { readonly code?: string }).code
    if (code === 'ECONNREFUSED') return 'refused'
    return code === 'UND_ERR_HEADERS_TIMEOUT' || code === 'UND_ERR_BODY_TIMEOUT' ? 'timedOut' : 'cut'
  }

  function classify (answer: { path?: string, outcome?: string }, sent: { status: number, path: string, key: string | null }): void {
    if (sent.status === 200 && answer.path === sent.path) {
      tally.answered++
      if (sent.key !== null) noteServed(sent.key)
    } else if (answer.outcome === 'not-run') tally.notRun++
    else if (answer.outcome === 'unknown') tally.unknown++
    else {
      tally.wrong++
      console.error(`wrong answer: status ${sent.status} for ${sent.path}: ${JSON.stringify(answer)}`)
    }
  }

  function track (sending: Promise<void>): void {
    pending.add(sending)
    sending.finally(() => { pending.delete(sending) }).catch(() => {})
  }

  for (const service of ['catalogue', 'permits']) {
    for (let number = 0; number < KEYS_PER_SERVICE; number++) {
      const path = `/${service}/key-${number}`
      timers.push(setInterval(() => { track(send('GET', path, path)) }, REQUEST_INTERVAL_MS))
    }
  }
  timers.push(setInterval(() => { track(send('POST', `/orders/${randomUUID()}`, null)) }, ORDERS_PERIOD_MS))
  return {
    outcomes: tally,
    longestGapsMs: gaps,
    async stop () {
      for (const timer of timers) clearInterval(timer)
      await Promise.all([...pending])
    }
  }
}
