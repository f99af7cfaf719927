/** Tests of a host that loses its own paths to servers while other hosts keep theirs: its callers must be served like those of other hosts. */
import { Agent, type Server } from 'node:http'
import { createServer, type AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { callPort } from '../../testing/call_port.ts'
import { createTestGuard } from '../../testing/create_test_guard.ts'
import { createFakeBackend, respondWithPath, TEST_HEADER_NAMES, type FakeBackend } from '../../testing/fake_backend.ts'
import { TEST_CONFIGURATION } from '../../testing/with_gateway.ts'
import { createRetryBudget } from '../dispatch/retry_budget.ts'
import {
  createCallerServer, createGateway, createRequestLimits, createRequestPermits, createResponseMemory, createRoutingState, createServerAdmission, createServerAgent, createServerLoads, type RequestRecord
} from '../gateway/mod.ts'
import { createConnectProbe, createReachabilityMonitor, type Isolation } from '../reachability/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import { createRelay } from './create_relay.ts'
import { createRelayDirectory, type RelayHost } from './relay_directory.ts'

const test = suite('isolated host')

/** Time within which a host notices that its paths have changed, in milliseconds. */
const DETECTION_MS = 1500

const now = (): number => performance.now()

async function listen (server: Server): Promise<number> {
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return (server.address() as AddressInfo).port
}

interface TestHost {
  readonly callerPort: number
  readonly relay: RelayHost
  readonly records: RequestRecord[]
  /** Requests that this host tried to forward for others. */
  readonly relayed: RequestRecord[]
  /** Replaces the addresses at which this host finds the servers. */
  setServers (servers: readonly RoutedServer[]): void
  setRelays (hosts: readonly RelayHost[]): void
  isIsolated (): boolean
  /** Makes this host count as isolated, its connections being refused. */
  markIsolated (): void
  close (): void
}

async function startHost (name: string, keyed: boolean): Promise<TestHost> {
  const routingState = createRoutingState()
  routingState.applyConfiguration({ ...TEST_CONFIGURATION, services: TEST_CONFIGURATION.services.map((service) => ({ ...service, keyed })) })
  routingState.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'owned', server: 's0' } }])
  let marked: Isolation | null = null
  const reachability = createReachabilityMonitor({ zone: 'a', servers: routingState.servers, probe: createConnectProbe(100), now, random: Math.random, onChange (isolation) { if (isolation !== null) loads.discardOwnRequests() } })
  const loads = createServerLoads(now, () => 20, { reachability })
  const limits = createRequestLimits({ now, onChange: () => {} })
  const permits = createRequestPermits({ limits, hostCount: () => 3, now, random: Math.random })
  const admission = createServerAdmission({ loads, limits, permits, now })
  const directory = createRelayDirectory({ host: name, now, isolation: () => marked ?? reachability.isolation(), onRelayLost: loads.discardRelay })
  const [agent, relayAgent] = [createServerAgent(), new Agent({ keepAlive: true })]
  const budget = createRetryBudget({ share: 0, maximum: 5 })
  const records: RequestRecord[] = []
  const relayed: RequestRecord[] = []
  const isIsolated = (): boolean => reachability.isolation() !== null
  const shared = { guard: createTestGuard(), responseMemory: createResponseMemory(), routingState, loads, limits, permits, admission, isRelay: directory.isRelay, isIsolated, agent, names: TEST_HEADER_NAMES, now, stopsAt: () => Infinity }
  const gateway = createGateway({ ...shared, relays: directory, relayAgent, host: name, zone: 'a', retryBudgetOf: () => budget, random: Math.random, onKeyRequested: () => {}, onRequestEnd (record) { records.push(record) }, isLeaving: () => false })
  const relay = createRelay({ ...shared, onEnd (record) { relayed.push(record) } })
  const listeners = [gateway.handle, relay.handle].map((handle) => createCallerServer({ limits: TEST_CONFIGURATION.limits, maximumConnections: 1000, handle, onError: () => {} }))
  const [callerPort = 0, relayPort = 0] = await Promise.all(listeners.map(listen))
  const timer = setInterval(() => { reachability.check().catch(() => {}) }, 20)
  return {
    callerPort,
    relay: { host: name, zone: 'a', address: `127.0.0.1:${relayPort}`, weight: 1 },
    records,
    relayed,
    setServers: routingState.setServers,
    setRelays: directory.setHosts,
    isIsolated,
    markIsolated () { marked = { isSilent: false } },
    close () {
      clearInterval(timer)
      for (const listener of listeners) {
        listener.closeAllConnections()
        listener.close()
      }
      agent.destroy()
      relayAgent.destroy()
    }
  }
}

/** An address that nothing listens on. */
async function unusedAddress (): Promise<string> {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => { server.close(resolve) })
  return `127.0.0.1:${port}`
}

async function withHosts (run: (hosts: readonly TestHost[], backends: readonly FakeBackend[], cutOff: () => Promise<RoutedServer[]>) => Promise<void>, keyed = false): Promise<void> {
  const backends = await Promise.all(['s0', 's1', 's2', 's3'].map(async (id) => await createFakeBackend(id, respondWithPath)))
  const hosts = await Promise.all(['h1', 'h2', 'h3'].map(async (name) => await startHost(name, keyed)))
  const servers = backends.map((backend) => backend.server)
  for (const host of hosts) {
    host.setServers(servers)
    host.setRelays(hosts.map(({ relay }) => relay))
  }
  try {
    await run(hosts, backends, async () => await Promise.all(servers.map(async (server) => ({ ...server, address: await unusedAddress() }))))
  } finally {
    for (const host of hosts) host.close()
    await Promise.all(backends.map(async (backend) => { await backend.close() }))
  }
}

let sent = 0

/** Sends requests one after another; returns how many were served. */
async function sendRequests (host: TestHost, { path, count, body }: { readonly path: string, readonly count: number, readonly body?: string }): Promise<number> {
  let served = 0
  for (let request = 0; request < count; request++) {
    const response = await callPort({ port: host.callerPort, path }, { id: `r${sent++}`, ...(body === undefined ? {} : { body }) })
    if (response.status === 200) served++
  }
  return served
}

/** Takes a host's paths to all servers away, and sends requests until it has noticed. */
async function isolate (host: TestHost, servers: readonly RoutedServer[]): Promise<void> {
  host.setServers(servers)
  const until = now() + DETECTION_MS
  while (!host.isIsolated() && now() < until) await sendRequests(host, { path: '/lookups/x', count: 1 })
  assert.ok(host.isIsolated())
}

async function waitUntil (isDone: () => boolean): Promise<void> {
  const until = now() + DETECTION_MS
  while (!isDone() && now() < until) await new Promise((resolve) => { setTimeout(resolve, 10) })
  assert.ok(isDone())
}

test('handle() serves every request through other hosts, once each, when this host reaches no server, and directly again after that', async () => {
  await withHosts(async ([isolated, ...others], backends, cutOff) => {
    if (isolated === undefined) return assert.unreachable()
    await isolate(isolated, await cutOff())
    const before = backends.reduce((sum, backend) => sum + backend.requests.length, 0)
    assert.is(await sendRequests(isolated, { path: '/once/x', count: 30, body: 'b' }), 30)
    // A body of this length otherwise goes to its server directly.
    assert.is(await sendRequests(isolated, { path: '/once/x', count: 10, body: 'b'.repeat(60_000) }), 10)
    assert.is(backends.reduce((sum, backend) => sum + backend.requests.length, 0) - before, 40)
    for (const host of others) assert.is(await sendRequests(host, { path: '/once/x', count: 30, body: 'b' }), 30)
    isolated.setServers(backends.map((backend) => backend.server))
    await waitUntil(() => !isolated.isIsolated())
    assert.is(await sendRequests(isolated, { path: '/once/x', count: 10, body: 'b'.repeat(60_000) }), 10)
    assert.ok(isolated.records.slice(-10).every((record) => record.attempts.every((attempt) => attempt.relay === undefined)))
  })
})

test('handle() goes on from a relay that reaches no server, when the hosts have not been notified yet', async () => {
  await withHosts(async ([first, second, third], backends, cutOff) => {
    if (first === undefined || second === undefined || third === undefined) return assert.unreachable()
    for (const host of [first, second]) await isolate(host, await cutOff())
    const relayedBefore = second.relayed.length
    assert.is(await sendRequests(first, { path: '/once/x', count: 30, body: 'b' }), 30)
    assert.is(await sendRequests(third, { path: '/once/x', count: 30, body: 'b' }), 30)
    assert.ok(first.records.slice(-30).every((record) => record.attempts.at(-1)?.relay === 'h3'))
    // A relay that knows that it is isolated does not try.
    assert.is(second.relayed.length, relayedBefore)
  })
})

test('handle() refuses at once and says that nothing has run, when no host reaches servers', async () => {
  await withHosts(async (hosts, backends, cutOff) => {
    for (const host of hosts) await isolate(host, await cutOff())
    const [host] = hosts
    const before = backends.reduce((sum, backend) => sum + backend.requests.length, 0)
    const startedAt = now()
    const response = await callPort({ port: host?.callerPort ?? 0, path: '/once/x' }, { id: 'last', body: 'b' })
    assert.is(response.status, 503)
    assert.ok(Number(response.headers['retry-after']) > 0)
    assert.ok(now() - startedAt < 300)
    assert.is(backends.reduce((sum, backend) => sum + backend.requests.length, 0) - before, 0)
  })
})

// Guards against a host that takes the owner of a key for unreachable because its own path is cut, and waits for another owner.
test('handle() refuses a request for a key at once, when no host reaches servers', async () => {
  await withHosts(async ([host], _backends, cutOff) => {
    if (host === undefined) return assert.unreachable()
    // No other host relays.
    host.setRelays([])
    host.setServers(await cutOff())
    // Requests for keys all go to their owner, which by itself would not show that the host is cut.
    host.markIsolated()
    const startedAt = now()
    const response = await callPort({ port: host.callerPort, path: '/once/x' }, { id: 'k1', key: 7, body: 'b' })
    assert.is(response.status, 503)
    assert.ok(now() - startedAt < 120, `${Math.round(now() - startedAt)} ms`)
    assert.is(host.records.at(-1)?.reason, 'no-path')
  }, true)
})

test.run()
