/** Tests that every HTTP call ends, whatever the server does. */
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createHttpClient, type HttpCallOutcome, type HttpClientOptions } from './create_http_client.ts'

const test = suite('createHttpClient')

async function callServer (respond: (socket: Socket) => void, options: HttpClientOptions = {}): Promise<HttpCallOutcome | 'never ended'> {
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('data', () => { respond(socket) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const client = createHttpClient(options)
  try {
    return await Promise.race([
      client.call({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', path: '/', timeoutMs: 150 }),
      new Promise<'never ended'>((resolve) => { setTimeout(() => { resolve('never ended') }, 1000) })
    ])
  } finally {
    client.close()
    for (const socket of sockets) socket.destroy()
    server.close()
  }
}

function kindOf (outcome: HttpCallOutcome | 'never ended'): string {
  return outcome === 'never ended' ? outcome : outcome.kind
}

// Guards against a task that ends half done because a server's entry names a port that does not exist.
test('call() returns lost, when the runtime rejects the address or a header', async () => {
  const client = createHttpClient()
  for (const address of ['127.0.0.1:99999', '127.0.0.1:65536', '127.0.0.1:-1']) assert.is(kindOf(await client.call({ address, method: 'GET', path: '/', timeoutMs: 50 })), 'lost')
  assert.is(kindOf(await client.call({ address: '127.0.0.1:1', method: 'GET', path: '/', headers: { 'x-target': 'i\nodd' }, timeoutMs: 50 })), 'lost')
  client.close()
})

test('call() returns the complete response', async () => {
  const outcome = await callServer((socket) => { socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok') })
  assert.is(outcome !== 'never ended' && outcome.kind === 'answered' && outcome.text, 'ok')
})

test('call() returns the complete response, when receiving it takes longer than the timeout but never pauses that long', async () => {
  const outcome = await callServer((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n')
    for (let part = 1; part <= 4; part++) setTimeout(() => { socket.write('x') }, part * 80)
  })
  assert.is(outcome !== 'never ended' && outcome.kind === 'answered' && outcome.text, 'xxxx')
})

test('call() returns lost, when there is no response within the timeout', async () => {
  assert.is(kindOf(await callServer(() => {})), 'lost')
})

test('call() returns lost, when a response begins and does not end within the timeout', async () => {
  assert.is(kindOf(await callServer((socket) => { socket.write('HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nbegin') })), 'lost')
})

test('call() returns lost and closes the connection, when a response has no end', async () => {
  let closed = false
  const outcome = await callServer((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
    const timer = setInterval(() => { if (socket.writableLength < 1_000_000) socket.write(`10000\r\n${'x'.repeat(65536)}\r\n`) }, 1)
    socket.on('close', () => {
      closed = true
      clearInterval(timer)
    })
  }, { maximumResponseBytes: 256 * 1024 })
  assert.is(outcome !== 'never ended' && outcome.kind === 'lost' && outcome.detail, 'The response is longer than 262144 bytes')
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  assert.ok(closed)
})

test('call() returns lost, when a response ends early or the connection is reset', async () => {
  assert.is(kindOf(await callServer((socket) => { socket.end('HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nbegin') })), 'lost')
  assert.is(kindOf(await callServer((socket) => { socket.write('HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nbegin', () => { socket.resetAndDestroy() }) })), 'lost')
})

// Guards against a truncated object or row that counts as whole: a response without a length that was reset.
test('call() returns lost, when a response without a length is reset, and the response, when its connection is closed', async () => {
  const text = 'HTTP/1.1 200 OK\r\n\r\n'
  assert.is(kindOf(await callServer((socket) => { socket.write(`${text}begin`, () => { setTimeout(() => { socket.resetAndDestroy() }, 30) }) })), 'lost')
  assert.is(kindOf(await callServer((socket) => { socket.write(text + 'begin'.repeat(20_000), () => { socket.resetAndDestroy() }) })), 'lost')
  const outcome = await callServer((socket) => { socket.end(`${text}whole`) })
  assert.is(outcome !== 'never ended' && outcome.kind === 'answered' && outcome.text, 'whole')
  assert.is(kindOf(await callServer((socket) => { socket.write('HTTP/1.1 204 No Content\r\n\r\n') })), 'answered')
})

// Guards against a grant or a write that counts as done on a head that is no response: the runtime's parser accepts 000 and 600 to 999, and 101 without an upgrade.
for (const status of ['000', '001', '99', '099', '100', '101', '103', '199', '600', '999', '1000', 'abc', '']) {
  test(`call() returns lost, when the status is '${status}'`, async () => {
    assert.is(kindOf(await callServer((socket) => { socket.write(`HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\nok`) })), 'lost')
  })
}

test('call() returns lost at once, when the server switches to another protocol', async () => {
  const outcome = await callServer((socket) => { socket.write('HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n') })
  assert.is(outcome !== 'never ended' && outcome.kind === 'lost' && !outcome.detail.startsWith('No response'), true)
})

test('call() returns lost at once, when interim responses never end', async () => {
  const outcome = await callServer((socket) => {
    const timer = setInterval(() => { if (socket.writableLength < 100_000) socket.write('HTTP/1.1 102 X\r\n\r\n') }, 2)
    socket.on('close', () => { clearInterval(timer) })
  })
  assert.is(outcome !== 'never ended' && outcome.kind === 'lost' && outcome.detail, 'The server sent more than 8 interim responses')
})

test('call() returns refused, when nothing listens at the address', async () => {
  const client = createHttpClient()
  assert.is((await client.call({ address: '127.0.0.1:1', method: 'GET', path: '/', timeoutMs: 500 })).kind, 'refused')
})

test('call() returns lost within the timeout, when more calls than connections wait for a server that does not respond', async () => {
  const sockets = new Set<Socket>()
  const server = createServer((socket) => { sockets.add(socket.on('error', () => {})) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const client = createHttpClient({ connections: 2 })
  const startedAt = performance.now()
  const outcomes = await Promise.all(Array.from({ length: 12 }, async () => await client.call({ address, method: 'GET', path: '/', timeoutMs: 150 })))
  assert.equal(outcomes.map((outcome) => outcome.kind), Array.from({ length: 12 }, () => 'lost'))
  assert.ok(performance.now() - startedAt < 400, `${performance.now() - startedAt} ms`)
  client.close()
  for (const socket of sockets) socket.destroy()
  server.close()
})

test.run()
