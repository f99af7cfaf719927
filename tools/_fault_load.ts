/** Generates load on a cluster during faults: continuous reads of keys, and orders. */
import { randomUUID } from 'node:crypto'
import { Agent, request } from 'undici'
import type { Cluster, ClusterHost } from './_cluster.ts'

/** Interval between two requests for one key, in milliseconds. */
export const REQUEST_INTERVAL_MS = 60
const KEYS_PER_SERVICE = 40
const ORDER_INTERVAL_MS = 40
const RESPONSE_TIMEOUT_MS = 6000

/** Number of requests by outcome. */
export interface OutcomeCounts { answered: number, notRun: number, unknown: number, refused: number, cut: number, timedOut: number, wrong: number }

/** Load that continues until it is stopped. */
export interface Load {
  readonly outcomes: OutcomeCounts
  /** Longest time between two successful responses, in milliseconds, keyed by request path. */
  readonly longestGapsMs: Map<string, number>
  stop (): Promise<void>
}

const agent = new Agent({ connections: 64, pipelining: 1, headersTimeout: RESPONSE_TIMEOUT_MS, bodyTimeout: RESPONSE_TIMEOUT_MS })

/** Starts the load. */
export function startLoad (cluster: Cluster): Load {
  const outcomes: OutcomeCounts = { answered: 0, notRun: 0, unknown: 0, refused: 0, cut: 0, timedOut: 0, wrong: 0 }
  const lastServedAt = new Map<string, number>()
  const longestGapsMs = new Map<string, number>()
  const timers: NodeJS.Timeout[] = []
  const pending = new Set<Promise<void>>()
  const avoidedUntil = new Map<string, number>()
  let nextHostIndex = 0

  function chooseHost (): ClusterHost {
    for (let attempt = 0; attempt < cluster.hosts.length; attempt++) {
      const host = cluster.hosts[nextHostIndex++ % cluster.hosts.length]
      if (host !== undefined && (avoidedUntil.get(host.name) ?? 0) < Date.now()) return host
    }
    return cluster.hosts[0] as ClusterHost
  }

  function recordServed (key: string): void {
    const now = performance.now()
    const previous = lastServedAt.get(key)
    if (previous !== undefined) longestGapsMs.set(key, Math.max(longestGapsMs.get(key) ?? 0, now - previous))
    lastServedAt.set(key, now)
  }

  async function send (method: 'GET' | 'POST', path: string, key: string | null): Promise<void> {
    const host = chooseHost()
    try {
      const response = await request(`http://${host.callerAddress}${path}`, {
        method, dispatcher: agent, headers: method === 'POST' ? { 'idempotency-key': randomUUID() } : {}
      })
      const text = await response.body.text()
      recordResponse(JSON.parse(text), { status: response.statusCode, path, key })
    } catch (error) {
      outcomes[classifyError(error)]++
      avoidedUntil.set(host.name, Date.now() + 1000)
    }
  }

  /** A load balancer can avoid refused connections and those closed while idle; a cut connection lost a request. */
  function classifyError (error: unknown): 'refused' | 'cut' | 'timedOut' {
    const code = (error as { readonly code?: string }).code
    if (code === 'ECONNREFUSED') return 'refused'
    return code === 'UND_ERR_HEADERS_TIMEOUT' || code === 'UND_ERR_BODY_TIMEOUT' ? 'timedOut' : 'cut'
  }

  function recordResponse (content: { path?: string, outcome?: string }, sent: { status: number, path: string, key: string | null }): void {
    if (sent.status === 200 && content.path === sent.path) {
      outcomes.answered++
      if (sent.key !== null) recordServed(sent.key)
    } else if (content.outcome === 'not-run') outcomes.notRun++
    else if (content.outcome === 'unknown') outcomes.unknown++
    else {
      outcomes.wrong++
      console.error(`unexpected response: status ${sent.status} for ${sent.path}: ${JSON.stringify(content)}`)
    }
  }

  function track (promise: Promise<void>): void {
    pending.add(promise)
    promise.finally(() => { pending.delete(promise) }).catch(() => {})
  }

  for (const service of ['catalogue', 'permits']) {
    for (let number = 0; number < KEYS_PER_SERVICE; number++) {
      const path = `/${service}/key-${number}`
      timers.push(setInterval(() => { track(send('GET', path, path)) }, REQUEST_INTERVAL_MS))
    }
  }
  timers.push(setInterval(() => { track(send('POST', `/orders/${randomUUID()}`, null)) }, ORDER_INTERVAL_MS))
  return {
    outcomes,
    longestGapsMs,
    async stop () {
      for (const timer of timers) clearInterval(timer)
      await Promise.all([...pending])
    }
  }
}
