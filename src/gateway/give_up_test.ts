/** Tests of servers that do not respond in time: a request leaves one only if it certainly goes on elsewhere. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createFakeBackend, respondWithPath, TEST_HEADER_NAMES, type BackendHandler } from '../../testing/fake_backend.ts'
import { TEST_CONFIGURATION, TEST_ROUTE, withGateway, type GatewaySetup, type WithGatewayOptions } from '../../testing/with_gateway.ts'
import type { PathSelector } from './relay_selector.ts'

const test = suite('servers that do not respond in time')

/** Work of a slow server, in milliseconds: more than four times what a server without measurements is expected to take. */
const SLOW_WORK_MS = 900

const respondSlowly: BackendHandler = (request, response) => { setTimeout(() => { respondWithPath(request, response) }, SLOW_WORK_MS) }
const neverRespond: BackendHandler = () => {}

interface GivenUpCase {
  readonly handlers: readonly BackendHandler[]
  readonly options?: WithGatewayOptions
  readonly maximumAttempts?: number
}

/** Runs a gateway whose routes leave time for slow servers. */
async function withSlowRoute ({ handlers, options = {}, maximumAttempts = 2 }: GivenUpCase, run: (setup: GatewaySetup) => Promise<void>): Promise<void> {
  await withGateway(handlers, async (setup) => {
    setup.routingState.applyConfiguration({ ...TEST_CONFIGURATION, version: 2, routes: [{ ...TEST_ROUTE, timeoutMs: 3000, maximumAttempts }] })
    await run(setup)
  }, options)
}

let isLeaving = false

const WITHOUT_ALTERNATIVE: ReadonlyArray<readonly [string, GivenUpCase]> = [
  ['there is no other server', { handlers: [respondSlowly] }],
  ['the route allows no other attempt', { handlers: [respondSlowly, respondWithPath], maximumAttempts: 1 }],
  ['the retry budget is used up', { handlers: [respondSlowly, respondWithPath], options: { retries: 0 } }],
  ['the host has begun to stop since', { handlers: [respondSlowly, respondWithPath], options: { isLeaving: () => isLeaving } }]
]
for (const [name, givenUpCase] of WITHOUT_ALTERNATIVE) {
  // Guards against a 502 of the router in place of a response at which the server is at work.
  test(`handle() passes on the response of a slow server, when ${name}`, async () => {
    isLeaving = false
    await withSlowRoute(givenUpCase, async ({ call, backends, routingState }) => {
      // The first server gets the request.
      const [slow, ...others] = backends.map(({ server }) => server)
      if (slow === undefined) throw new Error('There is no server')
      routingState.setServers([slow])
      const response = call('/lookups/x')
      setTimeout(() => {
        isLeaving = true
        routingState.setServers([slow, ...others])
      }, 200)
      const { status, body } = await response
      assert.equal([status, body], [200, '/lookups/x'])
      assert.equal(backends[0]?.abandonedRequestIds, [])
    })
  })
}

test('handle() sends a request to another server and pays once, when one does not respond in time and another has room', async () => {
  await withSlowRoute({ handlers: [neverRespond, respondWithPath], options: { retries: 1 } }, async ({ call, backends, records }) => {
    assert.is((await call('/lookups/x')).status, 200)
    assert.is(backends[0]?.requests.length, 1)
    assert.equal(records[0]?.attempts.map(({ outcome, cost }) => [outcome, cost]), [['lost', 'first'], ['200', 'budget']])
    assert.ok((records[0]?.durationMs ?? 0) < 800)
  })
})

// Guards against a response that is thrown away while it arrives.
test('handle() passes on a response that has begun in time, when its rest comes late and another server has room', async () => {
  const respondInParts: BackendHandler = ({ id }, response) => {
    response.writeHead(200, { [TEST_HEADER_NAMES.attemptId]: id, [TEST_HEADER_NAMES.signature]: 'signed' }).write('one ')
    setTimeout(() => { response.end('two') }, SLOW_WORK_MS)
  }
  await withSlowRoute({ handlers: [respondInParts, respondWithPath] }, async ({ call, backends }) => {
    assert.is((await call('/lookups/x')).body, 'one two')
    assert.is(backends[1]?.requests.length, 0)
  })
})

/** Relay of the first server that reports it as overdue after a time and never responds. */
async function withOverdueRelay (run: (relays: PathSelector) => Promise<void>): Promise<void> {
  const relay = await createFakeBackend('relay', (_request, response) => { setTimeout(() => { response.writeProcessing() }, 150) })
  const { address } = relay.server
  try {
    await run({ select: ({ id }) => id === 's0' ? { kind: 'relay', relay: { host: 'h2', address, trackRequest: () => () => {} } } : { kind: 'direct' }, isRelay: () => false, isIsolated: () => false, recordIsolated: () => {} })
  } finally {
    await relay.close()
  }
}

// Guards against waiting for half of the time, since relays give up no server by themselves any more.
test('handle() sends a request to another server, when a relay reports that its server does not respond in time', async () => {
  await withOverdueRelay(async (relays) => {
    await withSlowRoute({ handlers: [neverRespond, respondWithPath], options: { relays } }, async ({ call, records }) => {
      assert.is((await call('/lookups/x')).status, 200)
      assert.ok((records[0]?.durationMs ?? Infinity) < 600, `${records[0]?.durationMs} ms`)
    })
  })
})

test.run()
