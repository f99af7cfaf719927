/** Tests of short calls: each ends, whatever the other side does. */
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createHttpClient, type HttpCallOutcome } from './create_http_client.ts'

const test = suite('createHttpCaller')

async function callServer (answer: (socket: Socket) => void): Promise<HttpCallOutcome | 'never ended'> {
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('data', () => { answer(socket) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const caller = createHttpClient()
  try {
    return await Promise.race([
      caller.call({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', path: '/', timeoutMs: 150 }),
      new Promise<'never ended'>((resolve) => { setTimeout(() => { resolve('never ended') }, 1000) })
    ])
  } finally {
    caller.close()
    for (const socket of sockets) socket.destroy()
    server.close()
  }
}

function kindOf (outcome: HttpCallOutcome | 'never ended'): string {
  return outcome === 'never ended' ? outcome : outcome.kind
}

test('call() returns the whole answer', async () => {
  const outcome = await callServer((socket) => { socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok') })
  assert.is(outcome !== 'never ended' && outcome.kind === 'answered' && outcome.text, 'ok')
})

test('call() returns the whole answer, when it goes on coming for longer than the time without a byte', async () => {
  const outcome = await callServer((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n')
    for (let part = 1; part <= 4; part++) setTimeout(() => { socket.write('x') }, part * 80)
  })
  assert.is(outcome !== 'never ended' && outcome.kind === 'answered' && outcome.text, 'xxxx')
})

test('call() says lost, when there is no answer in time', async () => {
  assert.is(kindOf(await callServer(() => {})), 'lost')
})

test('call() says lost, when an answer begins and does not end in time', async () => {
  assert.is(kindOf(await callServer((socket) => { socket.write('HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nbegin') })), 'lost')
})

test('call() says lost, when an answer breaks off or is reset', async () => {
  assert.is(kindOf(await callServer((socket) => { socket.end('HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nbegin') })), 'lost')
  assert.is(kindOf(await callServer((socket) => { socket.write('HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nbegin', () => { socket.resetAndDestroy() }) })), 'lost')
})

test('call() says refused, when nothing listens', async () => {
  const caller = createHttpClient()
  assert.is((await caller.call({ address: '127.0.0.1:1', method: 'GET', path: '/', timeoutMs: 500 })).kind, 'refused')
})

test('call() says lost in time, when more calls than connections wait for a server that does not answer', async () => {
  const sockets = new Set<Socket>()
  const server = createServer((socket) => { sockets.add(socket.on('error', () => {})) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const caller = createHttpClient({ connections: 2 })
  const startedAt = performance.now()
  const outcomes = await Promise.all(Array.from({ length: 12 }, async () => await caller.call({ address, method: 'GET', path: '/', timeoutMs: 150 })))
  assert.equal(outcomes.map((outcome) => outcome.kind), Array.from({ length: 12 }, () => 'lost'))
  assert.ok(performance.now() - startedAt < 400, `${performance.now() - startedAt} ms`)
  caller.close()
  for (const socket of sockets) socket.destroy()
  server.close()
})

test.run()
