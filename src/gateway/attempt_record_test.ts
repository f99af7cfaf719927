/** Tests of what the records of attempts say on arrivals at servers and on what paid for them. */
import { createServer as createHttpServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { respondNotRun, respondWithPath, TEST_HEADER_NAMES, type BackendHandler } from '../../testing/fake_backend.ts'
import { withGateway } from '../../testing/with_gateway.ts'
import { attemptCost, attemptReach, type AttemptRecord, type AttemptCost, type AttemptReach } from './attempt_record.ts'
import { RelayHeader, RelayRefusal } from './relay_selector.ts'
import type { AttemptOutcome } from './send_attempt.ts'

const test = suite('attempt records')

const closeConnection: BackendHandler = (_request, response) => { response.destroy() }

function recordOf (reach: AttemptReach, cost: AttemptCost): AttemptRecord {
  return { server: 's0', outcome: 'lost', durationMs: 1, inFlight: 0, expectedMs: 1, reach, cost }
}

const outcomes: ReadonlyArray<readonly [name: string, outcome: AttemptOutcome, reach: AttemptReach]> = [
  ['the server has responded', { kind: 'answer', mark: { framing: 'length', statedBytes: 0 }, serverFraming: 'length', status: 500, headers: [], body: Buffer.alloc(0) }, 'certain'],
  ['the server has refused the request', { kind: 'not-run', status: 503, misdirected: false }, 'certain'],
  ['a relay passes on the refusal of the server', { kind: 'not-run', status: 503, misdirected: false }, 'certain'],
  ['another server has refused the request', { kind: 'not-run', status: 421, misdirected: true }, 'certain'],
  ['a relay passes on the refusal of a server that it counts as full', { kind: 'not-run', status: 503, misdirected: false, roomAfterMs: 50 }, 'certain'],
  ['a relay states that it has not sent the request', { kind: 'not-admitted', isUnsent: true, roomAfterMs: 50 }, 'none'],
  ['a relay of an earlier build reports that it or the server is full', { kind: 'not-admitted', isUnsent: false, roomAfterMs: 50 }, 'possible'],
  ['the response was lost', { kind: 'lost', detail: 'x', aborted: false }, 'possible'],
  ['a part of the response was received', { kind: 'lost', detail: 'x', aborted: false, partialBody: { framing: 'chunks', statedBytes: null, receivedBytes: 0 } }, 'certain'],
  ['the request was not sent', { kind: 'unsent', detail: 'x', refused: true }, 'none'],
  ['the relay was not reached', { kind: 'unsent', detail: 'x', refused: true, atRelay: true }, 'none']
]
for (const [name, outcome, reach] of outcomes) {
  test(`attemptReach() is ${reach}, when ${name}`, () => {
    assert.is(attemptReach(outcome), reach)
  })
}

test('attemptCost() is the first arrival, when no earlier attempt has reached a server', () => {
  assert.is(attemptCost([], 0), 'first')
  assert.is(attemptCost([recordOf('none', 'first'), recordOf('none', 'first')], 0), 'first')
})

test('attemptCost() takes a withdrawal for one arrival only, when an attempt that was paid for has reached no server', () => {
  const earlier = [recordOf('possible', 'first'), recordOf('none', 'budget')]
  assert.is(attemptCost(earlier, 1), 'budget')
  assert.is(attemptCost([...earlier, recordOf('certain', 'budget')], 1), 'free')
})

test('handle() records what paid for each repeat, when servers refuse the request or lose it', async () => {
  for (const [handler, reach] of [[respondNotRun, 'certain'], [closeConnection, 'possible']] as const) {
    await withGateway([handler, handler], async ({ call, records }) => {
      await call('/lookups/x')
      assert.equal(records[0]?.attempts.map((attempt) => [attempt.reach, attempt.cost]), [[reach, 'first'], [reach, 'budget']])
    })
  }
})

test('handle() records how much of a response was received, when it was lost before it was passed on', async () => {
  const cutShort: BackendHandler = (request, response) => {
    response.writeHead(200, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.signature]: 's', 'Content-Length': '90' })
    response.write('x'.repeat(40), () => { setTimeout(() => { response.destroy() }, 20) })
  }
  const neverEnds: BackendHandler = (request, response) => {
    response.writeHead(200, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.signature]: 's' }).write('x'.repeat(40))
  }
  for (const [handler, framing, statedBytes] of [[cutShort, 'length', 90], [neverEnds, 'chunks', null]] as const) {
    await withGateway([handler], async ({ call, records }) => {
      await call('/once/x', { body: 'b' })
      assert.equal(records[0]?.attempts.map(({ outcome, reach, partialBody }) => [outcome, reach, partialBody]), [['lost', 'certain', { framing, statedBytes, receivedBytes: 40 }]])
    })
  }
})

for (const [name, headers, retries, expected] of [
  ['that nothing has paid for, when a relay states that it has not sent the request', { [RelayHeader.unsent]: '1' }, 0, [['none', 'first'], ['certain', 'first']]],
  ['that the budget has paid for, when a relay of an earlier build reports that it or the server is full', {}, 1, [['possible', 'first'], ['certain', 'budget']]]
] as const) {
  test(`handle() records a repeat ${name}`, async () => {
    const relay = createHttpServer((_request, response) => { response.writeHead(503, { [RelayHeader.refusal]: RelayRefusal.full, [RelayHeader.roomAfterMs]: '50', ...headers }).end() })
    await new Promise<void>((resolve) => { relay.listen(0, '127.0.0.1', resolve) })
    const address = `127.0.0.1:${(relay.address() as AddressInfo).port}`
    try {
      await withGateway([respondWithPath, respondWithPath], async ({ call, records }) => {
        assert.is((await call('/once/x', { body: 'b' })).status, 200)
        assert.equal(records[0]?.attempts.map(({ reach, cost }) => [reach, cost]), expected)
      }, { retries, relays: { select: (server) => server.id === 's0' ? { kind: 'relay', relay: { host: 'h2', address, trackRequest: () => () => {} } } : { kind: 'direct' }, isRelay: () => false, isIsolated: () => false, recordIsolated: () => {} } })
    } finally {
      relay.closeAllConnections()
      relay.close()
    }
  })
}

test.run()
