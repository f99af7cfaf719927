/** Tests of servers that send bytes without end: a host must keep a bounded number of them, and close what it has no use for. */
import { setMaxListeners } from 'node:events'
import { connect } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { respondWithPath, TEST_HEADER_NAMES } from '../../testing/fake_backend.ts'
import { createFloodServer } from '../../testing/flood_server.ts'
import { TEST_CONFIGURATION, TEST_ROUTE, withGateway } from '../../testing/with_gateway.ts'
import { RequestKind } from '../routing/mod.ts'
import { createRequestLimits } from './request_limits.ts'
import { BodyEnd } from './response_body_record.ts'
import { createResponseMemory } from './response_memory.ts'
import { sendAttempt } from './send_attempt.ts'
import { createServerAgent } from './server_agent.ts'

const test = suite('endless responses')

/** Bytes that a host may keep of all responses. */
const CAPACITY_BYTES = 32 * 1024 * 1024

async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

test('sendAttempt() keeps a bounded number of bytes of all responses together, when servers send without end', async () => {
  const flood = await createFloodServer()
  const agent = createServerAgent()
  const abort = new AbortController()
  setMaxListeners(0, abort.signal)
  const memory = createResponseMemory()
  const limits = createRequestLimits({ now: () => performance.now(), onChange: () => {} })
  try {
    const outcomes = await Promise.all(Array.from({ length: 100 }, async (_, index) => await sendAttempt({
      server: { id: 'flood', bornAt: 1, service: 'orders', address: flood.address, zone: 'a', slots: 100, leaving: false, warmUpLeftMs: 0 },
      id: `e${index}`,
      method: 'GET',
      path: '/endless',
      headers: [TEST_HEADER_NAMES.attemptId, `e${index}`],
      body: null,
      deadlineMs: 5000,
      memory: memory.open(),
      signal: abort.signal
    }, { agent, names: TEST_HEADER_NAMES, limits })))
    const bytes = outcomes.reduce((sum, outcome) => sum + (outcome.kind === 'stream' ? outcome.start.length : 0), 0)
    assert.ok(bytes <= CAPACITY_BYTES, `${bytes} bytes are kept`)
    assert.ok(memory.bytes() <= CAPACITY_BYTES)
    for (const outcome of outcomes) if (outcome.kind === 'stream') outcome.rest.stop(BodyEnd.timeout)
  } finally {
    abort.abort()
    agent.destroy()
    await flood.close()
  }
})

for (const [reads, readBytes] of [['fast', Infinity], ['slowly', 4096], ['not', 0]] as const) {
  test(`handle() keeps a bounded number of bytes and serves other requests, when a server sends without end and callers read ${reads}`, async () => {
    const flood = await createFloodServer()
    try {
      await withGateway([respondWithPath], async ({ port, call, routingState, responseMemory }) => {
        const [sound] = routingState.servers()
        if (sound === undefined) throw new Error('There is no server')
        routingState.applyConfiguration({ ...TEST_CONFIGURATION, version: 2, routes: [{ ...TEST_ROUTE, prefix: '/orders/' }, { ...TEST_ROUTE, name: 'endless', prefix: '/endless/', kind: RequestKind.once, timeoutMs: 1500, targets: [{ service: 'endless', weight: 1 }] }] })
        routingState.setServers([sound, { ...sound, id: 'flood', service: 'endless', address: flood.address, slots: 1000 }])
        const sockets = Array.from({ length: 90 }, (_, index) => {
          const socket = connect(port, '127.0.0.1')
          socket.on('error', () => {})
          socket.write(`GET /endless/x HTTP/1.1\r\nHost: one.example\r\n${TEST_HEADER_NAMES.attemptId}: e${index}\r\n\r\n`)
          if (readBytes === Infinity) return socket.resume()
          socket.pause()
          const timer = setInterval(() => { socket.read(readBytes) }, 20)
          socket.on('close', () => { clearInterval(timer) })
          return socket
        })
        let peak = 0
        for (const until = performance.now() + 600; performance.now() < until;) {
          await pause(5)
          peak = Math.max(peak, responseMemory.bytes())
        }
        assert.is((await call('/orders/sound')).status, 200)
        assert.ok(peak > 0 && peak <= CAPACITY_BYTES, `${peak} bytes are kept`)
        for (const socket of sockets) socket.destroy()
        await pause(200)
        assert.is(responseMemory.bytes(), 0)
      }, { retries: 0 })
    } finally {
      await flood.close()
    }
  })
}

/** Timeout of a grant, in milliseconds: a host that leads must get to its answers within it. */
const MAXIMUM_STALL_MS = 280

/** Bytes by which the memory of a host that was idle may grow: what it may keep of responses, and garbage of the same order. */
const MAXIMUM_GROWTH_BYTES = 3 * CAPACITY_BYTES

// Guards against a host that is killed for its memory, and answers nobody until then: each part of a body took hundreds of bytes.
for (const [reads, readBytes] of [['fast', Infinity], ['not', 0]] as const) {
  test(`handle() keeps a bounded amount of memory and goes on, when servers send chunks of one byte without end and callers read ${reads}`, async () => {
    const flood = await createFloodServer()
    try {
      await withGateway([respondWithPath], async ({ port, call, routingState }) => {
        const [sound] = routingState.servers()
        if (sound === undefined) throw new Error('There is no server')
        routingState.applyConfiguration({ ...TEST_CONFIGURATION, version: 2, routes: [{ ...TEST_ROUTE, prefix: '/orders/' }, { ...TEST_ROUTE, name: 'tiny', prefix: '/tiny/', kind: RequestKind.once, timeoutMs: 3000, targets: [{ service: 'tiny', weight: 1 }] }] })
        routingState.setServers([sound, { ...sound, id: 'flood', service: 'tiny', address: flood.address, slots: 1000 }])
        const before = process.memoryUsage().rss
        const sockets = Array.from({ length: 12 }, (_, index) => {
          const socket = connect(port, '127.0.0.1')
          socket.on('error', () => {})
          socket.write(`GET /tiny/x HTTP/1.1\r\nHost: one.example\r\n${TEST_HEADER_NAMES.attemptId}: t${index}\r\n\r\n`)
          return readBytes === 0 ? socket.pause() : socket.resume()
        })
        let [stallMs, growthBytes, lastAt] = [0, 0, performance.now()]
        const timer = setInterval(() => {
          stallMs = Math.max(stallMs, performance.now() - lastAt)
          lastAt = performance.now()
          growthBytes = Math.max(growthBytes, process.memoryUsage().rss - before)
        }, 5)
        for (let round = 0; round < 10; round++) {
          assert.is((await call('/orders/sound')).status, 200)
          await pause(150)
        }
        clearInterval(timer)
        for (const socket of sockets) socket.destroy()
        assert.ok(stallMs < MAXIMUM_STALL_MS, `the event loop stood still for ${Math.round(stallMs)} ms`)
        assert.ok(growthBytes < MAXIMUM_GROWTH_BYTES, `${growthBytes} bytes`)
      }, { retries: 0 })
    } finally {
      await flood.close()
    }
  })
}

test('handle() closes the connection to a server, when it refuses a request with a body without end', async () => {
  const flood = await createFloodServer()
  try {
    await withGateway([respondWithPath], async ({ call, routingState, backends }) => {
      routingState.setServers(backends.map(({ server }) => ({ ...server, address: flood.address })))
      assert.is((await call('/once/refused')).status, 503)
      await pause(1000)
      assert.is(await flood.countConnections(), 0)
    }, { retries: 0 })
  } finally {
    await flood.close()
  }
})

test.run()
