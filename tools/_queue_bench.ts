/** Waiting at one stand-in server: a sole dispatcher against edges that send directly, over TCP on loopback. */
import { randomUUID } from 'node:crypto'
import { setTimeout as delay } from 'node:timers/promises'
import { build as buildHistogram } from 'hdr-histogram-js'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { request } from 'undici'
import { createBackendServer, type BackendServer } from '../standins/backend_server.ts'
import type { ViewServer } from '../src/cell/mod.ts'
import { createBackendClient, createDispatcher, createGrantManager, type ClaimStore } from '../src/dispatch/mod.ts'

/** Result of one way of sending at one load. */
export interface QueueResult {
  readonly name: string
  readonly loadPercent: number
  readonly answered: number
  readonly failed: number
  readonly p50Ms: number
  readonly p99Ms: number
  /** Requests that the server shed, for each request answered. */
  readonly shedsPerRequest: number
}

const SLOTS = 6
const WORK_MS = 10
const LENGTH_MS = 8000
const DEADLINE_MS = 4000
const FIRST_BACKOFF_MS = 5
const HOST = '127.0.0.1:7100'

/** Sends one request; returns how often the server shed it, or `null` where it failed. */
type Send = () => Promise<number | null>

interface Target { readonly address: string, readonly standIn: BackendServer, close (): Promise<void> }

async function startServer (): Promise<Target> {
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

/** Edges that do not see each other: they send at once and repeat with jittered, doubling pauses. */
function sendDirectly (address: string): Send {
  return async () => {
    const until = performance.now() + DEADLINE_MS
    for (let sheds = 0; performance.now() < until; sheds++) {
      const response = await request(`http://${address}/item`)
      await response.body.dump()
      if (response.statusCode === 200) return sheds
      await delay(Math.random() * FIRST_BACKOFF_MS * 2 ** Math.min(sheds, 5))
    }
    return null
  }
}

function sendThroughDispatcher (address: string): { readonly send: Send, readonly stop: () => Promise<void> } {
  const server: ViewServer = {
    id: 'server', service: 'items', address, checksGrants: false, keyed: false, leaving: false, dispatcher: HOST, token: 2
  }
  const keeper = createGrantManager(HOST)
  const row = { term: 1, leader: { host: HOST, incarnation: 1 }, succession: [], members: [], owners: {} }
  keeper.setDispatchRight({
    view: { epoch: 64, version: 1, leader: HOST, row, rowRevision: 1, hosts: [HOST], servers: [server], owners: {}, durable: true },
    until: Infinity
  })
  for (const action of keeper.nextActions(0)) keeper.onOutcome(action, { kind: 'answered', answer: { boot: '', now: 0 } }, 0)
  const client = createBackendClient()
  let sheds = 0
  const dispatcher = createDispatcher({
    host: HOST,
    grantManager: keeper,
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
  let due = startedAt
  while (due < startedAt + LENGTH_MS) {
    due += -Math.log(uniformInt(random, 1, 1_000_000) / 1_000_000) * meanGapMs
    if (due > performance.now()) await delay(due - performance.now())
    const sentAt = due
    pending.push(options.send().then((shed) => {
      if (shed === null) failed++
      else {
        sheds += shed
        histogram.recordValue(Math.max(0, performance.now() - sentAt))
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
 * Measures both ways of sending at two loads.
 *
 * @param seed Seed of the arrivals.
 * @returns One result for each way and load.
 */
export async function runQueueBench (seed: number): Promise<QueueResult[]> {
  const results: QueueResult[] = []
  for (const loadPercent of [60, 80]) {
    const direct = await startServer()
    results.push(await measure('edges send directly', { send: sendDirectly(direct.address), loadPercent, seed }))
    await direct.close()
    const sole = await startServer()
    const { send, stop } = sendThroughDispatcher(sole.address)
    results.push(await measure('sole dispatcher', { send, loadPercent, seed }))
    await stop()
    await sole.close()
  }
  return results
}
