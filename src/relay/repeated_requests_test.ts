/**
 * Tests of the retries of all hosts together while servers reject requests:
 * every arrival at a server beyond the first of a request counts, also one that
 * the server rejects. Hosts, relays and servers run in one process.
 */
import { Agent, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { callPort } from '../../testing/call_port.ts'
import { createTestGuard } from '../../testing/create_test_guard.ts'
import { createFakeBackend, respondNotRun, respondWithPath, TEST_HEADER_NAMES, type BackendHandler, type FakeBackend } from '../../testing/fake_backend.ts'
import { TEST_CONFIGURATION, TEST_ROUTE } from '../../testing/with_gateway.ts'
import { createRetryBudgets } from '../entry_host/retry_budgets.ts'
import {
  createCallerServer, createGateway, createRequestLimits, createRequestPermits, createResponseMemory, createRoutingState, createServerAdmission, createServerAgent, createServerLoads, RelayHeader, RelayRefusal, type PathSelector, type ServerLoads
} from '../gateway/mod.ts'
import { RequestKind, type RoutedServer } from '../routing/mod.ts'
import { createRelay } from './create_relay.ts'

const test = suite('retries of all hosts')

const HOSTS = 3
const SERVERS = 6
/** Maximum number of servers that a request may be sent to. */
const ATTEMPTS = 4

/** Limit over all hosts: a ratio of the requests and a fixed number in each window. The tests take less time than a window. */
const RATIO = 0.2
const SLACK = 20

const now = (): number => performance.now()

async function listen (server: Server): Promise<number> {
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return (server.address() as AddressInfo).port
}

interface TestHost { readonly callerPort: number, readonly relayAddress: string, readonly loads: ServerLoads, setServers (servers: readonly RoutedServer[]): void, close (): void }

async function startHost (name: string, { slack, attempts, relayAddressOf }: { readonly slack: number, readonly attempts: number, readonly relayAddressOf: (server: RoutedServer) => string }): Promise<TestHost> {
  const routingState = createRoutingState()
  const route = { ...TEST_ROUTE, maximumAttempts: attempts }
  routingState.applyConfiguration({ ...TEST_CONFIGURATION, routes: [route, { ...route, name: 'once', prefix: '/once/', kind: RequestKind.once }] })
  const loads = createServerLoads(now, () => 20)
  const limits = createRequestLimits({ now, onChange: () => {} })
  const permits = createRequestPermits({ limits, hostCount: () => HOSTS, now, random: Math.random })
  const admission = createServerAdmission({ loads, limits, permits, now })
  const [agent, relayAgent] = [createServerAgent(), new Agent({ keepAlive: true })]
  const budgets = createRetryBudgets({ ratio: RATIO, slack, hostCount: { record () {}, sharing: () => HOSTS }, random: Math.random })
  const relays: PathSelector = { select: (server) => ({ kind: 'relay', relay: { host: relayAddressOf(server), address: relayAddressOf(server), trackRequest: () => () => {} } }), isRelay: () => true, isIsolated: () => false, recordIsolated: () => {} }
  const shared = { guard: createTestGuard(), responseMemory: createResponseMemory(), routingState, loads, limits, permits, admission, isRelay: () => true, isIsolated: () => false, agent, names: TEST_HEADER_NAMES, now, stopsAt: () => Infinity }
  const gateway = createGateway({ ...shared, relays, relayAgent, host: name, zone: 'a', retryBudgetOf: budgets.forService, random: Math.random, onKeyRequested: () => {}, onRequestEnd: () => {}, isLeaving: () => false })
  const relay = createRelay({ ...shared, onEnd: () => {} })
  const listeners = [gateway.handle, relay.handle].map((handle) => createCallerServer({ limits: TEST_CONFIGURATION.limits, maximumConnections: 1000, handle, onError: () => {} }))
  const [callerPort = 0, relayPort = 0] = await Promise.all(listeners.map(listen))
  return {
    callerPort,
    relayAddress: `127.0.0.1:${relayPort}`,
    loads,
    setServers: routingState.setServers,
    close () {
      for (const listener of listeners) {
        listener.closeAllConnections()
        listener.close()
      }
      agent.destroy()
      relayAgent.destroy()
    }
  }
}

/** Sends requests for a short time through hosts whose relays send to servers with one slot each. */
async function runLoad (handler: BackendHandler, { path, requests, slack = SLACK, attempts = ATTEMPTS }: { readonly path: string, readonly requests: number, readonly slack?: number, readonly attempts?: number }): Promise<{ readonly served: number, readonly repeats: number, readonly mostArrivals: number }> {
  const arrivals = new Map<string, number>()
  const backends: FakeBackend[] = await Promise.all(Array.from({ length: SERVERS }, async (_, index) => await createFakeBackend(`s${index}`, (request, response) => {
    arrivals.set(request.id, (arrivals.get(request.id) ?? 0) + 1)
    handler(request, response)
  })))
  const servers = backends.map((backend) => ({ ...backend.server, slots: 1 }))
  const hosts: TestHost[] = []
  const relayAddressOf = (server: RoutedServer): string => hosts[servers.findIndex(({ id }) => id === server.id) % HOSTS]?.relayAddress ?? ''
  for (let index = 0; index < HOSTS; index++) hosts.push(await startHost(`h${index}`, { slack, attempts, relayAddressOf }))
  for (const host of hosts) host.setServers(servers)
  try {
    const calls: Array<Promise<boolean>> = []
    for (let sent = 0; sent < requests; sent++) {
      calls.push(callPort({ port: hosts[sent % HOSTS]?.callerPort ?? 0, path }, { id: `r${sent}` }).then(({ status }) => status === 200, () => false))
      await new Promise((resolve) => { setTimeout(resolve, 4) })
    }
    const served = (await Promise.all(calls)).filter((isServed) => isServed).length
    const counts = [...arrivals.values()]
    return { served, repeats: counts.reduce((sum, count) => sum + count - 1, 0), mostArrivals: Math.max(...counts) }
  } finally {
    for (const host of hosts) host.close()
    await Promise.all(backends.map(async (backend) => { await backend.close() }))
  }
}

/** Responds after some work, except to a share of the requests, which it handles otherwise. */
function disturbed (share: number, disturb: BackendHandler): BackendHandler {
  let received = 0
  return (request, response) => {
    received++
    if (Math.floor(received * share) > Math.floor((received - 1) * share)) return disturb(request, response)
    setTimeout(() => { respondWithPath(request, response) }, 20)
  }
}

const REQUESTS = 300

// Guards against repeats that are not paid for because a relay reports a server as full both before and after the server has rejected the request.
for (const [name, path] of [['idempotent requests', '/lookups/x'], ['requests that may run only once', '/once/x']] as const) {
  test(`handle() keeps the arrivals beyond the first within ratio and slack over all hosts, when servers reject most ${name}`, async () => {
    const { served, repeats } = await runLoad(disturbed(0.8, respondNotRun), { path, requests: REQUESTS })
    assert.ok(repeats <= RATIO * REQUESTS + SLACK, `${repeats} repeats`)
    // The budget is there to be used.
    assert.ok(repeats > RATIO * REQUESTS / 2, `${repeats} repeats`)
    assert.ok(served > 0)
  })
}

// Guards against requests at more servers than their route allows: what servers rejected was not counted as an attempt.
test('handle() sends a request to no more servers than its route allows, when servers reject all requests', async () => {
  const { mostArrivals } = await runLoad((request, response) => { setTimeout(() => { respondNotRun(request, response) }, 20) }, { path: '/lookups/x', requests: REQUESTS / 2, slack: 10 * REQUESTS, attempts: 1 })
  assert.is(mostArrivals, 1)
})

test('handle() keeps the arrivals beyond the first within ratio and slack over all hosts, when servers lose half of the requests', async () => {
  const { repeats } = await runLoad(disturbed(0.5, (_request, response) => { response.destroy() }), { path: '/lookups/x', requests: REQUESTS })
  assert.ok(repeats <= RATIO * REQUESTS + SLACK, `${repeats} repeats`)
})

test('handle() makes no arrival beyond the first, when relays admit only what their servers have room for', async () => {
  const { served, repeats } = await runLoad(disturbed(0, respondNotRun), { path: '/once/x', requests: REQUESTS })
  assert.is(repeats, 0)
  assert.ok(served > REQUESTS / 2, `${served} served`)
})

/** Asks the relay of one server with one slot to forward a request, while other requests are in flight there. */
async function askRelay (inFlight: number): Promise<{ readonly response: Response, readonly arrivals: number }> {
  const backend = await createFakeBackend('s0', respondNotRun)
  const host = await startHost('h0', { slack: SLACK, attempts: ATTEMPTS, relayAddressOf: () => '' })
  const server = { ...backend.server, slots: 1 }
  host.setServers([server])
  for (let request = 0; request < inFlight; request++) host.loads.trackRequest(server)
  try {
    const headers = { [TEST_HEADER_NAMES.targetServer]: 's0', [TEST_HEADER_NAMES.attemptId]: 'a1', [TEST_HEADER_NAMES.deadlineMs]: '700', [RelayHeader.goalMs]: '300' }
    return { response: await fetch(`http://${host.relayAddress}/once/x`, { headers }), arrivals: backend.requests.length }
  } finally {
    host.close()
    await backend.close()
  }
}

// Guards against hosts of an earlier build that repeat without payment what the server has rejected: they take every refusal of a relay for unsent.
test('handle() reports a refusal of the server as the server\'s and not as its own, when it counts the server as full', async () => {
  const { response, arrivals } = await askRelay(1)
  assert.is(arrivals, 1)
  assert.is(response.status, 503)
  assert.is(response.headers.get(TEST_HEADER_NAMES.notRun), 'true')
  assert.is(response.headers.get(TEST_HEADER_NAMES.attemptId), 'a1')
  assert.is(response.headers.get(RelayHeader.refusal), null)
  assert.is(response.headers.get(RelayHeader.unsent), null)
  assert.ok(Number(response.headers.get(RelayHeader.roomAfterMs)) > 0)
})

test('handle() states that it has not sent a request, in the form that earlier builds read, when the server has no room', async () => {
  const { response, arrivals } = await askRelay(2)
  assert.is(arrivals, 0)
  assert.is(response.headers.get(RelayHeader.refusal), RelayRefusal.full)
  assert.is(response.headers.get(RelayHeader.unsent), '1')
  assert.is(response.headers.get(TEST_HEADER_NAMES.notRun), null)
})

test.run()
