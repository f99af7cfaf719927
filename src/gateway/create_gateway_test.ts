/** Tests of request handling: the statuses of responses, retries, and the effects of faults on callers. */
import { createServer as createHttpServer } from 'node:http'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { respondNotRun, respondWithPath, TEST_HEADER_NAMES, type BackendHandler } from '../../testing/fake_backend.ts'
import { TEST_CONFIGURATION, TEST_ROUTE, withGateway } from '../../testing/with_gateway.ts'
import { RequestKind } from '../routing/mod.ts'
import { RelayHeader, RelayRefusal } from './relay_selector.ts'

const test = suite('createGateway')

const neverResponds: BackendHandler = () => {}
const closeConnection: BackendHandler = (_request, response) => { response.destroy() }

test('handle() forwards method, path, body and identifier unchanged, and the whole response', async () => {
  await withGateway([respondWithPath], async ({ call, backends }) => {
    const response = await call('/once/x?y=1', { id: 'b7', body: 'two ammonites' })
    assert.is(response.status, 200)
    assert.is(response.body, '/once/x?y=1')
    assert.is(response.headers[TEST_HEADER_NAMES.signature], 'signed')
    const [received] = backends[0]?.requests ?? []
    assert.is(received?.id, 'b7')
    assert.is(received?.method, 'POST')
    assert.is(received?.body, 'two ammonites')
    assert.ok((received?.deadlineMs ?? Infinity) <= 600)
  })
})

test('handle() responds with 404, when no route matches', async () => {
  await withGateway([respondWithPath], async ({ call }) => {
    assert.is((await call('/nowhere/')).status, 404)
  })
})

test('handle() retries a request that is not idempotent, when the first server has not run it', async () => {
  await withGateway([respondNotRun, respondWithPath], async ({ call, backends }) => {
    assert.is((await call('/once/x', { body: 'b' })).status, 200)
    assert.equal(backends.map((backend) => backend.requests.length), [1, 1])
  })
})

test('handle() neither retries a request that is not idempotent nor reports that it has not run, when its connection closed early', async () => {
  await withGateway([closeConnection, respondWithPath], async ({ call, backends }) => {
    const response = await call('/once/x', { body: 'b' })
    assert.is(response.status, 502)
    assert.equal(backends.map((backend) => backend.requests.length), [1, 0])
  })
})

test('handle() sends an idempotent request to another server, when a connection closed early', async () => {
  await withGateway([closeConnection, respondWithPath], async ({ call }) => {
    assert.is((await call('/lookups/x')).status, 200)
  })
})

test('handle() sends a request to another server without spending the retry budget, when a relay reports that the first is full and that it has not sent the request', async () => {
  const relay = createHttpServer((_request, response) => { response.writeHead(503, { [RelayHeader.refusal]: RelayRefusal.full, [RelayHeader.unsent]: '1', [RelayHeader.roomAfterMs]: '50' }).end() })
  await new Promise<void>((resolve) => { relay.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(relay.address() as AddressInfo).port}`
  try {
    await withGateway([respondWithPath, respondWithPath], async ({ call, records }) => {
      assert.is((await call('/once/x', { body: 'b' })).status, 200)
      assert.equal(records[0]?.attempts.map((attempt) => attempt.outcome), ['full', '200'])
    }, { retries: 0, relays: { select: (server) => server.id === 's0' ? { kind: 'relay', relay: { host: 'h2', address, trackRequest: () => () => {} } } : { kind: 'direct' }, isRelay: () => false, isIsolated: () => false, recordIsolated: () => {} } })
  } finally {
    relay.closeAllConnections()
    relay.close()
  }
})

const LEAVING = { [TEST_HEADER_NAMES.leaving]: '1' }
const respondLeaving: BackendHandler = (request, response) => { response.writeHead(200, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.signature]: 'signed', ...LEAVING }).end(request.path) }
const refuseLeaving: BackendHandler = (request, response) => { response.writeHead(503, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.notRun]: '1', ...LEAVING }).end() }
const failLeaving: BackendHandler = (request, response) => { response.writeHead(500, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.signature]: 'signed', ...LEAVING }).end() }

// Guards against requests to a server after a response of its own has said that it is leaving, while the list does not say so.
for (const [says, handler] of [['responds', respondLeaving], ['refuses', refuseLeaving], ['fails', failLeaving]] as const) {
  test(`handle() sends a server no further request, when it ${says} and says that it is leaving`, async () => {
    await withGateway([handler, respondWithPath, handler], async ({ call, backends, routingState }) => {
      for (let request = 0; request < 30; request++) await call('/once/x', { id: `r${request}`, body: 'b' })
      assert.ok((backends[0]?.requests.length ?? 0) <= 1)
      assert.ok((backends[2]?.requests.length ?? 0) <= 1)
      // The list still says that it is ready.
      routingState.setServers(backends.map((backend) => backend.server))
      for (let request = 30; request < 60; request++) assert.is((await call('/once/x', { id: `r${request}`, body: 'b' })).status, 200)
      assert.ok((backends[0]?.requests.length ?? 0) <= 1)
    })
  })
}

test('handle() refuses the requests for a key with a retry delay, when its owner has said that it is leaving, and sends them to the next owner', async () => {
  await withGateway([respondLeaving, respondWithPath], async ({ call, backends, routingState }) => {
    routingState.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'owned', server: 's0' } }])
    assert.is((await call('/once/x', { key: 7, body: 'b' })).status, 200)
    const response = await call('/once/x', { id: 'r2', key: 7, body: 'b' })
    assert.is(response.status, 503)
    assert.ok(Number(response.headers['retry-after']) > 0)
    const waiting = call('/once/x', { id: 'r3', key: 7, body: 'b' })
    setTimeout(() => { routingState.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'owned', server: 's1' } }]) }, 50)
    assert.is((await waiting).status, 200)
    assert.equal(backends.map((backend) => backend.requests.length), [1, 1])
  }, { keyed: true })
})

test('handle() goes on using a server, when a response that is not valid for its request, or comes from another server, says that it is leaving', async () => {
  const responses: Array<Readonly<Record<string, string>>> = [
    { [TEST_HEADER_NAMES.attemptId]: 'another', [TEST_HEADER_NAMES.signature]: 'signed' },
    { [TEST_HEADER_NAMES.signature]: 'signed' },
    {}
  ]
  const respondInvalid: BackendHandler = (request, response) => {
    const headers = responses.shift()
    if (headers !== undefined) response.writeHead(200, { ...headers, ...LEAVING }).end('x')
    else if (request.path === '/once/moved') response.writeHead(421, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.notRun]: '1', ...LEAVING }).end()
    else response.writeHead(200, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.signature]: 'signed', [TEST_HEADER_NAMES.leaving]: '0' }).end('x')
  }
  await withGateway([respondInvalid], async ({ call, routingState }) => {
    for (let request = 0; request < 3; request++) assert.is((await call('/once/x', { id: `r${request}`, body: 'b' })).status, 502)
    assert.is.not((await call('/once/moved', { id: 'r4', body: 'b' })).status, 200)
    assert.is((await call('/once/x', { id: 'r5', body: 'b' })).status, 200)
    assert.is(routingState.server('s0')?.leaving, false)
  })
})

test('handle() responds with 503 and a retry delay, when every server refuses', async () => {
  await withGateway([respondNotRun, respondNotRun], async ({ call }) => {
    const response = await call('/once/x', { body: 'b' })
    assert.is(response.status, 503)
    assert.ok(Number(response.headers['retry-after']) > 0)
  })
})

test('handle() never reports that a request has not run, when one server may have run an idempotent request and the next refuses it', async () => {
  await withGateway([closeConnection, respondNotRun], async ({ call }) => {
    const response = await call('/lookups/x')
    assert.is(response.status, 502)
    assert.ok(Number(response.headers['retry-after']) > 0)
  })
})

test('handle() does not retry, when the retry budget is spent', async () => {
  await withGateway([closeConnection, respondWithPath], async ({ call, backends }) => {
    assert.is((await call('/lookups/x')).status, 502)
    assert.is(backends[1]?.requests.length, 0)
  }, { retries: 0 })
})

test('handle() responds with 504 at the timeout of the route, when the server does not respond', async () => {
  await withGateway([neverResponds], async ({ call }) => {
    const startedAt = performance.now()
    assert.is((await call('/once/x', { body: 'b' })).status, 504)
    const tookMs = performance.now() - startedAt
    assert.ok(tookMs >= 590 && tookMs < 1100, `${tookMs} ms`)
  })
})

test('handle() aborts the request to the server within half a second, when the caller leaves', async () => {
  await withGateway([neverResponds], async ({ call, backends, records }) => {
    await call('/lookups/x', { abortAfterMs: 100 }).then(() => assert.unreachable(), () => {})
    await new Promise((resolve) => { setTimeout(resolve, 400) })
    assert.equal(backends[0]?.abandonedRequestIds, ['a1'])
    assert.is(records[0]?.reason, 'caller-left')
  })
})

test('handle() forwards an error response of the server unchanged, when the request is not idempotent', async () => {
  const failing: BackendHandler = (request, response) => { response.writeHead(500, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.signature]: 'signed' }).end('failed') }
  await withGateway([failing, respondWithPath], async ({ call }) => {
    const response = await call('/once/x', { body: 'b' })
    assert.is(response.status, 500)
    assert.is(response.body, 'failed')
  })
})

test('handle() waits and sends a keyed request to its owner only, when the key is moving', async () => {
  await withGateway([respondWithPath, respondWithPath], async ({ call, routingState, backends }) => {
    routingState.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'moving' } }])
    setTimeout(() => { routingState.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'owned', server: 's1' } }]) }, 50)
    assert.is((await call('/lookups/x', { key: 7 })).status, 200)
    assert.equal(backends.map((backend) => backend.requests.length), [0, 1])
  }, { keyed: true })
})

test('handle() refuses a keyed request immediately, when its key cannot be served for some time', async () => {
  await withGateway([respondWithPath], async ({ call, routingState }) => {
    routingState.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'unserved', until: performance.now() + 3000 } }])
    const startedAt = performance.now()
    const response = await call('/lookups/x', { key: 7 })
    assert.is(response.status, 503)
    assert.ok(performance.now() - startedAt < 100)
    // A third of the two seconds that the caller states: it waits no longer, and the key is not served before.
    const retryAfterSeconds = Number(response.headers['retry-after'])
    assert.ok(retryAfterSeconds > 0.6 && retryAfterSeconds <= 0.667, `${retryAfterSeconds} s`)
  }, { keyed: true })
})

test('handle() sends a keyed request to the new owner, when the old one reports that it no longer owns the key', async () => {
  const misdirected: BackendHandler = (_request, response) => { response.writeHead(421, { [TEST_HEADER_NAMES.notRun]: '1' }).end() }
  await withGateway([misdirected, respondWithPath], async ({ call, routingState }) => {
    routingState.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'owned', server: 's0' } }])
    setTimeout(() => { routingState.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'owned', server: 's1' } }]) }, 50)
    assert.is((await call('/once/x', { key: 7, body: 'b' })).status, 200)
  }, { keyed: true })
})

test('pending() counts a request until its caller has received the whole response, so that a host that stops does not cut it', async () => {
  const body = 'x'.repeat(450_000)
  const respondLong: BackendHandler = (request, response) => { response.writeHead(200, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.signature]: 'signed' }).end(body) }
  await withGateway([respondLong], async ({ exchangeBytes, pending, routingState, backends }) => {
    routingState.applyConfiguration({ ...TEST_CONFIGURATION, version: 2, routes: [{ ...TEST_ROUTE, kind: RequestKind.once, timeoutMs: 20_000 }] })
    routingState.setServers(backends.map((backend) => ({ ...backend.server, slots: 1000 })))
    // Together more than the largest socket buffers of common kernels.
    const requests = 120
    let pendingWhileUnread = 0
    const received = await exchangeBytes((socket) => {
      socket.pause()
      for (let request = 0; request < requests; request++) socket.write(`GET /lookups/${request} HTTP/1.1\r\nHost: one.example\r\nX-Attempt: a${request}\r\nX-Deadline: 20000\r\n${request === requests - 1 ? 'Connection: close\r\n' : ''}\r\n`)
      setTimeout(() => {
        pendingWhileUnread = pending()
        socket.resume()
      }, 1500)
    })
    const bodyBytes = [...received.matchAll(/x{3,}/g)].reduce((sum, [part]) => sum + part.length, 0)
    assert.is(bodyBytes, requests * body.length)
    const [heads, lengths, lastChunks] = [/HTTP\/1\.1 200 /g, /Content-Length: 450000\r\n/g, /\r\n0\r\n\r\n/g].map((pattern) => received.match(pattern)?.length ?? 0)
    assert.is(heads, requests)
    // Responses are streamed in chunks once those that are kept take too much.
    assert.is((lengths ?? 0) + (lastChunks ?? 0), requests)
    assert.ok(pendingWhileUnread > 0, 'No request is pending although the caller has not read its response')
    assert.is(pending(), 0)
  })
})

test('handle() returns each response to its own request, when a caller pipelines requests and a later one is answered first', async () => {
  const respondAfterDelay: BackendHandler = (request, response) => { setTimeout(() => { respondWithPath(request, response) }, request.path.endsWith('slow') ? 150 : 0) }
  await withGateway([respondAfterDelay], async ({ exchangeBytes }) => {
    const received = await exchangeBytes((socket) => {
      socket.write('GET /lookups/slow HTTP/1.1\r\nHost: one.example\r\nX-Attempt: a1\r\n\r\nGET /lookups/fast HTTP/1.1\r\nHost: one.example\r\nX-Attempt: a2\r\nConnection: close\r\n\r\n')
    })
    assert.equal([...received.matchAll(/x-attempt: (\S+)|(\/lookups\/(?:slow|fast))/gi)].map((match) => match[1] ?? match[2]), ['a1', '/lookups/slow', 'a2', '/lookups/fast'])
  })
})

test('handle() spends no retry budget, when a streamed body cannot be sent again', async () => {
  const failing: BackendHandler = (request, response) => { response.writeHead(500, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.signature]: 'signed' }).end() }
  await withGateway([failing, respondWithPath], async ({ exchangeBytes, call, routingState }) => {
    routingState.applyConfiguration({ ...TEST_CONFIGURATION, version: 2, limits: { ...TEST_CONFIGURATION.limits, bodyBytes: 8 * 1024 * 1024 } })
    const received = await exchangeBytes((socket) => { socket.write(`PUT /lookups/x HTTP/1.1\r\nHost: one.example\r\nX-Attempt: a1\r\nConnection: close\r\nContent-Length: 2000000\r\n\r\n${'x'.repeat(2_000_000)}`) })
    assert.match(received, /^HTTP\/1\.1 500 /)
    assert.is((await call('/lookups/y')).status, 200)
  }, { retries: 1 })
})

test('handle() reads the next request of a connection, when the server has responded before it read a long body', async () => {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => { socket.write(`HTTP/1.1 200 OK\r\n${TEST_HEADER_NAMES.attemptId}: a1\r\n${TEST_HEADER_NAMES.signature}: signed\r\nContent-Length: 5\r\n\r\nearly`) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  try {
    await withGateway([respondWithPath], async ({ exchangeBytes, routingState, backends }) => {
      const bytes = 3 * 1024 * 1024
      routingState.applyConfiguration({ ...TEST_CONFIGURATION, version: 2, limits: { ...TEST_CONFIGURATION.limits, bodyBytes: bytes } })
      routingState.setServers(backends.map((backend) => ({ ...backend.server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` })))
      const received = await exchangeBytes((socket) => {
        socket.write(`PUT /once/x HTTP/1.1\r\nHost: one.example\r\nX-Attempt: a1\r\nContent-Length: ${bytes}\r\n\r\n${'x'.repeat(bytes / 2)}`)
        setTimeout(() => { socket.write(`${'x'.repeat(bytes / 2)}GET /nowhere/ HTTP/1.1\r\nHost: one.example\r\nConnection: close\r\n\r\n`) }, 100)
        setTimeout(() => { socket.destroy() }, 1500)
      })
      assert.match(received, /^HTTP\/1\.1 200 [^]*earlyHTTP\/1\.1 404 /)
    })
  } finally {
    server.close()
  }
})

/** Head of a POST request whose body is sent in chunks. */
const CHUNKED_HEAD = 'POST /once/x HTTP/1.1\r\nHost: one.example\r\nX-Attempt: a1\r\nX-Deadline: 2000\r\nTransfer-Encoding: chunked\r\n\r\n'

/** Writes 64 KiB chunks of a body, without end or until `total` bytes have been written. */
function writeChunks (socket: Socket, total = Infinity): void {
  const bytes = 64 * 1024
  let written = 0
  const timer = setInterval(() => {
    while (written < total && socket.writableLength < 4 * bytes) {
      socket.write(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`)
      written += bytes
    }
    if (written < total) return
    clearInterval(timer)
    socket.write('0\r\n\r\n')
  }, 1)
  socket.on('close', () => { clearInterval(timer) })
}

test('handle() responds with 413 and sends nothing, when the stated length of a body exceeds the limit', async () => {
  await withGateway([respondWithPath], async ({ exchangeBytes, backends }) => {
    const received = await exchangeBytes((socket) => { socket.write('POST /once/x HTTP/1.1\r\nHost: one.example\r\nX-Attempt: a1\r\nContent-Length: 1000001\r\n\r\n') })
    assert.match(received, /^HTTP\/1\.1 413 /)
    assert.is(backends[0]?.requests.length, 0)
  })
})

test('handle() responds with 413, sends nothing and buffers no more than the limit, when a body in chunks has no end', async () => {
  await withGateway([respondWithPath], async ({ exchangeBytes, backends }) => {
    const before = process.memoryUsage().arrayBuffers
    const received = await exchangeBytes((socket) => {
      socket.write(CHUNKED_HEAD)
      writeChunks(socket)
      setTimeout(() => { socket.destroy() }, 800)
    })
    assert.match(received, /^HTTP\/1\.1 413 /)
    assert.is(backends[0]?.requests.length, 0)
    assert.ok(process.memoryUsage().arrayBuffers - before < 16 * 1024 * 1024)
  })
})

test('handle() streams a body in chunks that is too long to be buffered, and aborts it once it exceeds the limit', async () => {
  await withGateway([respondWithPath], async ({ exchangeBytes, backends, routingState }) => {
    routingState.applyConfiguration({ ...TEST_CONFIGURATION, version: 2, limits: { ...TEST_CONFIGURATION.limits, bodyBytes: 3 * 1024 * 1024 } })
    const received = await exchangeBytes((socket) => {
      socket.write(CHUNKED_HEAD)
      writeChunks(socket, 2 * 1024 * 1024)
      setTimeout(() => { socket.end() }, 400)
    })
    assert.match(received, /^HTTP\/1\.1 200 /)
    assert.is(backends[0]?.requests[0]?.body.length, 2 * 1024 * 1024)
    const aborted = await exchangeBytes((socket) => {
      socket.write(CHUNKED_HEAD)
      writeChunks(socket)
      setTimeout(() => { socket.destroy() }, 500)
    })
    assert.match(aborted, /^HTTP\/1\.1 502 /)
    assert.is(backends[0]?.requests.length, 1)
  })
})

test('handle() responds with 408 at the timeout of the route, when the rest of a body does not arrive', async () => {
  await withGateway([respondWithPath], async ({ exchangeBytes, backends }) => {
    const startedAt = performance.now()
    const received = await exchangeBytes((socket) => { socket.write(`${CHUNKED_HEAD}5\r\nhello\r\n`) })
    assert.match(received, /^HTTP\/1\.1 408 /)
    assert.is(backends[0]?.requests.length, 0)
    assert.ok(performance.now() - startedAt < 1100)
  })
})

test('handle() closes the connections of caller and server at the timeout of the route, when the body of a response has no end', async () => {
  const respondWithoutEnd: BackendHandler = (request, response) => {
    response.writeHead(200, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.signature]: 'signed' })
    const timer = setInterval(() => { if (response.writableLength < 1_000_000) response.write('x'.repeat(256 * 1024)) }, 5)
    response.on('close', () => { clearInterval(timer) })
  }
  await withGateway([respondWithoutEnd], async ({ call, backends, records }) => {
    const startedAt = performance.now()
    await call('/lookups/x', { abortAfterMs: 1500 }).then(() => assert.unreachable(), () => {})
    assert.ok(performance.now() - startedAt < 1100)
    await new Promise((resolve) => { setTimeout(resolve, 100) })
    assert.equal(backends[0]?.abandonedRequestIds, ['a1'])
    assert.is(records[0]?.reason, 'answer-broke-off')
  })
})

/** Refuses the first request, and writes that refusal once more on its connection while it runs the second one. */
function createRepeatingRefuser (hasIdentifier: boolean): BackendHandler {
  let first: { readonly socket: Socket, readonly text: string } | null = null
  return (request, response) => {
    if (first === null && response.socket !== null) {
      const identifier = hasIdentifier ? `${TEST_HEADER_NAMES.attemptId}: ${request.id}\r\n` : ''
      first = { socket: response.socket, text: `HTTP/1.1 503 Service Unavailable\r\n${identifier}${TEST_HEADER_NAMES.notRun}: 1\r\nContent-Length: 0\r\n\r\n` }
      respondNotRun(request, response)
      return
    }
    setTimeout(() => { first?.socket.write(first.text) }, 20)
    setTimeout(() => { respondWithPath(request, response) }, 120)
  }
}

// Guards against 'not run' for a request that its owner runs: a faulty server wrote the refusal of the same attempt once more.
test('handle() returns the response of the owner, when the owner has refused the request before and repeats that refusal', async () => {
  await withGateway([createRepeatingRefuser(true)], async ({ call, routingState, backends }) => {
    routingState.setOwners('orders', [{ from: 0, to: 65535, owner: { kind: 'owned', server: 's0' } }])
    const response = await call('/once/x', { body: 'b', key: 7 })
    assert.is(response.status, 200)
    assert.is(backends[0]?.requests.length, 2)
  }, { keyed: true })
})

// Guards against 'not run' for a request that runs: the copy of an earlier refusal had no identifier.
test('handle() does not report that a request has not run, when the server repeats the refusal of an earlier one', async () => {
  for (const hasIdentifier of [true, false]) {
    await withGateway([createRepeatingRefuser(hasIdentifier)], async ({ call, backends }) => {
      assert.is((await call('/once/x', { id: 'a1', body: 'b' })).status, 503)
      assert.is((await call('/once/x', { id: 'a2', body: 'b' })).status, 502)
      assert.is(backends[0]?.requests.length, 2)
    })
  }
})

// Guards against an empty or short body that looks whole: a server that stops in the middle of its head and closes.
test('handle() never responds with a success, when the server closes its connection in the middle of the head of its response', async () => {
  const head = `HTTP/1.1 200 OK\r\n${TEST_HEADER_NAMES.attemptId}: a1\r\n${TEST_HEADER_NAMES.signature}: s\r\nContent-Length: 0\r\n\r\n`
  for (const length of [0, 5, 15, 17, 30, 60, head.length - 4, head.length - 2, head.length - 1]) {
    for (const method of ['GET', 'HEAD', 'POST']) {
      await withGateway([(_request, response) => { response.socket?.end(head.slice(0, length)) }], async ({ call }) => {
        assert.is((await call('/once/x', { method, ...(method === 'POST' ? { body: 'b' } : {}) })).status, 502, `${method}, ${length} bytes`)
      })
    }
  }
})

// Guards against requests that are cut without a response at the end of a planned stop, among them some that may run only once.
test('handle() refuses a request before it is sent, when it may still be in progress when the host stops', async () => {
  const stopsAt = performance.now() + 400
  await withGateway([respondWithPath], async ({ call, exchangeBytes, backends, records }) => {
    for (const body of ['b', 'x'.repeat(200_000)]) {
      const response = await call('/once/x', { body })
      assert.is(response.status, 503)
      assert.ok(Number(response.headers['retry-after']) < 0.1)
    }
    const kept = await exchangeBytes((socket) => {
      socket.write(`POST /once/x HTTP/1.1\r\nHost: one.example\r\n${TEST_HEADER_NAMES.attemptId}: a9\r\nContent-Length: 1\r\n\r\nb`)
      setTimeout(() => { socket.destroy() }, 50)
    })
    assert.match(kept, /^HTTP\/1.1 503/)
    assert.equal(backends[0]?.requests, [])
    assert.equal(records.map((record) => record.reason), ['stopping', 'stopping', 'stopping'])
    assert.is((await call('/once/x', { body: 'b', deadlineMs: 150 })).status, 200)
  }, { stopsAt: () => stopsAt })
})

test.run()
