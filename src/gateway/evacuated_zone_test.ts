/** Tests of requests of callers whose servers are in evacuated zones. Load: one request at a time. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { respondWithPath } from '../../testing/fake_backend.ts'
import { TEST_CONFIGURATION, withGateway } from '../../testing/with_gateway.ts'

const test = suite('createGateway, evacuated zones')

// Guards against a request that reaches a server after the order, because its head leaves with the first bytes of a body that comes late.
test('handle() refuses an upload that has not begun, when the zone of its server is evacuated after the server was chosen', async () => {
  await withGateway([respondWithPath], async ({ exchangeBytes, backends, routingState }) => {
    routingState.applyConfiguration({ ...TEST_CONFIGURATION, version: 2, limits: { ...TEST_CONFIGURATION.limits, bodyBytes: 3 * 1024 * 1024 } })
    for (const isEvacuated of [false, true]) {
      const received = await exchangeBytes((socket) => {
        socket.write('POST /once/x HTTP/1.1\r\nHost: one.example\r\nConnection: close\r\nX-Attempt: a1\r\nX-Deadline: 2000\r\nContent-Length: 2097152\r\n\r\n')
        if (isEvacuated) setTimeout(() => { routingState.setEvacuations(['a']) }, 150)
        setTimeout(() => { socket.write(Buffer.alloc(2 * 1024 * 1024)) }, 250)
      })
      assert.match(received, isEvacuated ? 'HTTP/1.1 503 ' : 'HTTP/1.1 200 ')
      assert.is(backends[0]?.requests.length, 1)
    }
  })
})

test('handle() sends nothing and responds with 503, when all servers of the service are in evacuated zones, and serves again once they return', async () => {
  for (const keyed of [false, true]) {
    await withGateway([respondWithPath], async ({ call, routingState, backends }) => {
      routingState.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'owned', server: 's0' } }])
      routingState.setEvacuations(['b', 'a'])
      const response = await call('/lookups/x', { key: 7 })
      assert.is(response.status, 503)
      assert.ok(Number(response.headers['retry-after']) > 0)
      assert.is(backends[0]?.requests.length, 0)
      routingState.setEvacuations(['b'])
      assert.is((await call('/lookups/x', { key: 7 })).status, 200)
    }, { keyed })
  }
})

test.run()
