/** Tests of servers that send bytes without end: a host must keep a bounded number of them, and close what it has no use for. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { respondWithPath, TEST_HEADER_NAMES } from '../../testing/fake_backend.ts'
import { createFloodServer } from '../../testing/flood_server.ts'
import { withGateway } from '../../testing/with_gateway.ts'
import { createRequestLimits } from './request_limits.ts'
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
      signal: abort.signal
    }, { agent, names: TEST_HEADER_NAMES, limits })))
    const bytes = outcomes.reduce((sum, outcome) => sum + (outcome.kind === 'stream' ? outcome.start.length : 0), 0)
    assert.ok(bytes <= CAPACITY_BYTES, `${bytes} bytes are kept`)
    for (const outcome of outcomes) if (outcome.kind === 'stream') outcome.rest.destroy()
  } finally {
    abort.abort()
    agent.destroy()
    await flood.close()
  }
})

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
