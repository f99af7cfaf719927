/** Tests of requests at a relay whose server's zone is evacuated. Load: one request at a time. */
import { connect, type AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createTestGuard } from '../../testing/create_test_guard.ts'
import { createFakeBackend, respondNotRun, respondWithPath, TEST_HEADER_NAMES, type BackendHandler, type FakeBackend } from '../../testing/fake_backend.ts'
import { createCallerServer, createRequestLimits, createRequestPermits, createResponseMemory, createRoutingState, createServerAdmission, createServerAgent, createServerLoads, RelayHeader, RelayRefusal, type RoutingState } from '../gateway/mod.ts'
import { createRelay } from './create_relay.ts'

const test = suite('createRelay, evacuated zones')

interface Setup {
  readonly backend: FakeBackend
  readonly routingState: RoutingState
  /** Sends the body `hello`, its second part only once `beforeEnd` has returned; resolves with the response. */
  exchange (beforeEnd?: () => void): Promise<string>
}

async function withRelay (handler: BackendHandler, run: (setup: Setup) => Promise<void>): Promise<void> {
  const backend = await createFakeBackend('s0', handler)
  const routingState = createRoutingState()
  routingState.setServers([backend.server])
  const now = (): number => performance.now()
  const loads = createServerLoads(now)
  const limits = createRequestLimits({ now, onChange: () => {} })
  const permits = createRequestPermits({ limits, hostCount: () => 1, now, random: () => 0 })
  const agent = createServerAgent()
  const relay = createRelay({ routingState, loads, limits, admission: createServerAdmission({ loads, limits, permits, now }), isRelay: () => true, isIsolated: () => false, guard: createTestGuard(), responseMemory: createResponseMemory(), agent, names: TEST_HEADER_NAMES, now, onEnd: () => {}, stopsAt: () => Infinity })
  const server = createCallerServer({ limits: { headerBytes: 16384, bodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 5000 }, maximumConnections: 100, handle: relay.handle, onError: () => {} })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  try {
    await run({
      backend,
      routingState,
      exchange: (beforeEnd = () => {}) => new Promise((resolve) => {
        const socket = connect(port, '127.0.0.1')
        let received = ''
        socket.on('data', (data) => { received += data.toString() })
        socket.on('error', () => {})
        socket.on('close', () => { resolve(received) })
        socket.write('POST /once/x HTTP/1.1\r\nHost: one.example\r\nConnection: close\r\nX-Attempt: a1\r\nX-Deadline: 2000\r\nX-Target: s0\r\nX-Gooseberryfold-Goal-Ms: 300\r\nContent-Length: 5\r\n\r\nhel')
        setTimeout(() => {
          beforeEnd()
          socket.write('lo')
        }, 100)
      })
    })
  } finally {
    server.closeAllConnections()
    server.close()
    agent.destroy()
    await backend.close()
  }
}

// Guards against a request that reaches a server after the order.
test('handle() sends nothing to a server, when its zone is evacuated while the relay reads the body, and sends again once it returns', async () => {
  await withRelay(respondWithPath, async ({ backend, routingState, exchange }) => {
    assert.match(await exchange(() => { routingState.setEvacuations(['a']) }), `${RelayHeader.refusal}: ${RelayRefusal.leaving}`)
    assert.is(backend.requests.length, 0)
    routingState.setEvacuations([])
    assert.match(await exchange(), 'HTTP/1.1 200 ')
  })
})

// Guards against a server that the other hosts count as leaving for ever, although its zone returns.
test('handle() does not say that a server is leaving, when the server refuses a request that was sent before its zone was evacuated', async () => {
  let evacuate = (): void => {}
  await withRelay((request, response) => {
    evacuate()
    respondNotRun(request, response)
  }, async ({ routingState, exchange }) => {
    evacuate = () => { routingState.setEvacuations(['a']) }
    const received = await exchange()
    assert.match(received, 'HTTP/1.1 503 ')
    assert.not.match(received, new RegExp(TEST_HEADER_NAMES.leaving, 'i'))
  })
})

test.run()
