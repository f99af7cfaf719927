/** Tests of a gateway whose servers are cold: it stays within their limit, and refuses what it can't send. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { respondWithPath, TEST_HEADER_NAMES, type BackendHandler } from '../../testing/fake_backend.ts'
import { withGateway } from '../../testing/with_gateway.ts'
import { createWarmUpTracker, type WarmUpTracker } from '../warm_up/mod.ts'
import type { PathSelector } from './relay_selector.ts'

const test = suite('createGateway with cold servers')

/** Longer than what is relayed. */
const LONG_BODY = 'x'.repeat(20_000)

function createTracker (isRelay: boolean): WarmUpTracker {
  return createWarmUpTracker({ warmUpOf: () => ({ durationMs: 3000, requestsPerSecond: 5 }), bound: { overshoot: 1.5, slack: 8 }, isRelay: () => isRelay, onChange: () => {}, now: () => performance.now() })
}

/** Every request goes to its server directly, as when its body is long or its relay does not respond. */
function directPaths (isRelay: boolean): PathSelector {
  return { select: () => ({ kind: 'direct' }), isRelay: () => isRelay, isIsolated: () => false, recordIsolated: () => {} }
}

const respondMisdirected: BackendHandler = (request, response) => {
  response.writeHead(421, { [TEST_HEADER_NAMES.attemptId]: request.id }).end()
}

test('handle() sends requests that would go to a cold server directly to warm ones, when it is not the relay', async () => {
  const warmUp = createTracker(false)
  await withGateway([respondWithPath, respondWithPath], async ({ call, backends }) => {
    warmUp.onListed(backends.map(({ server }) => server.id === 's0' ? { ...server, warmUpLeftMs: 3000 } : server))
    for (let index = 0; index < 10; index++) assert.is((await call('/lookups/x', { id: `r${index}`, body: LONG_BODY })).status, 200)
    assert.equal(backends.map(({ requests }) => requests.length), [0, 10])
  }, { warmUp, relays: directPaths(false) })
})

test('handle() refuses a request unrun until there is capacity, when it is not the relay and all servers are cold', async () => {
  for (const keyed of [false, true]) {
    const warmUp = createTracker(false)
    await withGateway([respondWithPath], async ({ call, backends, records, routingState }) => {
      routingState.setOwners('orders', [{ from: 0, to: 65_535, owner: { kind: 'owned', server: 's0' } }])
      warmUp.onListed(backends.map(({ server }) => ({ ...server, warmUpLeftMs: 400 })))
      const { status, headers } = await call('/lookups/x', { key: 7, body: LONG_BODY, deadlineMs: 4000 })
      assert.is(status, 503)
      assert.ok(Number(headers['retry-after']) > 0.35)
      assert.equal([records[0]?.reason, backends[0]?.requests.length], [keyed ? 'server-cold' : 'servers-cold', 0])
    }, { warmUp, relays: directPaths(false), keyed })
  }
})

test('handle() sends a cold server no more than its rate in one second, when it is the relay and the owner of a busy key', async () => {
  const warmUp = createTracker(true)
  await withGateway([respondWithPath], async ({ call, backends, routingState }) => {
    routingState.setOwners('orders', [{ from: 0, to: 65_535, owner: { kind: 'owned', server: 's0' } }])
    warmUp.onListed(backends.map(({ server }) => ({ ...server, warmUpLeftMs: 3000 })))
    const responses = []
    for (let index = 0; index < 20; index++) responses.push(await call('/lookups/x', { id: `r${index}`, key: index, deadlineMs: 6000 }))
    assert.is(responses.filter(({ status }) => status === 200).length, 5)
    const returns = responses.filter(({ status }) => status === 503).map(({ headers }) => Number(headers['retry-after']))
    assert.is(returns.length, 15)
    // Callers that all came back at the same time would be refused again.
    assert.ok(Math.max(...returns) - Math.min(...returns) > 0.5)
    assert.is(backends[0]?.requests.length, 5)
  }, { warmUp, relays: directPaths(true), keyed: true })
})

test('handle() does not count requests that receive 421 or meet a refused connection, and takes a server that refuses connections for cold', async () => {
  const warmUp = createTracker(true)
  await withGateway([respondMisdirected], async ({ call, backends }) => {
    const [server] = backends.map((backend) => ({ ...backend.server, warmUpLeftMs: 3000 }))
    if (server === undefined) return assert.unreachable()
    warmUp.onListed([server])
    for (let index = 0; index < 8; index++) await call('/lookups/x', { id: `r${index}` })
    assert.is(backends[0]?.requests.length, 8)
    await backends[0]?.close()
    const before = warmUp.coldForMs(server)
    assert.is((await call('/lookups/x')).status, 503)
    assert.ok(warmUp.coldForMs(server) > before)
    assert.equal(warmUp.describe().map(({ sent, sentInWindow }) => [sent, sentInWindow]), [[0, 0]])
  }, { warmUp, relays: directPaths(true), retries: 0 })
})

test.run()
