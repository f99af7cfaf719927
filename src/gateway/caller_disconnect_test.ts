/**
 * Tests of requests whose caller leaves. They guard against work for callers
 * that have gone: a close that is not noticed, and a request that is sent after
 * its caller has closed the connection.
 */
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { respondWithPath, type BackendHandler } from '../../testing/fake_backend.ts'
import { TEST_CONFIGURATION, withGateway, type GatewaySetup } from '../../testing/with_gateway.ts'
import type { RoutingConfiguration } from '../routing/mod.ts'

const test = suite('createGateway, callers that leave')

const neverRespond: BackendHandler = () => {}

/** Time after its caller has left within which a server is relieved of a request, in milliseconds. */
const DISCONNECT_BOUND_MS = 500

async function pause (ms: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, ms) })
}

/** Text of a request that may run only once. */
function requestText (id: string): string {
  return `POST /once/${id} HTTP/1.1\r\nHost: one.example\r\nX-Attempt: ${id}\r\nX-Deadline: 5000\r\nContent-Length: 0\r\n\r\n`
}

/** Leaves an idle connection to the server, on which the next request is sent without a delay. */
async function openServerConnection (call: GatewaySetup['call']): Promise<void> {
  assert.is((await call('/once/first', { id: 'a0', body: '' })).status, 200)
}

/** The configuration with a timeout of all routes that no test reaches. */
const longTimeouts: RoutingConfiguration = {
  ...TEST_CONFIGURATION,
  version: 2,
  limits: { ...TEST_CONFIGURATION.limits, bodyBytes: 64 * 1024 * 1024 },
  routes: TEST_CONFIGURATION.routes.map((route) => ({ ...route, timeoutMs: 5000 }))
}

/** Connections of a server that reads nothing. */
interface UnreadConnections {
  readonly address: string
  /** Writes to all connections, which is how a socket that is not read notices a reset, and returns the number of those still open. */
  countOpen (): Promise<number>
}

/** Starts a server that accepts connections and reads nothing. */
async function withUnreadServer (run: (connections: UnreadConnections) => Promise<void>): Promise<void> {
  const sockets = new Set<Socket>()
  const server = createServer({ pauseOnConnect: true }, (socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { sockets.delete(socket) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  try {
    await run({
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      async countOpen () {
        for (const socket of sockets) socket.write('HTTP/1.1 102 Processing\r\n\r\n')
        await pause(50)
        return sockets.size
      }
    })
  } finally {
    for (const socket of sockets) socket.destroy()
    server.close()
  }
}

test('handle() aborts all requests of a connection within half a second, when a caller that pipelines requests leaves', async () => {
  await withGateway([neverRespond], async ({ exchangeBytes, backends, routingState, records }) => {
    routingState.applyConfiguration(longTimeouts)
    await exchangeBytes((socket) => {
      socket.write(['a1', 'a2', 'a3'].map(requestText).join(''))
      setTimeout(() => { socket.destroy() }, 150)
    })
    await pause(DISCONNECT_BOUND_MS)
    assert.equal([...backends[0]?.abandonedRequestIds ?? []].sort(), ['a1', 'a2', 'a3'])
    assert.equal(records.map((record) => record.reason), ['caller-left', 'caller-left', 'caller-left'])
  })
})

test('handle() sends nothing to a server, when the caller has left before its request is read', async () => {
  await withGateway([respondWithPath], async ({ call, exchangeBytes, backends }) => {
    await openServerConnection(call)
    await exchangeBytes((socket) => {
      socket.on('connect', () => {
        // Both are waiting in the host's socket buffer when the host reads it, as after a pause of its process.
        socket.write(requestText('a1'))
        socket.destroy()
      })
    })
    await pause(DISCONNECT_BOUND_MS)
    assert.equal(backends[0]?.requests.map((request) => request.id), ['a0'])
  })
})

test('handle() sends nothing to a server, when a caller with a body has left before its request is read', async () => {
  await withGateway([respondWithPath], async ({ call, exchangeBytes, backends }) => {
    await openServerConnection(call)
    await exchangeBytes((socket) => {
      socket.on('connect', () => {
        socket.write('POST /once/x HTTP/1.1\r\nHost: one.example\r\nX-Attempt: a1\r\nX-Deadline: 5000\r\nContent-Length: 5\r\n\r\nhello')
        socket.destroy()
      })
    })
    await pause(DISCONNECT_BOUND_MS)
    assert.equal(backends[0]?.requests.map((request) => request.id), ['a0'])
  })
})

for (const manner of ['closes', 'resets'] as const) {
  test(`handle() closes the connection to a server that does not read a long body within half a second, when the caller ${manner} its connection`, async () => {
    await withGateway([neverRespond], async ({ exchangeBytes, routingState, backends, records }) => {
      routingState.applyConfiguration(longTimeouts)
      await withUnreadServer(async ({ address, countOpen }) => {
        routingState.setServers(backends.map((backend) => ({ ...backend.server, address })))
        const sentBytes = 12 * 1024 * 1024
        const left = new Promise<void>((resolve) => {
          exchangeBytes((socket) => {
            socket.write(`PUT /once/x HTTP/1.1\r\nHost: one.example\r\nX-Attempt: a1\r\nX-Deadline: 5000\r\nContent-Length: ${sentBytes + 1}\r\n\r\n`)
            socket.write(Buffer.alloc(sentBytes))
            setTimeout(() => {
              if (manner === 'resets') socket.resetAndDestroy()
              else socket.end()
              resolve()
            }, 400)
          }).catch(() => {})
        })
        await pause(300)
        assert.is(await countOpen(), 1)
        await left
        await pause(DISCONNECT_BOUND_MS)
        assert.equal(records.map((record) => record.reason), ['caller-left'])
        assert.is(await countOpen(), 0)
      })
    })
  })
}

test.run()
