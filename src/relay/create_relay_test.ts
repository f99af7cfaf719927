/** Tests of requests that one host sends to a server through another host. */
import { Agent, request as startRequest, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { callPort, type CallerResponse, type CallPortOptions } from '../../testing/call_port.ts'
import { createFloodServer } from '../../testing/flood_server.ts'
import { createTestGuard } from '../../testing/create_test_guard.ts'
import { respondNotRun, respondWithPath, createFakeBackend, TEST_HEADER_NAMES, type BackendHandler, type FakeBackend } from '../../testing/fake_backend.ts'
import { createRetryBudget } from '../dispatch/retry_budget.ts'
import { fingerprintRequest, NO_EVIDENCE, type RequestGuard } from '../fatal_requests/mod.ts'
import { RelayHeader, RelayRefusal, createCallerServer, createGateway, createRequestLimits, createRequestPermits, createResponseMemory, createRoutingState, createServerAdmission, createServerAgent, createServerLoads, type RequestRecord, type ResponseMemory, type RoutingState, type ServerLoads } from '../gateway/mod.ts'
import { RequestKind, type Route, type RoutingConfiguration } from '../routing/mod.ts'
import { createRelay } from './create_relay.ts'

const test = suite('createRelay')

interface Setup {
  readonly backend: FakeBackend
  /** Server loads as the relay counts them. */
  readonly loads: ServerLoads
  readonly relayState: RoutingState
  /** Memory for responses of the host that accepts requests, and of the relay. */
  readonly responseMemories: readonly [origin: ResponseMemory, relay: ResponseMemory]
  /** Guard of the relay; the host that accepts requests has another one. */
  readonly relayGuard: RequestGuard
  readonly originState: RoutingState
  readonly relayPort: number
  /** What the relay has recorded. */
  readonly relayed: RequestRecord[]
  /** Port of the host that accepts requests. */
  readonly port: number
  closeRelay (): Promise<void>
  call (path: string, options?: CallPortOptions): Promise<CallerResponse>
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

async function withRelay (handler: BackendHandler, run: (setup: Setup) => Promise<void>, relayStopsAt: () => number = () => Infinity): Promise<void> {
  const backend = await createFakeBackend('s0', handler)
  const [originState, relayState] = [createRoutingState(), createRoutingState()]
  originState.applyConfiguration(configuration)
  for (const state of [originState, relayState]) state.setServers([backend.server])
  originState.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'owned', server: 's0' } }])
  const now = (): number => performance.now()
  const loads = createServerLoads(now)
  const originLoads = createServerLoads(now)
  const limits = createRequestLimits({ now, onChange: () => {} })
  const permits = createRequestPermits({ limits, hostCount: () => 1, now, random: () => 0 })
  const relayGuard = createTestGuard()
  const responseMemories = [createResponseMemory(), createResponseMemory()] as const
  const agents = [createServerAgent(), createServerAgent(), new Agent({ keepAlive: true })] as const
  const relayed: RequestRecord[] = []
  const relay = createRelay({ routingState: relayState, loads, limits, admission: createServerAdmission({ loads, limits, permits, now }), isRelay: () => true, isIsolated: () => false, guard: relayGuard, responseMemory: responseMemories[1], agent: agents[0], names: TEST_HEADER_NAMES, now, onEnd: (record) => { relayed.push(record) }, stopsAt: relayStopsAt })
  const relayServer = createCallerServer({ limits: configuration.limits, maximumConnections: 100, handle: relay.handle, onError: () => {} })
  const relayPort = await listen(relayServer)
  const address = `127.0.0.1:${relayPort}`
  const budget = createRetryBudget({ share: 0, maximum: 5 })
  const gateway = createGateway({
    guard: createTestGuard(),
    responseMemory: responseMemories[0],
    routingState: originState,
    loads: originLoads,
    limits,
    permits,
    admission: createServerAdmission({ loads: originLoads, limits, permits, now }),
    agent: agents[1],
    relays: { select: (_server, { triedRelays }) => triedRelays.size > 0 ? { kind: 'direct' } : { kind: 'relay', relay: { host: 'h2', address, trackRequest: () => () => {} } }, isRelay: () => false, isIsolated: () => false, recordIsolated: () => {} },
    relayAgent: agents[2],
    names: TEST_HEADER_NAMES,
    host: 'h1',
    zone: 'a',
    retryBudgetOf: () => budget,
    now,
    random: () => 0,
    onKeyRequested: () => {},
    onRequestEnd: () => {},
    isLeaving: () => false,
    stopsAt: () => Infinity
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
      relayed,
      relayState,
      relayGuard,
      responseMemories,
      originState,
      relayPort,
      port,
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

const neverRespond: BackendHandler = () => {}

/** Maximum time that a test waits for an event, in milliseconds: the process may be held up. */
const MAXIMUM_WAIT_MS = 10_000

async function waitFor (isReached: () => boolean): Promise<void> {
  for (const until = performance.now() + MAXIMUM_WAIT_MS; performance.now() < until && !isReached();) await new Promise((resolve) => { setTimeout(resolve, 5) })
}

test('handle() forwards a request and its body unchanged, and returns the complete response', async () => {
  await withRelay(respondWithPath, async ({ call, backend }) => {
    const response = await call('/once/x?y=1', { body: 'two ammonites' })
    assert.is(response.status, 200)
    assert.is(response.body, '/once/x?y=1')
    assert.is(response.headers[TEST_HEADER_NAMES.signature], 'signed')
    const [received] = backend.requests
    assert.is(received?.id, 'a1')
    assert.is(received?.body, 'two ammonites')
    assert.ok((received?.deadlineMs ?? Infinity) <= 700)
  })
})

// Guards against a request that ends one server after another through relays: the host that accepts it may know less than the relay.
test('handle() refuses a request unrun and for long, when the relay knows that three servers have ended under it', async () => {
  await withRelay(respondWithPath, async ({ call, backend, relayGuard }) => {
    const fingerprint = fingerprintRequest({ method: 'POST', path: '/lookups/fatal', headers: ['host', 'one.example', TEST_HEADER_NAMES.key, '7'], body: Buffer.from('cast') }, new Set())?.exact ?? ''
    const endedAt = performance.now() - 1000
    relayGuard.merge({ ...NO_EVIDENCE, ends: [0, 100, 200].map((afterMs) => ({ server: `gone-${afterMs}`, bornAt: 1, endedAt: endedAt + afterMs, requests: [{ fingerprint, sentAt: endedAt + afterMs - 50 }] })) })
    const refused = await call('/lookups/fatal', { body: 'cast' })
    assert.is(refused.status, 503)
    assert.ok(Number(refused.headers['retry-after']) > 60)
    assert.is((await call('/lookups/fatal', { id: 'a2', body: 'last' })).status, 200)
    assert.equal(backend.requests.map(({ id }) => id), ['a2'])
  })
})

test('handle() keeps a bounded number of bytes at the relay and at the host that accepts requests, when a server sends without end and callers do not read', async () => {
  const flood = await createFloodServer()
  try {
    await withRelay(respondWithPath, async ({ call, backend, originState, relayState, responseMemories, port }) => {
      for (const state of [originState, relayState]) state.setServers(state.servers().map((server) => ({ ...server, address: flood.address, slots: 1000 })))
      const sockets = Array.from({ length: 80 }, (_, index) => {
        const socket = connect(port, '127.0.0.1')
        socket.on('error', () => {}).pause()
        socket.write(`GET /once/x HTTP/1.1\r\nHost: one.example\r\n${TEST_HEADER_NAMES.attemptId}: e${index}\r\n${TEST_HEADER_NAMES.key}: 7\r\n\r\n`)
        return socket
      })
      const peaks = [0, 0]
      const startedAt = performance.now()
      while (performance.now() < startedAt + 400 || (peaks.includes(0) && performance.now() < startedAt + MAXIMUM_WAIT_MS)) {
        await new Promise((resolve) => { setTimeout(resolve, 5) })
        for (const [index, memory] of responseMemories.entries()) peaks[index] = Math.max(peaks[index] ?? 0, memory.bytes())
      }
      for (const socket of sockets) socket.destroy()
      await waitFor(() => responseMemories.every((memory) => memory.bytes() === 0))
      assert.ok(peaks.every((peak) => peak > 0 && peak <= 32 * 1024 * 1024), `${peaks.join()} bytes are kept`)
      assert.equal(responseMemories.map((memory) => memory.bytes()), [0, 0])
      for (const state of [originState, relayState]) state.setServers([backend.server])
      assert.is((await call('/once/y')).status, 200)
    })
  } finally {
    await flood.close()
  }
})

test('handle() refuses immediately and sends nothing, when the requests in flight are twice the server\'s slots', async () => {
  await withRelay(respondWithPath, async ({ call, backend, loads }) => {
    for (let request = 0; request < backend.server.slots * 2; request++) loads.trackRequest(backend.server)
    const startedAt = performance.now()
    const response = await call('/once/x', { body: 'b' })
    assert.is(response.status, 503)
    assert.ok(Number(response.headers['retry-after']) > 0)
    assert.ok(performance.now() - startedAt < 200)
    assert.is(backend.requests.length, 0)
  })
})

// Guards against requests that a relay forwards to a server whose response to another host has said that it is leaving.
for (const status of [200, 500, 503]) {
  test(`handle() forwards no further request to a server, when its response with status ${status} has said that it is leaving`, async () => {
    const respond: BackendHandler = (request, response) => {
      response.writeHead(status, { [TEST_HEADER_NAMES.attemptId]: request.id, [status === 503 ? TEST_HEADER_NAMES.notRun : TEST_HEADER_NAMES.signature]: '1', [TEST_HEADER_NAMES.leaving]: '1' }).end()
    }
    await withRelay(respond, async ({ call, backend, relayState, originState }) => {
      await call('/once/x', { id: 'r1', body: 'b' })
      assert.is(relayState.server('s0')?.leaving, true)
      // The host that accepted the request got the response, too.
      assert.is(originState.server('s0')?.leaving, true)
      for (let request = 0; request < 5; request++) assert.is((await call('/once/x', { id: `s${request}`, body: 'b' })).status, 503)
      assert.is(backend.requests.length, 1)
    })
  })
}

test('handle() leaves a request to its caller with a time to return, when the only owner of its key rejects it and counts as full', async () => {
  await withRelay(respondNotRun, async ({ call, loads, backend }) => {
    for (let request = 0; request < backend.server.slots; request++) loads.trackRequest(backend.server)
    const returns: number[] = []
    for (let request = 0; request < 3; request++) {
      const response = await call('/lookups/x', { id: `a${request}` })
      assert.is(response.status, 503)
      returns.push(Number(response.headers['retry-after']))
      // The relay counts the server as full for 60 ms.
      await new Promise((resolve) => { setTimeout(resolve, 80) })
    }
    assert.is(backend.requests.length, 3)
    assert.ok(returns.every((seconds) => seconds > 0), returns.join())
  })
})

test('handle() is bypassed and the request goes directly to the server, when the relay has stopped', async () => {
  await withRelay(respondWithPath, async ({ call, backend, closeRelay }) => {
    await closeRelay()
    assert.is((await call('/once/x', { body: 'b' })).status, 200)
    assert.is(backend.requests.length, 1)
  })
})

test('handle() cancels the request at the server within half a second, when the caller disconnects', async () => {
  await withRelay(neverRespond, async ({ call, backend }) => {
    await call('/lookups/x', { abortAfterMs: 100 }).then(() => assert.unreachable(), () => {})
    await new Promise((resolve) => { setTimeout(resolve, 400) })
    assert.equal(backend.abandonedRequestIds, ['a1'])
  })
})

test('handle() sends nothing to a server, when the host that sent the request has disconnected before the relay reads it', async () => {
  await withRelay(respondWithPath, async ({ call, backend, relayPort }) => {
    // Leaves an idle connection to the server, on which the next request is sent without a delay.
    assert.is((await call('/once/first', { id: 'a0', body: '' })).status, 200)
    const socket = connect(relayPort, '127.0.0.1')
    await new Promise<void>((resolve) => {
      socket.on('connect', () => {
        // Both are waiting in the relay's socket buffer when the relay reads it, as after a pause of its process.
        socket.write('POST /once/x HTTP/1.1\r\nHost: one.example\r\nX-Attempt: a1\r\nX-Deadline: 2000\r\nX-Target: s0\r\nX-Gooseberryfold-Goal-Ms: 300\r\nContent-Length: 5\r\n\r\nhello')
        socket.destroy()
        resolve()
      })
    })
    await new Promise((resolve) => { setTimeout(resolve, 500) })
    assert.equal(backend.requests.map((request) => request.id), ['a0'])
  })
})

// Guards against memory that streamed bodies keep after their request has ended.
test('handle() reads the next request of a connection, when a long body was refused', async () => {
  await withRelay(respondWithPath, async ({ loads, backend, relayPort }) => {
    const ends = Array.from({ length: backend.server.slots * 2 }, () => loads.trackRequest(backend.server))
    const head = (id: string, bytes: number): string => `POST /once/${id} HTTP/1.1\r\nHost: one.example\r\nX-Attempt: ${id}\r\nX-Deadline: 2000\r\nX-Target: s0\r\nX-Gooseberryfold-Goal-Ms: 300\r\nContent-Length: ${bytes}\r\n\r\n`
    const bytes = 40 * 1024 * 1024
    let received = ''
    const socket = connect(relayPort, '127.0.0.1')
    socket.on('data', (data) => {
      received += data.toString('latin1')
      if (!received.includes('HTTP/1.1 503')) return
      for (const end of ends.splice(0)) end({ kind: 'other' })
    })
    socket.write(head('a1', bytes))
    socket.write(Buffer.alloc(bytes))
    socket.write(`${head('a2', 5)}hello`)
    await waitFor(() => received.includes('HTTP/1.1 200 '))
    socket.destroy()
    assert.match(received, /^HTTP\/1\.1 503 [^]*HTTP\/1\.1 200 /)
  })
})

test('handle() never reports a broken connection as a refusal, when the request may have run', async () => {
  const abortResponse: BackendHandler = (_request, response) => { response.destroy() }
  await withRelay(abortResponse, async ({ call, backend }) => {
    const response = await call('/once/x', { body: 'b' })
    assert.is(response.status, 502)
    assert.is(backend.requests.length, 1)
  })
})

test('handle() sends nothing to a server that is about to leave, when only the relay knows that', async () => {
  await withRelay(respondWithPath, async ({ call, backend, relayState }) => {
    relayState.setServers([{ ...backend.server, leaving: true }])
    assert.is((await call('/once/x', { body: 'b' })).status, 503)
    assert.is(backend.requests.length, 0)
  })
})

test('handle() reports that the server has not run the request', async () => {
  await withRelay(respondNotRun, async ({ call }) => {
    assert.is((await call('/once/x', { body: 'b' })).status, 503)
  })
})

test('handle() forwards an error response of the server unchanged', async () => {
  const respondWithError: BackendHandler = (request, response) => { response.writeHead(500, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.signature]: 'signed' }).end('failed') }
  await withRelay(respondWithError, async ({ call }) => {
    const response = await call('/once/x', { body: 'b' })
    assert.is(response.status, 500)
    assert.is(response.body, 'failed')
  })
})

test('handle() streams a long response completely, and aborts one that its server aborts', async () => {
  const long = 'x'.repeat(2_000_000)
  const streamResponse: BackendHandler = (request, response) => {
    response.writeHead(200, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.signature]: 'signed', 'Content-Length': String(long.length) })
    if (request.path.includes('cut')) response.write(long.slice(0, 1_500_000), () => { setTimeout(() => { response.destroy() }, 50) })
    else response.end(long)
  }
  await withRelay(streamResponse, async ({ call, relayed }) => {
    assert.is((await call('/lookups/x')).body.length, long.length)
    await call('/lookups/cut').then(() => assert.unreachable(), () => {})
    assert.equal(relayed.map(({ responseBody }) => [responseBody?.framing, responseBody?.receivedBytes, responseBody?.end]), [['length', 2_000_000, 'complete'], ['length', 1_500_000, 'cut']])
  })
})

// Guards against 'not run' for a request that its owner runs: the relay's kept connection carried a copy of an earlier refusal.
test('handle() forwards the response of the server, when the server has refused the request before and repeats that refusal', async () => {
  let first: ServerResponse['socket'] = null
  const refuseOnceThenRepeat: BackendHandler = (request, response) => {
    if (first === null) {
      first = response.socket
      respondNotRun(request, response)
      return
    }
    setTimeout(() => { first?.write(`HTTP/1.1 503 Service Unavailable\r\n${TEST_HEADER_NAMES.attemptId}: ${request.id}\r\n${TEST_HEADER_NAMES.notRun}: 1\r\nContent-Length: 0\r\n\r\n`) }, 20)
    setTimeout(() => { respondWithPath(request, response) }, 120)
  }
  await withRelay(refuseOnceThenRepeat, async ({ call, backend }) => {
    const responses = [await call('/once/x', { body: 'b', key: 7 })]
    if (responses[0]?.status === 503) responses.push(await call('/once/x', { body: 'b', key: 7 }))
    assert.is(responses.at(-1)?.status, 200)
    assert.is(backend.requests.length, 2)
  })
})

// Guards against an empty or short body that looks whole: a server that stops in the middle of its head and closes.
test('handle() never responds with a success, when the server closes its connection in the middle of the head of its response', async () => {
  const head = `HTTP/1.1 200 OK\r\n${TEST_HEADER_NAMES.attemptId}: a1\r\n${TEST_HEADER_NAMES.signature}: s\r\nContent-Length: 0\r\n\r\n`
  for (const length of [0, 15, 17, 60, head.length - 2, head.length - 1]) {
    await withRelay((_request, response) => { response.socket?.end(head.slice(0, length)) }, async ({ call }) => {
      assert.is((await call('/once/x', { body: 'b', key: 7 })).status, 502, `${length} bytes`)
    })
  }
})

// Guards against requests that a relay takes although it stops before they can end.
test('handle() leaves a request to the host that sent it, when it may still be in progress when the relay stops', async () => {
  const stopsAt = performance.now() + 10_000
  await withRelay(respondWithPath, async ({ call, relayPort, backend }) => {
    const statuses: number[] = []
    for (const deadlineMs of ['15000', '5000']) {
      const response = await fetch(`http://127.0.0.1:${relayPort}/once/x`, { headers: { [TEST_HEADER_NAMES.targetServer]: 's0', [TEST_HEADER_NAMES.attemptId]: 'a1', [TEST_HEADER_NAMES.deadlineMs]: deadlineMs, [RelayHeader.goalMs]: '300' } })
      statuses.push(response.status)
      if (response.status === 503) assert.is(response.headers.get(RelayHeader.refusal), RelayRefusal.stopping)
    }
    assert.equal(statuses, [503, 200])
    assert.is((await call('/once/x', { body: 'b' })).status, 200)
    assert.is(backend.requests.length, 2)
  }, () => stopsAt)
})

// Guards against a request that is broken off by a relay, which cannot know whether it goes on elsewhere.
test('handle() reports a server that does not respond in time and passes on its response, when the host asks for reports', async () => {
  await withRelay((request, response) => { setTimeout(() => { respondWithPath(request, response) }, 800) }, async ({ relayPort, backend }) => {
    const received = await new Promise<{ readonly interim: number[], readonly status: number | undefined }>((resolve, reject) => {
      const interim: number[] = []
      const request = startRequest({ port: relayPort, host: '127.0.0.1', agent: false, path: '/lookups/x', headers: { [TEST_HEADER_NAMES.attemptId]: 'a1', [TEST_HEADER_NAMES.targetServer]: 's0', [TEST_HEADER_NAMES.deadlineMs]: '3000', [RelayHeader.goalMs]: '300', [RelayHeader.reportsOverdue]: '1' } })
      request.on('information', ({ statusCode }) => { interim.push(statusCode) })
      request.on('error', reject)
      request.on('response', ({ statusCode }) => { resolve({ interim, status: statusCode }) })
      request.end()
    })
    assert.equal(received, { interim: [102], status: 200 })
    assert.equal(backend.abandonedRequestIds, [])
  })
})

test.run()
