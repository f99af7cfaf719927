/**
 * Tests of a server that names the requests a second that it takes from all
 * hosts together. They guard against hosts that each keep the limit on their own,
 * and against hosts that send directly beside the relay.
 */
import { Agent, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { callPort } from '../../testing/call_port.ts'
import { createTestGuard } from '../../testing/create_test_guard.ts'
import { createFakeBackend, TEST_HEADER_NAMES, type BackendHandler } from '../../testing/fake_backend.ts'
import { countWithin } from '../../testing/count_within.ts'
import { TEST_CONFIGURATION } from '../../testing/with_gateway.ts'
import { createRetryBudget } from '../dispatch/retry_budget.ts'
import {
  createCallerServer, createGateway, createRequestLimits, createRequestPermits, createResponseMemory, createRoutingState, createServerAdmission, createServerAgent, createServerLoads, type PathSelector
} from '../gateway/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import { createRelay } from './create_relay.ts'

const test = suite('request limits of servers')

/** Limit that the server names, in requests per second. */
const LIMIT_PER_SECOND = 10

/** Time in which the requests of a server are counted, in milliseconds. */
const WINDOW_MS = 4000

/** Requests that a server may get in {@link WINDOW_MS}: one and a half times its limit, and five. */
const MAXIMUM_IN_WINDOW = LIMIT_PER_SECOND * WINDOW_MS / 1000 * 1.5 + 5

/** Time after a server first names a limit from which it holds, in milliseconds. */
const LIMIT_DELAY_MS = 500

/** Number of hosts, as every host knows it. */
const HOSTS = 7

const now = (): number => performance.now()

async function listen (server: Server): Promise<number> {
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return (server.address() as AddressInfo).port
}

interface TestHost { readonly callerPort: number, readonly relayAddress: string, close (): void }

/** Starts a host with a listener for callers and one for other hosts. */
async function startHost (name: string, { server, relays }: { readonly server: RoutedServer, readonly relays: PathSelector }): Promise<TestHost> {
  const routingState = createRoutingState()
  routingState.applyConfiguration({ ...TEST_CONFIGURATION, services: TEST_CONFIGURATION.services.map((service) => ({ ...service, keyed: true })) })
  routingState.setServers([server])
  routingState.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'owned', server: server.id } }])
  const loads = createServerLoads(now)
  const limits = createRequestLimits({ now, onChange: () => {} })
  const permits = createRequestPermits({ limits, hostCount: () => HOSTS, now, random: Math.random })
  const admission = createServerAdmission({ loads, limits, permits, now })
  const [agent, relayAgent] = [createServerAgent(), new Agent({ keepAlive: true })]
  const budget = createRetryBudget({ share: 0, maximum: 5 })
  const shared = { guard: createTestGuard(), responseMemory: createResponseMemory(), routingState, loads, limits, permits, admission, isRelay: relays.isRelay, isIsolated: () => false, agent, names: TEST_HEADER_NAMES, now }
  const gateway = createGateway({ ...shared, relays, relayAgent, host: name, zone: 'a', retryBudgetOf: () => budget, random: Math.random, onKeyRequested: () => {}, onRequestEnd: () => {}, isLeaving: () => false, stopsAt: () => Infinity })
  const relay = createRelay({ ...shared, onEnd: () => {}, stopsAt: () => Infinity })
  const [callerServer, relayServer] = [gateway, relay].map(({ handle }) => createCallerServer({ limits: TEST_CONFIGURATION.limits, maximumConnections: 1000, handle, onError: () => {} }))
  if (callerServer === undefined || relayServer === undefined) throw new Error('The host has no listeners')
  return {
    callerPort: await listen(callerServer),
    relayAddress: `127.0.0.1:${await listen(relayServer)}`,
    close () {
      for (const listener of [callerServer, relayServer]) {
        listener.closeAllConnections()
        listener.close()
      }
      for (const opened of [agent, relayAgent]) opened.destroy()
    }
  }
}

/** Sends requests at a constant rate through all hosts in turn; returns how many were served. */
async function sendLoad (ports: readonly number[], { perSecond, forMs, body }: { readonly perSecond: number, readonly forMs: number, readonly body?: string }): Promise<number> {
  const calls: Array<Promise<boolean>> = []
  const endsAt = now() + forMs
  for (let sent = 0; now() < endsAt; sent++) {
    const port = ports[sent % ports.length] ?? 0
    calls.push(callPort({ port, path: '/lookups/x' }, { id: `r${sent}`, key: sent % 1000, ...(body === undefined ? {} : { body }) }).then((response) => response.status === 200, () => false))
    await new Promise((resolve) => { setTimeout(resolve, 1000 / perSecond) })
  }
  return (await Promise.all(calls)).filter((served) => served).length
}

/** Runs a load against a server that names a limit, through one relay and two hosts that use it. */
async function runLimited ({ directHosts, body }: { readonly directHosts: number, readonly body?: string }): Promise<{ readonly mostInWindow: number, readonly served: number }> {
  const arrivals: number[] = []
  const respond: BackendHandler = (request, response) => {
    arrivals.push(now())
    response.writeHead(200, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.signature]: 'signed', [TEST_HEADER_NAMES.requestLimit]: String(LIMIT_PER_SECOND) }).end('found')
  }
  const backend = await createFakeBackend('s0', respond)
  const server = { ...backend.server, slots: 100 }
  const relay = await startHost('relay', { server, relays: { select: () => ({ kind: 'direct' }), isRelay: () => true, isIsolated: () => false, recordIsolated: () => {} } })
  const viaRelay: PathSelector = { select: (_server, { triedRelays }) => triedRelays.size > 0 ? { kind: 'direct' } : { kind: 'relay', relay: { host: 'relay', address: relay.relayAddress, trackRequest: () => () => {} } }, isRelay: () => false, isIsolated: () => false, recordIsolated: () => {} }
  const hosts = [relay, ...await Promise.all(['h1', 'h2'].map(async (name) => await startHost(name, { server, relays: viaRelay })))]
  for (let direct = 0; direct < directHosts; direct++) hosts.push(await startHost(`direct${direct}`, { server, relays: { select: () => ({ kind: 'direct' }), isRelay: () => false, isIsolated: () => false, recordIsolated: () => {} } }))
  try {
    const served = await sendLoad(hosts.map((host) => host.callerPort), { perSecond: 120, forMs: WINDOW_MS + LIMIT_DELAY_MS + 500, ...(body === undefined ? {} : { body }) })
    const limitedFrom = (arrivals[0] ?? 0) + LIMIT_DELAY_MS
    return { mostInWindow: countWithin(arrivals.filter((at) => at >= limitedFrom), WINDOW_MS), served }
  } finally {
    for (const host of hosts) host.close()
    await backend.close()
  }
}

test('a server gets no more than one and a half times its limit and five requests, when several hosts have more for it', async () => {
  const { mostInWindow, served } = await runLimited({ directHosts: 0 })
  assert.ok(mostInWindow <= MAXIMUM_IN_WINDOW, `${mostInWindow} requests in ${WINDOW_MS} ms`)
  assert.ok(served >= LIMIT_PER_SECOND * WINDOW_MS / 1000 * 0.8, `only ${served} were served`)
})

test('a server gets no more than one and a half times its limit and five requests, when bodies are too long for a relay', async () => {
  const { mostInWindow, served } = await runLimited({ directHosts: 0, body: 'x'.repeat(40_000) })
  assert.ok(mostInWindow <= MAXIMUM_IN_WINDOW, `${mostInWindow} requests in ${WINDOW_MS} ms`)
  assert.ok(served >= LIMIT_PER_SECOND * WINDOW_MS / 1000 * 0.8, `only ${served} were served`)
})

test('a server gets no more than one and a half times its limit and five requests, when some hosts know no relay', async () => {
  const { mostInWindow } = await runLimited({ directHosts: 4 })
  assert.ok(mostInWindow <= MAXIMUM_IN_WINDOW, `${mostInWindow} requests in ${WINDOW_MS} ms`)
})

test.run()
