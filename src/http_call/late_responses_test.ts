/** Tests that a call never takes bytes that belong to no call, or a part of a response, for its response. */
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createHttpClient, type HttpClient, type HttpCallOutcome } from './create_http_client.ts'
import { resetConnection } from './reset_connection.ts'

const test = suite('createHttpClient, late and cut responses')

async function withServer (respond: (socket: Socket, count: number) => void, run: (client: HttpClient, address: string) => Promise<void>): Promise<void> {
  const sockets = new Set<Socket>()
  let count = 0
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', () => { respond(socket, ++count) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const client = createHttpClient({ connections: 1 })
  try {
    await run(client, `127.0.0.1:${(server.address() as AddressInfo).port}`)
  } finally {
    client.close()
    for (const socket of sockets) socket.destroy()
    server.close()
  }
}

async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

function textOf (outcome: HttpCallOutcome): string {
  return outcome.kind === 'answered' ? outcome.text : outcome.kind
}

function responseText (text: string): string {
  return `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`
}

// Guards against a release that counts as done because a server has responded twice to the grant before it.
test('call() never returns the second response to the call before it, when that arrives while the connection is idle', async () => {
  await withServer((socket, count) => {
    if (count > 1) return
    socket.write(responseText('grant'))
    setTimeout(() => { socket.write(responseText('grant')) }, 30)
  }, async (client, address) => {
    const call = { address, method: 'POST', path: '/grant', body: '{}', timeoutMs: 200 }
    assert.is(textOf(await client.call(call)), 'grant')
    await pause(80)
    assert.is(textOf(await client.call({ ...call, path: '/release' })), 'lost')
  })
})

test('call() never returns the second response to the call before it, when that comes in one packet with the first', async () => {
  await withServer((socket, count) => {
    if (count === 1) socket.write(responseText('grant') + responseText('grant'))
  }, async (client, address) => {
    const call = { address, method: 'POST', path: '/grant', body: '{}', timeoutMs: 200 }
    assert.is(textOf(await client.call(call)), 'grant')
    assert.is(textOf(await client.call({ ...call, path: '/release' })), 'lost')
  })
})

// Guards against a grant or release that counts as done because its server responds to the call before it once more, where the next response is expected.
test('call() never returns the second response to the call before it, when that arrives after the next call was sent', async () => {
  await withServer((socket, count) => {
    if (count <= 2) socket.write(responseText('grant'))
  }, async (client, address) => {
    const call = { address, method: 'POST', path: '/grant', body: '{}', timeoutMs: 200 }
    assert.is(textOf(await client.call(call)), 'grant')
    assert.is(textOf(await client.call({ ...call, path: '/release' })), 'lost')
  })
})

// Guards against a part of a response that is taken for all of it: the runtime calls a response without a length complete when its connection is reset.
test('call() returns lost, when a response without a length is reset', async () => {
  await withServer((socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\n[1', () => { setTimeout(() => { resetConnection(socket) }, 30) })
  }, async (client, address) => {
    assert.is(textOf(await client.call({ address, method: 'GET', path: '/', timeoutMs: 200 })), 'lost')
  })
})

test('call() returns lost, when a response without a length is reset at once', async () => {
  await withServer((socket) => {
    socket.write(`HTTP/1.1 200 OK\r\n\r\n${'x'.repeat(300_000)}`, () => { resetConnection(socket) })
  }, async (client, address) => {
    const text = textOf(await client.call({ address, method: 'GET', path: '/', timeoutMs: 200 }))
    assert.is(text.slice(0, 10), 'lost')
  })
})

// Guards against a part of a response that is taken for all of it: only chunks mark the end of a body with a transfer coding.
for (const coding of ['identity', 'gzip', 'chunked, identity']) {
  test(`call() returns lost, when a response with the coding '${coding}' is reset`, async () => {
    await withServer((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n${'x'.repeat(300_000)}`, () => { setTimeout(() => { resetConnection(socket) }, 30) })
    }, async (client, address) => {
      assert.is(textOf(await client.call({ address, method: 'GET', path: '/', timeoutMs: 200 })).slice(0, 10), 'lost')
    })
  })
}

/** Length of a call's body, in bytes: more than the buffers of the connection take while its server does not read. */
const UPLOAD_BYTES = 16_000_000

// Guards against a part of a response that is taken for all of it: its connection ends before the call is written.
for (const delayMs of [0, 30]) {
  for (const headers of ['', 'Transfer-Encoding: identity\r\n', 'Transfer-Encoding: chunked\r\n', 'Content-Length: 20\r\n']) {
    for (const closesFirst of [false, true]) {
      test(`call() returns lost, when a response with ${headers === '' ? 'no length' : headers.trim()} begins before the call is written and is ${closesFirst ? 'closed and then ' : ''}reset after ${delayMs} ms`, async () => {
        await withServer((socket, count) => {
          if (count > 1) return
          socket.pause()
          socket.write(`HTTP/1.1 200 OK\r\n${headers}\r\n${headers.includes('chunked') ? '2\r\n[1\r\n' : '[1'}`, () => {
            if (closesFirst) socket.end()
            setTimeout(() => { resetConnection(socket) }, delayMs)
          })
        }, async (client, address) => {
          assert.is(textOf(await client.call({ address, method: 'POST', path: '/', body: 'x'.repeat(UPLOAD_BYTES), timeoutMs: 2000 })), 'lost')
        })
      })
    }
  }
}

// Guards against a call that is lost although its response is whole.
test('call() returns the response, when its server closes its side before it reads the call', async () => {
  await withServer((socket, count) => {
    if (count > 1) return
    socket.pause()
    socket.end('HTTP/1.1 200 OK\r\n\r\nwhole', () => { setTimeout(() => { socket.resume() }, 50) })
  }, async (client, address) => {
    assert.is(textOf(await client.call({ address, method: 'POST', path: '/', body: 'x'.repeat(UPLOAD_BYTES), timeoutMs: 5000 })), 'whole')
  })
})

// Guards against a call that is lost at its timeout, or bytes that are taken for part of a response without a body.
for (const [headers, body] of [['Content-Length: 5\r\n', ''], ['Content-Length: 5\r\n', 'whole'], ['Transfer-Encoding: chunked\r\n', ''], ['Transfer-Encoding: chunked\r\n', '2\r\nok\r\n0\r\n\r\n']] as const) {
  test(`call() returns a response with status 204 at once, and no bytes behind it as the next one, when it has ${headers.trim()} and ${body.length} bytes behind its head`, async () => {
    await withServer((socket, count) => {
      socket.write(count === 1 ? `HTTP/1.1 204 No Content\r\n${headers}\r\n${body}` : responseText('next'))
    }, async (client, address) => {
      assert.is(textOf(await client.call({ address, method: 'GET', path: '/', timeoutMs: 2000 })), '')
      assert.is(textOf(await client.call({ address, method: 'GET', path: '/', timeoutMs: 2000 })), 'next')
    })
  })
}

test.run()
