/** Tests of the outcomes of attempts, against servers that violate the protocol. */
import { Agent } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import type { HeaderNames } from './header_names.ts'
import { createResponseMemory } from './response_memory.ts'
import { sendAttempt, type AttemptOutcome } from './send_attempt.ts'
import { createServerAgent } from './server_agent.ts'

const test = suite('sendAttempt')
const names: HeaderNames = {
  attemptId: 'x-attempt', deadlineMs: 'x-deadline', targetServer: 'x-target', key: 'x-key', notRun: 'x-not-run', signature: 'x-signature', respondingServer: 'x-server', leaving: 'x-leaving', requestLimit: 'x-limit', load: 'x-load'
}

/** Runs attempts against a server that handles each request with `respond`. */
async function withServer (respond: (socket: Socket, count: number) => void, run: (send: (id?: string, body?: Buffer) => Promise<AttemptOutcome>) => Promise<void>): Promise<void> {
  let count = 0
  const sockets = new Set<Socket>()
  const server: Server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', (data) => { if (data.toString().includes('HTTP/1.1')) respond(socket, ++count) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const agent = createServerAgent()
  const { port } = server.address() as AddressInfo
  try {
    await run((id = 'a1', body) => sendAttempt({
      server: { id: 's1', bornAt: 1, service: 'orders', address: `127.0.0.1:${port}`, zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 },
      id,
      method: body === undefined ? 'GET' : 'POST',
      path: '/orders/1',
      headers: ['Host', 'example.org', 'X-Attempt', id],
      body: body ?? null,
      deadlineMs: 1000,
      memory: createResponseMemory().open(),
      signal: AbortSignal.timeout(2000)
    }, { agent, names, limits: { record () {} } }))
  } finally {
    agent.destroy()
    for (const socket of sockets) socket.destroy()
    server.close()
  }
}

function responseText (id: string, body: string, extra = ''): string {
  return `HTTP/1.1 200 OK\r\nX-Attempt: ${id}\r\nX-Signature: s\r\n${extra}Content-Length: ${body.length}\r\n\r\n${body}`
}

/** Writes `head`, then `part` again and again until the connection closes. */
function sendWithoutEnd (socket: Socket, head: string, part: string): void {
  socket.write(head)
  const timer = setInterval(() => { if (socket.writableLength < 1_000_000) socket.write(part) }, 1)
  socket.on('close', () => { clearInterval(timer) })
}

/** Asserts that an attempt ends as lost at once, and that the server's connection closes. */
async function expectClosed (respond: (socket: Socket) => void): Promise<void> {
  let closed = false
  await withServer((socket) => {
    socket.on('close', () => { closed = true })
    respond(socket)
  }, async (send) => {
    const startedAt = performance.now()
    assert.is((await send()).kind, 'lost')
    const tookMs = performance.now() - startedAt
    assert.ok(tookMs < 200, `${tookMs} ms`)
    await new Promise((resolve) => { setTimeout(resolve, 100) })
    assert.ok(closed, 'The connection is still open')
  })
}

// Guards against a caller that gets no response, and load that is counted for ever, because a server's entry names a port that does not exist.
test('sendAttempt() returns unsent, when the runtime rejects the address or the identifier of the server', async () => {
  const agent = createServerAgent()
  for (const [id, address] of [['s1', '127.0.0.1:99999'], ['s1', '127.0.0.1:65536'], ['s\n1', '127.0.0.1:1']] as const) {
    const outcome = await sendAttempt({
      server: { id, bornAt: 1, service: 'orders', address, zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }, id: 'a1', method: 'GET', path: '/orders/1', headers: [], body: null, deadlineMs: 100, memory: createResponseMemory().open(), signal: AbortSignal.timeout(100)
    }, { agent, names, limits: { record () {} } })
    assert.is(outcome.kind, 'unsent')
  }
  agent.destroy()
})

test('sendAttempt() returns the whole response, when the server responds', async () => {
  await withServer((socket) => { socket.write(responseText('a1', 'whole')) }, async (send) => {
    const outcome = await send()
    assert.is(outcome.kind === 'answer' && outcome.body.toString(), 'whole')
  })
})

test('sendAttempt() returns lost, when a response is incomplete', async () => {
  await withServer((socket) => { socket.end(responseText('a1', 'whole').slice(0, -2)) }, async (send) => {
    assert.is((await send()).kind, 'lost')
  })
})

test('sendAttempt() returns a response without a length, when the connection is closed after it', async () => {
  await withServer((socket) => { socket.end('HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Signature: s\r\n\r\nwhole') }, async (send) => {
    const outcome = await send()
    assert.is(outcome.kind === 'answer' && outcome.body.toString(), 'whole')
  })
})

test('sendAttempt() returns lost, when a response without a length ends with a reset', async () => {
  await withServer((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Signature: s\r\n\r\nwho', () => { setTimeout(() => socket.resetAndDestroy(), 20) })
  }, async (send) => {
    assert.is((await send()).kind, 'lost')
  })
})

test('sendAttempt() returns lost, when a response without a length ends before the request has been sent', async () => {
  await withServer((socket) => {
    socket.pause()
    socket.end('HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Signature: s\r\n\r\nwho')
  }, async (send) => {
    assert.is((await send('a1', Buffer.alloc(16 * 1024 * 1024))).kind, 'lost')
  })
})

test('sendAttempt() returns lost, when the response belongs to another attempt', async () => {
  await withServer((socket) => { socket.write(responseText('a0', 'late')) }, async (send) => {
    assert.is((await send()).kind, 'lost')
  })
})

test('sendAttempt() does not return a second response for the next request, when it arrives on an idle connection', async () => {
  let closed = Promise.resolve()
  await withServer((socket, count) => {
    socket.write(responseText(`a${count}`, 'first'))
    if (count > 1) return
    closed = new Promise((resolve) => { socket.once('close', () => { resolve() }) })
    setTimeout(() => { socket.write(responseText('a1', 'second')) }, 10)
  }, async (send) => {
    assert.is((await send('a1')).kind, 'answer')
    // Until this process has read the second response, the connection counts as idle and the next request would be lost on it.
    await Promise.race([closed, new Promise((resolve) => { setTimeout(resolve, 2000) })])
    const outcome = await send('a2')
    assert.is(outcome.kind === 'answer' && outcome.body.toString(), 'first')
  })
})

test('sendAttempt() returns not-run, when the server reports it', async () => {
  await withServer((socket) => { socket.write('HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n') }, async (send) => {
    assert.equal(await send(), { kind: 'not-run', status: 503, misdirected: false })
  })
})

test('sendAttempt() returns unsent, when the connection is refused', async () => {
  const agent = createServerAgent()
  const outcome = await sendAttempt({
    server: { id: 's1', bornAt: 1, service: 'orders', address: '127.0.0.1:1', zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 },
    id: 'a1',
    method: 'GET',
    path: '/',
    headers: [],
    body: null,
    deadlineMs: 1000,
    memory: createResponseMemory().open(),
    signal: AbortSignal.timeout(1000)
  }, { agent, names, limits: { record () {} } })
  assert.is(outcome.kind, 'unsent')
})

// Guards against work for callers that have gone: a close that arrives together with an established connection.
test('sendAttempt() writes nothing and returns unsent, when it is aborted just after its connection is established', async () => {
  let receivedBytes = 0
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', (data) => { receivedBytes += data.length })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const controller = new AbortController()
  const agent = new Agent()
  const createConnection = agent.createConnection.bind(agent)
  agent.createConnection = (options, callback) => {
    const socket = createConnection(options, callback)
    socket?.once('connect', () => { setImmediate(() => { controller.abort() }) })
    return socket
  }
  try {
    const outcome = await sendAttempt({
      server: { id: 's1', bornAt: 1, service: 'orders', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 },
      id: 'a1',
      method: 'POST',
      path: '/orders/1',
      headers: ['Host', 'example.org', 'X-Attempt', 'a1'],
      body: Buffer.from('two ammonites'),
      deadlineMs: 1000,
      memory: createResponseMemory().open(),
      signal: controller.signal
    }, { agent, names, limits: { record () {} } })
    await new Promise((resolve) => { setTimeout(resolve, 100) })
    assert.is(outcome.kind, 'unsent')
    assert.is(receivedBytes, 0)
  } finally {
    agent.destroy()
    for (const socket of sockets) socket.destroy()
    server.close()
  }
})

test('sendAttempt() ends without an uncaught error, when its signal is already aborted', async () => {
  await withServer(() => {}, async () => {
    const agent = createServerAgent()
    const outcome = await sendAttempt({
      server: { id: 's1', bornAt: 1, service: 'orders', address: '127.0.0.1:1', zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 },
      id: 'a1',
      method: 'GET',
      path: '/',
      headers: [],
      body: null,
      deadlineMs: 1000,
      memory: createResponseMemory().open(),
      signal: AbortSignal.abort()
    }, { agent, names, limits: { record () {} } })
    assert.is(outcome.kind, 'unsent')
    await new Promise((resolve) => { setTimeout(resolve, 20) })
  })
})

test('sendAttempt() does not return a second response for the next request, when both arrive in one packet', async () => {
  await withServer((socket, count) => {
    socket.write(responseText(`a${count}`, 'first') + (count === 1 ? responseText('a1', 'second') : ''))
  }, async (send) => {
    const first = await send('a1')
    assert.is(first.kind === 'answer' && first.body.toString(), 'first')
    const next = await send('a2')
    assert.is(next.kind === 'answer' && next.body.toString(), 'first')
  })
})

test('sendAttempt() returns lost within 200 ms and closes the connection, when the server sends a head without end', async () => {
  await expectClosed((socket) => sendWithoutEnd(socket, 'HTTP/1.1 200 OK\r\nX-Filler: ', 'x'.repeat(4096)))
})

test('sendAttempt() returns lost within 200 ms and closes the connection, when the server sends bytes without end that are no response', async () => {
  await expectClosed((socket) => sendWithoutEnd(socket, '', '\u0000'.repeat(4096)))
})

test('sendAttempt() returns lost within 200 ms and closes the connection, when the server sends interim responses without end', async () => {
  await expectClosed((socket) => sendWithoutEnd(socket, '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(8)))
})

test('sendAttempt() returns lost within 200 ms and closes the connection, when a body without end has no signature', async () => {
  await expectClosed((socket) => sendWithoutEnd(socket, 'HTTP/1.1 200 OK\r\nX-Attempt: a1\r\n\r\n', 'x'.repeat(4096)))
})

test('sendAttempt() returns lost within 200 ms and closes the connection, when the size of a chunk has no end', async () => {
  await expectClosed((socket) => sendWithoutEnd(socket, 'HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n1;', 'x'.repeat(4096)))
})

test('sendAttempt() returns lost within 200 ms, when the server switches to another protocol', async () => {
  await expectClosed((socket) => { socket.write('HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n') })
})

test('sendAttempt() settles and never returns a response, when the server sends arbitrary bytes in place of a signed response', async () => {
  const line = fc.constantFrom('HTTP/1.1 200 OK', 'HTTP/1.1 99 Low', 'HTTP/1.1 999 High', 'HTTP/1.0 200', 'X-Attempt: a1', 'X-Attempt: a2', 'Content-Length: 3', 'Content-Length: -1', 'Transfer-Encoding: chunked', 'Connection: upgrade', 'Upgrade: other', '', 'abc', '3', '0')
  const bytes = fc.oneof(fc.array(line, { maxLength: 12 }).map((lines) => Buffer.from(lines.join('\r\n') + '\r\n')), fc.uint8Array({ maxLength: 300 }).map((array) => Buffer.from(array)))
  await fc.assert(fc.asyncProperty(bytes, async (response) => {
    await withServer((socket) => { socket.end(response) }, async (send) => {
      const { kind } = await send()
      assert.ok(kind === 'lost' || kind === 'unsent', kind)
    })
  }), propertyParameters(60))
})

function refusalText (id: string | null): string {
  return `HTTP/1.1 503 Service Unavailable\r\n${id === null ? '' : `X-Attempt: ${id}\r\n`}X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`
}

// Guards against 'not run' for a request that runs: a copy of an earlier refusal without an identifier arrived in place of the response.
test('sendAttempt() returns lost, when a refusal without an identifier arrives on a connection that has been used before', async () => {
  await withServer((socket, count) => { socket.write(count === 1 ? responseText('a1', 'first') : refusalText(null)) }, async (send) => {
    assert.is((await send('a1')).kind, 'answer')
    await new Promise((resolve) => { setTimeout(resolve, 10) })
    assert.is((await send('a2')).kind, 'lost')
  })
  await withServer((socket) => { socket.write(refusalText(null)) }, async (send) => {
    assert.is((await send('a1')).kind, 'not-run')
  })
})

// Guards against 'not run' for a request that runs: a copy of the refusal of the same attempt arrived in place of the response.
test('sendAttempt() sends an attempt on a new connection, when the server has refused it on the kept one', async () => {
  const sockets: Socket[] = []
  await withServer((socket, count) => {
    sockets.push(socket)
    if (count === 1) {
      socket.write(refusalText('a1'))
      return
    }
    sockets[0]?.write(refusalText('a1'))
    setTimeout(() => { socket.write(responseText('a1', 'ran')) }, 100)
  }, async (send) => {
    assert.is((await send('a1')).kind, 'not-run')
    await new Promise((resolve) => { setTimeout(resolve, 10) })
    assert.is((await send('a1')).kind, 'answer')
    assert.is(new Set(sockets).size, 2)
  })
})

for (const status of [200, 500]) {
  // Guards against the response of an earlier run in place of the present one: a copy of the response to the same attempt, which is sent again after a failure, arrived late.
  test(`sendAttempt() sends an attempt on a new connection, when the server has responded to it with status ${status} on the kept one`, async () => {
    const sockets: Socket[] = []
    const first = responseText('a1', 'first').replace('200 OK', `${status} Status`)
    await withServer((socket, count) => {
      sockets.push(socket)
      if (count === 1) {
        socket.write(first)
        return
      }
      sockets[0]?.write(first)
      setTimeout(() => { socket.write(responseText('a1', 'second')) }, 100)
    }, async (send) => {
      assert.is((await send('a1')).kind, 'answer')
      await new Promise((resolve) => { setTimeout(resolve, 10) })
      const outcome = await send('a1')
      assert.is(outcome.kind === 'answer' && outcome.body.toString(), 'second')
    })
  })
}

test('sendAttempt() keeps using a connection, when the server has refused another attempt on it', async () => {
  const sockets = new Set<Socket>()
  await withServer((socket, count) => {
    sockets.add(socket)
    socket.write(count === 1 ? refusalText('a1') : responseText('a2', 'ran'))
  }, async (send) => {
    assert.is((await send('a1')).kind, 'not-run')
    await new Promise((resolve) => { setTimeout(resolve, 10) })
    assert.is((await send('a2')).kind, 'answer')
    assert.is(sockets.size, 1)
  })
})

// Guards against an empty or short body that looks whole: a server that stops in the middle of its head and closes.
test('sendAttempt() returns lost, when the connection ends anywhere in the head of a response', async () => {
  const heads = ['200 OK', '204 No Content', '503 Service Unavailable'].map((status) => `HTTP/1.1 ${status}\r\nX-Attempt: a1\r\nX-Signature: s\r\n${status.startsWith('503') ? 'X-Not-Run: 1\r\n' : ''}Content-Length: 0\r\n\r\n`)
  for (const head of heads) {
    for (let length = 0; length < head.length - 1; length += length < 12 ? 1 : 7) {
      await withServer((socket) => { socket.end(head.slice(0, length)) }, async (send) => {
        assert.is((await send()).kind, 'lost', JSON.stringify(head.slice(0, length)))
      })
    }
    await withServer((socket) => { socket.end(head.slice(0, -1)) }, async (send) => {
      assert.is((await send()).kind, 'lost', 'all but the last byte')
    })
  }
})

test.run()
