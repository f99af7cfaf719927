/** Tests of requests that go from one host through another to a server. */
import { Agent, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { callPort, type CallerAnswer, type CallPortOptions } from '../../testing/call_port.ts'
import { answerNotRun, answerWhole, createFakeBackend, TEST_NAMES, type BackendAnswer, type FakeBackend } from '../../testing/fake_backend.ts'
import { createRetryBudget } from '../dispatch/retry_budget.ts'
import { createCallerServer, createGateway, createRoutingState, createServerAgent, createServerLoads, type RoutingState, type ServerLoads } from '../gateway/mod.ts'
import { RequestKind, type Route, type RoutingConfiguration } from '../routing/mod.ts'
import { createRelay } from './create_relay.ts'

const test = suite('createRelay')

interface Setup {
  readonly backend: FakeBackend
  /** What the relay knows of its server's load. */
  readonly loads: ServerLoads
  readonly relayKnowledge: RoutingState
  closeRelay (): Promise<void>
  call (path: string, options?: CallPortOptions): Promise<CallerAnswer>
}

const route: Route = {
  name: 'lookups', host: 'one.example', prefix: '/lookups/', kind: RequestKind.idempotent, latencyGoalMs: 300, timeoutMs: 700, maximumAttempts: 2, priority: 1, targets: [{ service: 'orders', weight: 1 }]
}
const configuration: RoutingConfiguration = {
  version: 1,
  limits: { headerBytes: 16384, bodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 5000 },
  routes: [route, { ...route, name: 'once', prefix: '/once/', kind: RequestKind.once }],
  services: [{ name: 'orders', keyed: true, maximumConnections: 100, coldKeyMs: 0 }]
}

async function listen (server: Server): Promise<number> {
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return (server.address() as AddressInfo).port
}

async function withRelay (answer: BackendAnswer, run: (setup: Setup) => Promise<void>): Promise<void> {
  const backend = await createFakeBackend('s0', answer)
  const [knowledge, relayKnowledge] = [createRoutingState(), createRoutingState()]
  knowledge.applyConfiguration(configuration)
  for (const beliefs of [knowledge, relayKnowledge]) beliefs.setServers([backend.server])
  knowledge.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'owned', server: 's0' } }])
  const now = (): number => performance.now()
  const loads = createServerLoads(now)
  const agents = [createServerAgent(), createServerAgent(), new Agent({ keepAlive: true })] as const
  const relay = createRelay({ routingState: relayKnowledge, loads, agent: agents[0], names: TEST_NAMES, now, onEnd: () => {} })
  const relayServer = createCallerServer({ limits: configuration.limits, maximumConnections: 100, handle: relay.handle, onError: () => {} })
  const address = `127.0.0.1:${await listen(relayServer)}`
  const budget = createRetryBudget({ share: 0, maximum: 5 })
  const gateway = createGateway({
    routingState: knowledge,
    loads: createServerLoads(now),
    agent: agents[1],
    relays: { select: () => ({ host: 'h2', address, trackRequest: () => () => {} }) },
    relayAgent: agents[2],
    names: TEST_NAMES,
    host: 'h1',
    zone: 'a',
    retryBudgetOf: () => budget,
    now,
    random: () => 0,
    onKeyRequested: () => {},
    onRequestEnd: () => {},
    isLeaving: () => false
  })
  const callerServer = createCallerServer({ limits: configuration.limits, maximumConnections: 100, handle: gateway.handle, onError: () => {} })
  const port = await listen(callerServer)
  async function closeRelay (): Promise<void> {
    relayServer.closeAllConnections()
    await new Promise<void>((resolve) => { relayServer.close(() => { resolve() }) })
  }
  try {
    await run({
      backend,
      loads,
      relayKnowledge,
      closeRelay,
      call: (path, call = {}) => callPort({ port, path }, { ...call, key: 7 })
    })
  } finally {
    await closeRelay()
    callerServer.closeAllConnections()
    callerServer.close()
    for (const agent of agents) agent.destroy()
    await backend.close()
  }
}

const never: BackendAnswer = () => {}

test('handle() passes a request with its body on unchanged, and the answer back whole', async () => {
  await withRelay(answerWhole, async ({ call, backend }) => {
    const answer = await call('/once/x?y=1', { body: 'two ammonites' })
    assert.is(answer.status, 200)
    assert.is(answer.body, '/once/x?y=1')
    assert.is(answer.headers[TEST_NAMES.signature], 'signed')
    const [received] = backend.requests
    assert.is(received?.id, 'a1')
    assert.is(received?.body, 'two ammonites')
    assert.ok((received?.deadlineMs ?? Infinity) <= 700)
  })
})

test('handle() refuses at once and sends nothing, when the server has twice its slots in hand', async () => {
  await withRelay(answerWhole, async ({ call, backend, loads }) => {
    for (let request = 0; request < backend.server.slots * 2; request++) loads.trackRequest(backend.server)
    const startedAt = performance.now()
    const answer = await call('/once/x', { body: 'b' })
    assert.is(answer.status, 503)
    assert.ok(Number(answer.headers['retry-after']) > 0)
    assert.ok(performance.now() - startedAt < 200)
    assert.is(backend.requests.length, 0)
  })
})

test('handle() is passed by, when the relay has ended: the request goes to the server directly', async () => {
  await withRelay(answerWhole, async ({ call, backend, closeRelay }) => {
    await closeRelay()
    assert.is((await call('/once/x', { body: 'b' })).status, 200)
    assert.is(backend.requests.length, 1)
  })
})

test('handle() gives the server\'s work up within half a second, when the caller leaves', async () => {
  await withRelay(never, async ({ call, backend }) => {
    await call('/lookups/x', { leaveAfterMs: 100 }).then(() => assert.unreachable(), () => {})
    await new Promise((resolve) => { setTimeout(resolve, 400) })
    assert.equal(backend.abandoned, ['a1'])
  })
})

test('handle() never makes a broken connection look like a refusal, when the request may have run', async () => {
  const breakOff: BackendAnswer = (_request, response) => { response.destroy() }
  await withRelay(breakOff, async ({ call, backend }) => {
    const answer = await call('/once/x', { body: 'b' })
    assert.is(answer.status, 502)
    assert.is(backend.requests.length, 1)
  })
})

test('handle() sends nothing to a server that is about to leave, when only the relay has heard of it', async () => {
  await withRelay(answerWhole, async ({ call, backend, relayKnowledge }) => {
    relayKnowledge.setServers([{ ...backend.server, leaving: true }])
    assert.is((await call('/once/x', { body: 'b' })).status, 503)
    assert.is(backend.requests.length, 0)
  })
})

test('handle() passes on that the server has not run the request', async () => {
  await withRelay(answerNotRun, async ({ call }) => {
    assert.is((await call('/once/x', { body: 'b' })).status, 503)
  })
})

test('handle() passes a failure of the server on as it is', async () => {
  const failing: BackendAnswer = (request, response) => { response.writeHead(500, { [TEST_NAMES.attemptId]: request.id, [TEST_NAMES.signature]: 'signed' }).end('failed') }
  await withRelay(failing, async ({ call }) => {
    const answer = await call('/once/x', { body: 'b' })
    assert.is(answer.status, 500)
    assert.is(answer.body, 'failed')
  })
})

test('handle() streams a long answer whole, and breaks off one that its server broke off', async () => {
  const long = 'x'.repeat(2_000_000)
  const streaming: BackendAnswer = (request, response) => {
    response.writeHead(200, { [TEST_NAMES.attemptId]: request.id, [TEST_NAMES.signature]: 'signed', 'Content-Length': String(long.length) })
    if (request.path.includes('cut')) response.write(long.slice(0, 1_500_000), () => { setTimeout(() => { response.destroy() }, 50) })
    else response.end(long)
  }
  await withRelay(streaming, async ({ call }) => {
    assert.is((await call('/lookups/x')).body.length, long.length)
    await call('/lookups/cut').then(() => assert.unreachable(), () => {})
  })
})

test.run()
