/** Tests of the outcomes of attempts, against servers that violate the protocol. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { HeaderNames } from './header_names.ts'
import { sendAttempt, type AttemptOutcome } from './send_attempt.ts'
import { createServerAgent } from './server_agent.ts'

const test = suite('sendAttempt')
const names: HeaderNames = {
  attemptId: 'x-attempt', deadlineMs: 'x-deadline', targetServer: 'x-target', key: 'x-key', notRun: 'x-not-run', signature: 'x-signature', respondingServer: 'x-server'
}

/** Runs attempts against a server that handles each request with `answer`. */
async function withServer (answer: (socket: Socket, count: number) => void, run: (send: (id?: string, body?: Buffer) => Promise<AttemptOutcome>) => Promise<void>): Promise<void> {
  let count = 0
  const sockets = new Set<Socket>()
  const server: Server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', (data) => { if (data.toString().includes('HTTP/1.1')) answer(socket, ++count) })
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
      signal: AbortSignal.timeout(2000)
    }, { agent, names }))
  } finally {
    agent.destroy()
    for (const socket of sockets) socket.destroy()
    server.close()
  }
}

function answerTo (id: string, body: string, extra = ''): string {
  return `HTTP/1.1 200 OK\r\nX-Attempt: ${id}\r\nX-Signature: s\r\n${extra}Content-Length: ${body.length}\r\n\r\n${body}`
}

test('sendAttempt() returns the whole response, when the server responds', async () => {
  await withServer((socket) => { socket.write(answerTo('a1', 'whole')) }, async (send) => {
    const outcome = await send()
    assert.is(outcome.kind === 'answer' && outcome.body.toString(), 'whole')
  })
})

test('sendAttempt() returns lost, when a response is incomplete', async () => {
  await withServer((socket) => { socket.end(answerTo('a1', 'whole').slice(0, -2)) }, async (send) => {
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
  await withServer((socket) => { socket.write(answerTo('a0', 'late')) }, async (send) => {
    assert.is((await send()).kind, 'lost')
  })
})

test('sendAttempt() does not return a second response for the next request, when it arrives on an idle connection', async () => {
  await withServer((socket, count) => {
    socket.write(answerTo(`a${count}`, 'first'))
    if (count === 1) setTimeout(() => { socket.write(answerTo('a1', 'second')) }, 10)
  }, async (send) => {
    assert.is((await send('a1')).kind, 'answer')
    await new Promise((resolve) => { setTimeout(resolve, 60) })
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
    signal: AbortSignal.timeout(1000)
  }, { agent, names })
  assert.is(outcome.kind, 'unsent')
})

test('sendAttempt() ends without an uncaught error, when its signal has been aborted before', async () => {
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
      signal: AbortSignal.abort()
    }, { agent, names })
    assert.is(outcome.kind, 'unsent')
    await new Promise((resolve) => { setTimeout(resolve, 20) })
  })
})

test.run()
