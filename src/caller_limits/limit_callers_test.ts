/** Tests of a listener with limits, in the test's process: what callers inside the limits still get, and what ends the others. */
import { type AddressInfo, connect, type Socket } from 'node:net'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createCallerServer } from '../gateway/caller_server.ts'
import { createCallerAccount } from './caller_account.ts'
import { connectionOf } from './connection_of.ts'
import { MAXIMUM_OPEN_REQUESTS } from './default_limits.ts'

const test = suite('limitCallers')

const HEAD_MS = 600
const IDLE_MS = 2500
const GET = 'GET /1 HTTP/1.1\r\nHost: x\r\n\r\n'

async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

interface Listener {
  readonly account: ReturnType<typeof createCallerAccount>
  /** Opens a connection and passes it to `write`; resolves with what it has received once it is closed, or after a time in milliseconds. */
  exchange (write: (socket: Socket) => void, untilMs?: number): Promise<{ readonly text: string, readonly isOpen: boolean }>
  /** Stops to accept connections, and closes idle ones. */
  stop (): void
}

async function withListener (handle: (request: IncomingMessage, response: ServerResponse) => void, run: (listener: Listener) => Promise<void>): Promise<void> {
  const account = createCallerAccount({ capacityBytes: 32 * 1024 * 1024 })
  const server = createCallerServer({ limits: { headerBytes: 16384, bodyBytes: 1_000_000, headerTimeoutMs: HEAD_MS, idleTimeoutMs: IDLE_MS - 1000 }, maximumConnections: 100, account, handle: async (request, response) => { handle(request, response) }, onError: () => {} })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  try {
    await run({
      account,
      stop () { server.close() },
      exchange: (write, untilMs = 6000) => new Promise((resolve) => {
        const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
        let text = ''
        let isOpen = true
        const timer = setTimeout(() => { socket.destroy() }, untilMs)
        socket.on('data', (data) => { text += data.toString('latin1') }).on('error', () => {}).on('end', () => { isOpen = false })
        socket.on('close', (hadError) => {
          clearTimeout(timer)
          resolve({ text, isOpen: isOpen && !hadError })
        })
        write(socket)
      })
    })
  } finally {
    server.closeAllConnections()
    server.close()
  }
}

function answer (request: IncomingMessage, response: ServerResponse): void {
  request.resume().on('end', () => { response.end('ok') })
}

function countResponses (text: string): number {
  return text.split('HTTP/1.1 200').length - 1
}

// Guards against requests that are read as fast as they arrive: each costs far more than its bytes.
test('a connection has a bounded number of open requests, and all are answered in the end, when 2,000 are sent ahead', async () => {
  let open = 0
  let peak = 0
  await withListener((_request, response) => {
    peak = Math.max(peak, ++open)
    setTimeout(() => { open--; response.end('ok') }, 20)
  }, async ({ exchange, account }) => {
    const { text } = await exchange((socket) => { socket.write(GET.repeat(2000)) }, 3000)
    assert.is(countResponses(text), 2000)
    assert.ok(peak > 64 && peak < MAXIMUM_OPEN_REQUESTS + 64, `${peak} requests were open`)
    await pause(50)
    assert.is(account.describe().heldBytes, 0)
  })
})

// Guards against the runtime's check of heads, which also closes new connections, and against line ends behind a body taken for a head.
test('a connection is served, when it is idle for longer than a head may take, before and after its first request', async () => {
  await withListener(answer, async ({ exchange }) => {
    const { text, isOpen } = await exchange((socket) => {
      setTimeout(() => { socket.write('POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n\r\n') }, 2 * HEAD_MS)
      setTimeout(() => { socket.write(GET) }, 4 * HEAD_MS)
    }, 5 * HEAD_MS)
    assert.equal([countResponses(text), isOpen], [2, true])
  })
})

const ENDLESS: ReadonlyArray<readonly [string, RegExp, (socket: Socket) => void]> = [
  ['a head comes a byte at a time', /^HTTP\/1\.1 408 /, (socket) => {
    socket.write('GET /1 HTTP/1.1\r\nHost: x\r\nA: ')
    const timer = setInterval(() => { if (socket.destroyed || socket.writableEnded) clearInterval(timer); else socket.write('a') }, 50)
    socket.on('end', () => { clearInterval(timer); socket.end() })
  }],
  ['a stated length never comes', /^$/, (socket) => { socket.write('POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n1') }],
  ['a body is announced with Expect and never comes', /^HTTP\/1\.1 100 Continue\r\n\r\n$/, (socket) => { socket.write('POST /1 HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n') }],
  ['a trailer has no end', /^(HTTP\/1\.1 4\d\d .*)?$/s, (socket) => { socket.write(`POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n${'a:b\r\n'.repeat(5000)}`) }],
  ['a chunk extension has no end', /^(HTTP\/1\.1 4\d\d .*)?$/s, (socket) => { socket.write(`POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;${'a=b;'.repeat(5000)}`) }],
  ['nothing comes', /^$/, () => {}]
]
for (const [name, expected, write] of ENDLESS) {
  test(`a connection is closed and holds nothing any more, when ${name}`, async () => {
    await withListener(answer, async ({ exchange, account }) => {
      const { text, isOpen } = await exchange(write)
      assert.match(text, expected)
      assert.not.ok(isOpen)
      await pause(50)
      assert.is(account.describe().heldBytes, 0)
    })
  })
}

// Guards against responses that are lost: those behind a response that closes the connection are not sent.
test('only the response to the last request that was read closes the connection, and all are delivered, when the host stops', async () => {
  await withListener((request, response) => {
    setTimeout(() => {
      if (connectionOf(request).endAfterLast(request)) response.setHeader('Connection', 'close')
      response.end('ok')
    }, 50)
  }, async ({ exchange }) => {
    const { text, isOpen } = await exchange((socket) => {
      socket.write(GET.repeat(3))
      setTimeout(() => { socket.write(GET) }, 100)
    })
    assert.equal([countResponses(text), text.split('Connection: close').length - 1, isOpen], [3, 1, false])
    assert.ok(text.indexOf('Connection: close') > text.lastIndexOf('HTTP/1.1 200'))
  })
})

/** Length of an answer that the network keeps for a caller that does not read, in bytes. */
const LONG_ANSWER_BYTES = 1024 * 1024

/** Sends a request and then, before it reads anything, whatever `writeFurther` does; resolves with the text that it reads in the end. */
async function readLate (exchange: Listener['exchange'], writeFurther: (socket: Socket) => void): Promise<string> {
  const { text } = await exchange((socket) => {
    socket.write(GET)
    socket.pause()
    setTimeout(() => { writeFurther(socket) }, 300)
    setTimeout(() => { socket.resume() }, 800)
  })
  return text
}

// Guards against answers that are lost: a connection that is closed while bytes of its caller are unread is reset.
test('a caller gets the whole last response, when it has sent further requests and reads slowly', async () => {
  await withListener((request, response) => {
    connectionOf(request).endAfterLast(request)
    response.writeHead(200, { Connection: 'close', 'Content-Length': LONG_ANSWER_BYTES }).end(Buffer.alloc(LONG_ANSWER_BYTES, 'a'))
  }, async ({ exchange }) => {
    const text = await readLate(exchange, (socket) => { socket.write(GET.repeat(20)) })
    assert.is(text.length - text.indexOf('\r\n\r\n') - 4, LONG_ANSWER_BYTES)
    assert.is(countResponses(text), 1)
  })
})

// The response has been handed to the network, which then knows more of it than the runtime: the connection counts as idle.
test('a caller gets the whole response on an idle connection, when the host stops and the caller sends another request', async () => {
  await withListener((_request, response) => { response.writeHead(200, { 'Content-Length': LONG_ANSWER_BYTES }).end(Buffer.alloc(LONG_ANSWER_BYTES, 'a')) }, async ({ exchange, stop }) => {
    const text = await readLate(exchange, (socket) => {
      stop()
      setTimeout(() => { socket.write(GET) }, 100)
    })
    assert.is(text.length - text.indexOf('\r\n\r\n') - 4, LONG_ANSWER_BYTES)
  })
})

for (const [name, head] of [['a body is refused', 'POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n'], ['a head is too long', `GET /1 HTTP/1.1\r\nHost: x\r\nA: ${'a'.repeat(20_000)}`]] as const) {
  // Guards against a refusal that is lost with what was sent behind it.
  test(`a caller gets a refusal, when ${name} and it goes on sending`, async () => {
    await withListener((request, response) => {
      connectionOf(request).endAfterLast(request)
      response.writeHead(413, { Connection: 'close', 'Content-Length': 0 }).end()
    }, async ({ exchange }) => {
      const { text } = await exchange((socket) => {
        socket.pause()
        socket.write(head + 'a'.repeat(1_000_000))
        setTimeout(() => { socket.write('a'.repeat(500_000)) }, 200)
        setTimeout(() => { socket.resume() }, 500)
      })
      assert.match(text, /^HTTP\/1\.1 4(13|31) /)
    })
  })
}

// Guards against callers that hold a connection for nothing: what is read after a refusal is bounded.
test('a connection is closed, when its caller sends without end behind the last response', async () => {
  await withListener((request, response) => {
    connectionOf(request).endAfterLast(request)
    response.writeHead(413, { Connection: 'close', 'Content-Length': 0 }).end()
  }, async ({ exchange, account }) => {
    const startedAt = performance.now()
    let sent = 0
    await exchange((socket) => {
      socket.write('POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n\r\n')
      const send = (): void => {
        sent += 64 * 1024
        if (!socket.destroyed) socket.write(Buffer.alloc(64 * 1024), () => { setImmediate(send) })
      }
      send()
      // The end of the response is no reason for this caller to stop.
      socket.end = () => socket
    })
    assert.ok(performance.now() - startedAt < 3000)
    assert.ok(sent < 16 * 1024 * 1024, `${sent} bytes`)
    await pause(50)
    assert.is(account.describe().connections, 0)
  })
})

test.run()
