/** Compares queueing at one stand-in server for a sole dispatcher and for direct senders, over TCP on loopback. */
import { randomUUID } from 'node:crypto'
import { setTimeout as delay } from 'node:timers/promises'
import { build as buildHistogram } from 'hdr-histogram-js'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { request } from 'undici'
import { createBackendServer, type BackendServer } from '../standins/backend_server.ts'
import type { ViewServer } from '../src/cell/mod.ts'
import { createBackendClient, createDispatcher, createGrantManager, type ClaimStore } from '../src/dispatch/mod.ts'

/** Result of one way of sending at one load level. */
export interface QueueResult {
  readonly name: string
  readonly loadPercent: number
  readonly answered: number
  readonly failed: number
  readonly p50Ms: number
  readonly p99Ms: number
  /** Requests that the server shed, for each answered request. */
  readonly shedsPerRequest: number
}

const SLOTS = 6
const WORK_MS = 10
const DURATION_MS = 8000
const DEADLINE_MS = 4000
const INITIAL_BACKOFF_MS = 5
const HOST = '127.0.0.1:7100'

/** Sends one request; returns how often the server shed it, or `null` if the request failed. */
type Send = () => Promise<number | null>

interface BenchmarkServer { readonly address: string, readonly standIn: BackendServer, close (): Promise<void> }

async function startServer (): Promise<BenchmarkServer> {
  const standIn = createBackendServer({ id: 'server', behaviour: { slots: SLOTS, workMs: WORK_MS, checksGrants: false } })
  await new Promise<void>((resolve) => { standIn.server.listen(0, '127.0.0.1', resolve) })
  const address = standIn.server.address()
  const port = typeof address === 'object' && address !== null ? address.port : 0
  return {
    address: `127.0.0.1:${port}`,
    standIn,
    close: async () => {
      standIn.server.closeAllConnections()
      await new Promise((resolve) => { standIn.server.close(resolve) })
    }
  }
}

/** Uncoordinated senders: they send immediately and retry with jittered exponential backoff. */
function sendDirectly (address: string): Send {
  return async () => {
    const deadline = performance.now() + DEADLINE_MS
    for (let sheds = 0; performance.now() < deadline; sheds++) {
      const response = await request(`http://${address}/item`)
      await response.body.dump()
      if (response.statusCode === 200) return sheds
      await delay(Math.random() * INITIAL_BACKOFF_MS * 2 ** Math.min(sheds, 5))
    }
    return null
  }
}

function sendThroughDispatcher (address: string): { readonly send: Send, readonly stop: () => Promise<void> } {
  const server: ViewServer = {
    id: 'server', service: 'items', address, checksGrants: false, keyed: false, leaving: false, dispatcher: HOST, token: 2
  }
  const grantManager = createGrantManager(HOST)
  const row = { term: 1, leader: { host: HOST, incarnation: 1 }, succession: [], members: [], owners: {} }
  grantManager.setDispatchRight({
    view: { epoch: 64, version: 1, leader: HOST, row, rowRevision: 1, hosts: [HOST], servers: [server], owners: {}, durable: true },
    until: Infinity
  })
  for (const action of grantManager.nextActions(0)) grantManager.onOutcome(action, { kind: 'answered', answer: { boot: '', now: 0 } }, 0)
  const client = createBackendClient()
  let sheds = 0
  const dispatcher = createDispatcher({
    host: HOST,
    grantManager,
    client,
    claims: {} as ClaimStore,
    service: () => ({
      name: 'items',
      match: { path: '/' },
      requests: { idempotent: ['GET'], deadline_ms: DEADLINE_MS, idempotency_key: 'ignored' },
      servers: { slots: SLOTS, connections: 100, checks_grants: false }
    }),
    placement: () => ({ kind: 'here' }),
    publishSuspects: async () => {},
    now: () => performance.now(),
    onEvent (event) { if (event.kind === 'retried') sheds++ }
  })
  return {
    stop: async () => { await client.close() },
    async send () {
      const before = sheds
      const outcome = await dispatcher.dispatch({
        id: randomUUID(),
        service: 'items',
        slice: null,
        method: 'GET',
        path: '/item',
        headers: {},
        body: null,
        deadline: performance.now() + DEADLINE_MS,
        isIdempotent: true,
        claimKey: null,
        signal: new AbortController().signal
      })
      if (outcome.kind !== 'answer') return null
      outcome.body.resume()
      await new Promise((resolve) => { outcome.body.once('close', resolve) })
      return sheds - before
    }
  }
}

async function measure (name: string, options: { readonly send: Send, readonly loadPercent: number, readonly seed: number }): Promise<QueueResult> {
  const random = xoroshiro128plus(options.seed)
  const histogram = buildHistogram()
  const meanGapMs = WORK_MS / SLOTS * 100 / options.loadPercent
  const pending: Array<Promise<void>> = []
  let failed = 0
  let sheds = 0
  const startedAt = performance.now()
  let nextArrivalAt = startedAt
  while (nextArrivalAt < startedAt + DURATION_MS) {
    nextArrivalAt += -Math.log(uniformInt(random, 1, 1_000_000) / 1_000_000) * meanGapMs
    if (nextArrivalAt > performance.now()) await delay(nextArrivalAt - performance.now())
    const arrivedAt = nextArrivalAt
    pending.push(options.send().then((requestSheds) => {
      if (requestSheds === null) failed++
      else {
        sheds += requestSheds
        histogram.recordValue(Math.max(0, performance.now() - arrivedAt))
      }
    }))
  }
  await Promise.all(pending)
  return {
    name,
    loadPercent: options.loadPercent,
    answered: histogram.totalCount,
    failed,
    p50Ms: histogram.getValueAtPercentile(50),
    p99Ms: histogram.getValueAtPercentile(99),
    shedsPerRequest: sheds / Math.max(1, histogram.totalCount)
  }
}

/**
 * Measures both ways of sending at two load levels.
 *
 * @param seed Seed of the arrivals.
 * @returns One result for each way of sending and load level.
 */
export async function runQueueBench (seed: number): Promise<QueueResult[]> {
  const results: QueueResult[] = []
  for (const loadPercent of [60, 80]) {
    const directServer = await startServer()
    results.push(await measure('direct senders', { send: sendDirectly(directServer.address), loadPercent, seed }))
    await directServer.close()
    const dispatchedServer = await startServer()
    const { send, stop } = sendThroughDispatcher(dispatchedServer.address)
    results.push(await measure('sole dispatcher', { send, loadPercent, seed }))
    await stop()
    await dispatchedServer.close()
  }
  return results
}
