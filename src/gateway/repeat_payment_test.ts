/**
 * Tests of each way on which a request is sent to another server: without
 * retries in the budget it is sent again only if the first attempt cannot have
 * reached a server.
 */
import { createServer as createHttpServer, type RequestListener } from 'node:http'
import { createServer as createNetServer, type AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { respondNotRun, respondWithPath, TEST_HEADER_NAMES, type BackendHandler } from '../../testing/fake_backend.ts'
import { TEST_CONFIGURATION, TEST_ROUTE, withGateway, type GatewaySetup } from '../../testing/with_gateway.ts'
import { RelayHeader, RelayRefusal, type PathSelector } from './relay_selector.ts'

const test = suite('repeat payment')

const DIRECT_PATHS: PathSelector = { select: () => ({ kind: 'direct' }), isRelay: () => true, isIsolated: () => false, recordIsolated: () => {} }

/** Selects a relay for the server `s0`. */
function relayPaths (address: string): PathSelector {
  return { ...DIRECT_PATHS, select: (server, { triedRelays }) => server.id === 's0' && triedRelays.size === 0 ? { kind: 'relay', relay: { host: 'h2', address, trackRequest: () => () => {} } } : { kind: 'direct' } }
}

/** Runs a test with a relay on a loopback port that responds through a handler. */
async function withFakeRelay (handler: RequestListener, run: (relays: PathSelector) => Promise<void>): Promise<void> {
  const relay = createHttpServer(handler)
  await new Promise<void>((resolve) => { relay.listen(0, '127.0.0.1', resolve) })
  try {
    await run(relayPaths(`127.0.0.1:${(relay.address() as AddressInfo).port}`))
  } finally {
    relay.closeAllConnections()
    relay.close()
  }
}

interface Way {
  readonly name: string
  /** Handler of the server that is tried first. */
  readonly first?: BackendHandler
  /** Handler of its relay. Default: the server is reached directly. */
  readonly relay?: RequestListener
  /** Prepares the gateway. */
  readonly prepare?: (setup: GatewaySetup) => Promise<void>
  readonly path?: string
}

/** Sends a request whose first attempt fails in a way; returns the status, and the arrivals at both servers and at the relay. */
async function sendOnWay (way: Way, retries: number): Promise<{ readonly status: number, readonly arrivals: number }> {
  let relayed = 0
  async function run (relays: PathSelector): Promise<{ status: number, arrivals: number }> {
    let result = { status: 0, arrivals: 0 }
    await withGateway([way.first ?? respondWithPath, respondWithPath], async (setup) => {
      await way.prepare?.(setup)
      const { status } = await setup.call(way.path ?? '/lookups/x')
      result = { status, arrivals: relayed + setup.backends.reduce((sum, backend) => sum + backend.requests.length, 0) }
    }, { retries, relays })
    return result
  }
  if (way.relay === undefined) return await run(DIRECT_PATHS)
  const { relay } = way
  let result = { status: 0, arrivals: 0 }
  await withFakeRelay((request, response) => {
    relayed++
    relay(request, response)
  }, async (relays) => { result = await run(relays) })
  return result
}

function refuseAtRelay (refusal: string, headers: Readonly<Record<string, string>> = {}): RequestListener {
  return (_request, response) => { response.writeHead(503, { 'Content-Length': '0', [RelayHeader.refusal]: refusal, [RelayHeader.roomAfterMs]: '50', ...headers }).end() }
}

/** Responds that the server takes a request in 100 s, which this host then has no permit for. */
const respondWithLimit: BackendHandler = (request, response) => {
  response.writeHead(200, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.signature]: 'signed', [TEST_HEADER_NAMES.requestLimit]: '0.01' }).end()
}

/** Leaves time for another attempt after one has timed out. */
async function allowTwoAttempts ({ routingState }: GatewaySetup): Promise<void> {
  routingState.applyConfiguration({ ...TEST_CONFIGURATION, version: 2, routes: [{ ...TEST_ROUTE, timeoutMs: 2000 }] })
}

const UNSENT = { [RelayHeader.unsent]: '1' }

const FREE_WAYS: readonly Way[] = [
  { name: 'the connection to the server is refused', prepare: async ({ routingState }) => { await useUnusedAddress(routingState) } },
  { name: 'this host has no permit for the server', first: respondWithLimit, prepare: async ({ call }) => { assert.is((await call('/lookups/y', { id: 'a0' })).status, 200) } },
  ...[RelayRefusal.full, RelayRefusal.overLimit, RelayRefusal.unreachable, RelayRefusal.leaving, RelayRefusal.stopping, RelayRefusal.isolated, RelayRefusal.unknownServer].map((refusal) => ({ name: `a relay refuses with ${refusal} and states that it has not sent the request`, relay: refuseAtRelay(refusal, UNSENT) })),
  // Earlier builds give these reasons only for requests that they have not sent.
  ...[RelayRefusal.overLimit, RelayRefusal.unreachable, RelayRefusal.leaving, RelayRefusal.stopping, RelayRefusal.isolated, RelayRefusal.unknownServer].map((refusal) => ({ name: `a relay of an earlier build refuses with ${refusal}`, relay: refuseAtRelay(refusal) }))
]

const PAID_WAYS: readonly Way[] = [
  { name: 'the server refuses the request', first: respondNotRun },
  { name: 'the server refuses a request that may run only once', first: respondNotRun, path: '/once/x' },
  { name: 'the server responds that the request is misdirected', first: (request, response) => { response.writeHead(421, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.notRun]: '1' }).end() } },
  { name: 'the server fails', first: (request, response) => { response.writeHead(500, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.signature]: 'signed' }).end() } },
  { name: 'the server closes the connection', first: (_request, response) => { response.destroy() } },
  { name: 'the server responds to another attempt', first: (_request, response) => { response.writeHead(200, { [TEST_HEADER_NAMES.attemptId]: 'other', [TEST_HEADER_NAMES.signature]: 'signed' }).end() } },
  { name: 'the server does not respond within the time for an attempt', first: () => {}, prepare: allowTwoAttempts },
  { name: 'a relay does not respond within the time for an attempt', relay: () => {}, prepare: allowTwoAttempts },
  { name: 'a relay of an earlier build refuses with full, which it also does after the server has refused', relay: refuseAtRelay(RelayRefusal.full) },
  { name: 'the server refuses the request through a relay', relay: (request, response) => { response.writeHead(503, { 'Content-Length': '0', [TEST_HEADER_NAMES.attemptId]: String(request.headers[TEST_HEADER_NAMES.attemptId]), [TEST_HEADER_NAMES.notRun]: 'true', [RelayHeader.roomAfterMs]: '50' }).end() } },
  { name: 'a relay is lost after it has read the request', relay: (_request, response) => { response.destroy() } }
]

async function useUnusedAddress (routingState: GatewaySetup['routingState']): Promise<void> {
  const listener = createNetServer()
  await new Promise<void>((resolve) => { listener.listen(0, '127.0.0.1', resolve) })
  const { port } = listener.address() as AddressInfo
  await new Promise((resolve) => { listener.close(resolve) })
  routingState.setServers(routingState.servers().map((server) => server.id === 's0' ? { ...server, address: `127.0.0.1:${port}` } : server))
}

for (const way of FREE_WAYS) {
  test(`handle() sends a request to another server without payment, when ${way.name}`, async () => {
    assert.is((await sendOnWay(way, 0)).status, 200)
  })
}

// Guards against arrivals at servers that are not counted, because a status that stands for two things was taken for 'never sent'.
for (const way of PAID_WAYS) {
  test(`handle() sends a request to another server only for payment, when ${way.name}`, async () => {
    const unpaid = await sendOnWay(way, 0)
    assert.is.not(unpaid.status, 200)
    assert.is(unpaid.arrivals, 1)
    assert.equal(await sendOnWay(way, 1), { status: 200, arrivals: 2 })
  })
}

test('handle() sends a request to no more servers than its route allows, when each relay passes on the refusal of its server', async () => {
  let arrivals = 0
  await withFakeRelay((request, response) => {
    arrivals++
    response.writeHead(503, { 'Content-Length': '0', [TEST_HEADER_NAMES.attemptId]: String(request.headers[TEST_HEADER_NAMES.attemptId]), [TEST_HEADER_NAMES.notRun]: 'true', [RelayHeader.roomAfterMs]: '50' }).end()
  }, async (relays) => {
    const selectRelay = relays.select
    await withGateway([respondWithPath, respondWithPath, respondWithPath, respondWithPath], async ({ call, routingState }) => {
      const [route] = routingState.configuration()?.routes ?? []
      assert.is((await call('/lookups/x')).status, 503)
      assert.is(arrivals, route?.maximumAttempts)
    }, { retries: 100, relays: { ...relays, select: (server, query) => selectRelay({ ...server, id: 's0' }, query) } })
  })
})

/** Sends an upload that is streamed, with the relay of `s0` as the first way; returns the status and the lengths of the bodies that servers received. */
async function upload (relays: PathSelector): Promise<{ readonly status: number, readonly received: readonly number[] }> {
  let result = { status: 0, received: [] as number[] }
  await withGateway([respondWithPath, respondWithPath], async ({ call, backends, routingState }) => {
    routingState.applyConfiguration({ ...TEST_CONFIGURATION, version: 2, limits: { ...TEST_CONFIGURATION.limits, bodyBytes: 4_000_000 } })
    const { status } = await call('/once/x', { body: 'u'.repeat(UPLOAD_BYTES) })
    result = { status, received: backends.flatMap(({ requests }) => requests.map(({ body }) => body.length)) }
  }, { retries: 0, relays })
  return result
}

/** Longer than a body that is buffered. */
const UPLOAD_BYTES = 1_500_000

// Guards against an upload that a server runs without its body: what the first relay had taken of it was gone.
for (const refusal of [RelayRefusal.unreachable, RelayRefusal.stopping, RelayRefusal.isolated]) {
  test(`handle() refuses an upload unrun, when a relay has taken part of its body and refuses with ${refusal}`, async () => {
    await withFakeRelay((request, response) => {
      request.once('data', () => { refuseAtRelay(refusal, UNSENT)(request, response) })
    }, async (relays) => {
      assert.equal(await upload(relays), { status: 503, received: [] })
    })
  })
}

test('handle() sends the whole body of an upload directly and without payment, when the relay cannot be reached', async () => {
  const listener = createNetServer()
  await new Promise<void>((resolve) => { listener.listen(0, '127.0.0.1', resolve) })
  const { port } = listener.address() as AddressInfo
  await new Promise((resolve) => { listener.close(resolve) })
  assert.equal(await upload(relayPaths(`127.0.0.1:${port}`)), { status: 200, received: [UPLOAD_BYTES] })
})

test.run()
