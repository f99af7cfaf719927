/** Tests of the way of a request: what is promised in answers, what is offered again, and what callers see of faults. */
import { createServer as createHttpServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { callPort, type CallerAnswer, type CallPortOptions } from '../../testing/call_port.ts'
import { answerNotRun, answerWhole, createFakeBackend, TEST_NAMES, type BackendAnswer, type FakeBackend } from '../../testing/fake_backend.ts'
import { createRetryBudget } from '../dispatch/retry_budget.ts'
import { RequestKind, type Route, type RoutingConfiguration } from '../routing/mod.ts'
import { createCallerServer } from './caller_server.ts'
import { createGateway } from './create_gateway.ts'
import { RelayHeader, RelayRefusal, type RelaySelector } from './relay_selector.ts'
import type { RequestRecord } from './request_record.ts'
import { createRoutingState, type RoutingState } from './routing_state.ts'
import { createServerAgent } from './server_agent.ts'
import { createServerLoads } from './server_loads.ts'

const test = suite('createGateway')

interface Setup {
  readonly knowledge: RoutingState
  readonly backends: readonly FakeBackend[]
  readonly records: RequestRecord[]
  call (path: string, options?: CallPortOptions): Promise<CallerAnswer>
}

const route: Route = {
  name: 'lookups', host: 'one.example', prefix: '/lookups/', kind: RequestKind.idempotent, latencyGoalMs: 300, timeoutMs: 600, maximumAttempts: 2, priority: 1, targets: [{ service: 'orders', weight: 1 }]
}
const configuration: RoutingConfiguration = {
  version: 1,
  limits: { headerBytes: 16384, bodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 5000 },
  routes: [route, { ...route, name: 'once', prefix: '/once/', kind: RequestKind.once }],
  services: [{ name: 'orders', keyed: false, maximumConnections: 100, coldKeyMs: 0 }]
}

async function withGateway (answers: readonly BackendAnswer[], run: (setup: Setup) => Promise<void>, options: { readonly keyed?: boolean, readonly retries?: number, readonly relays?: RelaySelector } = {}): Promise<void> {
  const backends = await Promise.all(answers.map(async (answer, index) => await createFakeBackend(`s${index}`, answer)))
  const knowledge = createRoutingState()
  knowledge.applyConfiguration({ ...configuration, services: configuration.services.map((service) => ({ ...service, keyed: options.keyed ?? false })) })
  knowledge.setServers(backends.map((backend) => backend.server))
  const records: RequestRecord[] = []
  const agent = createServerAgent()
  const now = (): number => performance.now()
  const budget = createRetryBudget({ share: 0, maximum: options.retries ?? 5 })
  const gateway = createGateway({
    routingState: knowledge, loads: createServerLoads(now), agent, relays: options.relays ?? { select: () => null }, relayAgent: agent, names: TEST_NAMES, host: 'h1', zone: 'a', retryBudgetOf: () => budget, now, random: () => 0, onKeyRequested: () => {}, onRequestEnd: (record) => { records.push(record) }, isLeaving: () => false
  })
  const server: Server = createCallerServer({ limits: configuration.limits, maximumConnections: 100, handle: gateway.handle, onError: () => {} })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  try {
    await run({
      knowledge,
      backends,
      records,
      call: (path, call = {}) => callPort({ port, path }, call)
    })
  } finally {
    server.closeAllConnections()
    server.close()
    agent.destroy()
    await Promise.all(backends.map(async (backend) => { await backend.close() }))
  }
}

const never: BackendAnswer = () => {}
const breakOff: BackendAnswer = (_request, response) => { response.destroy() }

test('handle() passes method, path, body and identifier on unchanged, and the answer back whole', async () => {
  await withGateway([answerWhole], async ({ call, backends }) => {
    const answer = await call('/once/x?y=1', { id: 'b7', body: 'two ammonites' })
    assert.is(answer.status, 200)
    assert.is(answer.body, '/once/x?y=1')
    assert.is(answer.headers[TEST_NAMES.signature], 'signed')
    const [received] = backends[0]?.requests ?? []
    assert.is(received?.id, 'b7')
    assert.is(received?.method, 'POST')
    assert.is(received?.body, 'two ammonites')
    assert.ok((received?.deadlineMs ?? Infinity) <= 600)
  })
})

test('handle() answers 404 for what no route matches, and 503 before there is a configuration', async () => {
  await withGateway([answerWhole], async ({ call }) => {
    assert.is((await call('/nowhere/')).status, 404)
  })
})

test('handle() offers a request that may not be repeated again, when the first server has not run it', async () => {
  await withGateway([answerNotRun, answerWhole], async ({ call, backends }) => {
    assert.is((await call('/once/x', { body: 'b' })).status, 200)
    assert.equal(backends.map((backend) => backend.requests.length), [1, 1])
  })
})

test('handle() never offers a request that may not be repeated again, and never says not run, when its connection broke off', async () => {
  await withGateway([breakOff, answerWhole], async ({ call, backends }) => {
    const answer = await call('/once/x', { body: 'b' })
    assert.is(answer.status, 502)
    assert.equal(backends.map((backend) => backend.requests.length), [1, 0])
  })
})

test('handle() offers a request that may be repeated to another server, when a connection broke off', async () => {
  await withGateway([breakOff, answerWhole], async ({ call }) => {
    assert.is((await call('/lookups/x')).status, 200)
  })
})

test('handle() offers a request to another server without spending the retry budget, when a relay says that the first is full', async () => {
  const relay = createHttpServer((_request, response) => { response.writeHead(503, { [RelayHeader.refusal]: RelayRefusal.full, [RelayHeader.roomAfterMs]: '50' }).end() })
  await new Promise<void>((resolve) => { relay.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(relay.address() as AddressInfo).port}`
  try {
    await withGateway([answerWhole, answerWhole], async ({ call, records }) => {
      assert.is((await call('/once/x', { body: 'b' })).status, 200)
      assert.equal(records[0]?.attempts.map((attempt) => attempt.outcome), ['full', '200'])
    }, { retries: 0, relays: { select: (server) => server.id === 's0' ? { host: 'h2', address, trackRequest: () => () => {} } : null } })
  } finally {
    relay.closeAllConnections()
    relay.close()
  }
})

test('handle() says 503 with a time to come back, when every server refuses', async () => {
  await withGateway([answerNotRun, answerNotRun], async ({ call }) => {
    const answer = await call('/once/x', { body: 'b' })
    assert.is(answer.status, 503)
    assert.ok(Number(answer.headers['retry-after']) > 0)
  })
})

test('handle() never says not run, when one server may have run a repeatable request and the next refuses it', async () => {
  await withGateway([breakOff, answerNotRun], async ({ call }) => {
    const answer = await call('/lookups/x')
    assert.is(answer.status, 502)
    assert.ok(Number(answer.headers['retry-after']) > 0)
  })
})

test('handle() does not offer again, when the retry budget is spent', async () => {
  await withGateway([breakOff, answerWhole], async ({ call, backends }) => {
    assert.is((await call('/lookups/x')).status, 502)
    assert.is(backends[1]?.requests.length, 0)
  }, { retries: 0 })
})

test('handle() answers 504 at the timeout of the route, when the server is silent', async () => {
  await withGateway([never], async ({ call }) => {
    const startedAt = performance.now()
    assert.is((await call('/once/x', { body: 'b' })).status, 504)
    const tookMs = performance.now() - startedAt
    assert.ok(tookMs >= 590 && tookMs < 1100, `${tookMs} ms`)
  })
})

test('handle() gives a server\'s work up within half a second, when the caller leaves', async () => {
  await withGateway([never], async ({ call, backends, records }) => {
    await call('/lookups/x', { leaveAfterMs: 100 }).then(() => assert.unreachable(), () => {})
    await new Promise((resolve) => { setTimeout(resolve, 400) })
    assert.equal(backends[0]?.abandoned, ['a1'])
    assert.is(records[0]?.reason, 'caller-left')
  })
})

test('handle() passes a failure of the server on as it is, when the request may not be repeated', async () => {
  const failing: BackendAnswer = (request, response) => { response.writeHead(500, { [TEST_NAMES.attemptId]: request.id, [TEST_NAMES.signature]: 'signed' }).end('failed') }
  await withGateway([failing, answerWhole], async ({ call }) => {
    const answer = await call('/once/x', { body: 'b' })
    assert.is(answer.status, 500)
    assert.is(answer.body, 'failed')
  })
})

test('handle() sends a keyed request to its owner only, and waits while the key moves', async () => {
  await withGateway([answerWhole, answerWhole], async ({ call, knowledge, backends }) => {
    knowledge.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'moving' } }])
    setTimeout(() => { knowledge.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'owned', server: 's1' } }]) }, 50)
    assert.is((await call('/lookups/x', { key: 7 })).status, 200)
    assert.equal(backends.map((backend) => backend.requests.length), [0, 1])
  }, { keyed: true })
})

test('handle() refuses a keyed request at once, when its key cannot be served for some time', async () => {
  await withGateway([answerWhole], async ({ call, knowledge }) => {
    knowledge.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'unserved', until: performance.now() + 3000 } }])
    const startedAt = performance.now()
    const answer = await call('/lookups/x', { key: 7 })
    assert.is(answer.status, 503)
    assert.ok(performance.now() - startedAt < 100)
    assert.ok(Number(answer.headers['retry-after']) <= 0.2)
  }, { keyed: true })
})

test('handle() follows a key to its new owner, when the old one says that it holds it no longer', async () => {
  const misdirected: BackendAnswer = (_request, response) => { response.writeHead(421, { [TEST_NAMES.notRun]: '1' }).end() }
  await withGateway([misdirected, answerWhole], async ({ call, knowledge }) => {
    knowledge.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'owned', server: 's0' } }])
    setTimeout(() => { knowledge.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'owned', server: 's1' } }]) }, 50)
    assert.is((await call('/once/x', { key: 7, body: 'b' })).status, 200)
  }, { keyed: true })
})

test.run()
