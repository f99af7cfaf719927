/** Tests that the clients of servers, other hosts and the platform take no part of a response, and no head that is none, for a response. */
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createPeerClient } from '../edge/mod.ts'
import { resetConnection } from '../http_call/mod.ts'
import { createPlatformClient } from '../platform_client/mod.ts'
import { createBackendClient } from './backend_client.ts'
import type { RequestBody } from './dispatch_types.ts'

const test = suite('responses to clients with pools')

/** Timeout where a response is expected, in milliseconds: the process may be held up. */
const AMPLE_MS = 20_000

/** Length of an upload, in bytes: more than the buffers of the connection take while its server does not read. */
const UPLOAD_BYTES = 16_000_000

const BODY_BYTES = 100_000

/** What a client makes of a response: the length of a body that looks complete, or the kind of its failure. */
type Outcome = string | number

/** Calls the address with a client. */
type ClientCall = (address: string, body: RequestBody) => Promise<Outcome>

async function readBody (body: AsyncIterable<Uint8Array>): Promise<Outcome> {
  let bytes = 0
  try {
    for await (const part of body) bytes += part.length
  } catch {
    return 'broken off'
  }
  return bytes
}

const CLIENTS: Readonly<Record<string, ClientCall>> = {
  'send() of the client of servers': async (address, body) => {
    const client = createBackendClient()
    const outcome = await client.send({ address, method: 'POST', path: '/', headers: {}, body, signal: AbortSignal.timeout(AMPLE_MS) })
    const result = outcome.kind === 'answered' ? await readBody(outcome.body) : `${outcome.kind}${outcome.kind === 'lost' && outcome.aborted ? ' late' : ''}`
    await client.close()
    return result
  },
  'dispatch() of the client of hosts': async (address, body) => {
    const client = createPeerClient({ secret: 's', now: () => performance.now() })
    const outcome = await client.dispatch(address, { id: 'r1', service: 'orders', slice: null, method: 'POST', path: '/', headers: {}, body, deadline: performance.now() + AMPLE_MS, isIdempotent: false, claimKey: null, signal: new AbortController().signal })
    const result = outcome.kind === 'answer' ? await readBody(outcome.body) : `${outcome.kind}, ${outcome.reason}`
    await client.close()
    return result
  },
  'get() of the client of the platform': async (address) => {
    const client = createPlatformClient({ url: `http://${address}`, timeoutMs: AMPLE_MS })
    const object = await client.objects.get('x')
    await client.close()
    return object.ok ? object.value.length : object.error.kind
  }
}

/** Kinds of failure after which there is no response, and the request may have run. */
const FAILURES: readonly Outcome[] = ['lost', 'unknown, peer-lost', 'unavailable', 'broken off']

function headOf (headers: string, status = '200'): string {
  return `HTTP/1.1 ${status} X\r\ngooseberryfold-outcome: answer\r\ngooseberryfold-server: s1\r\n${headers}\r\n`
}

async function withServer (respond: (socket: Socket) => void, run: (address: string) => Promise<void>): Promise<void> {
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('data', () => { respond(socket) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  try {
    await run(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  } finally {
    for (const socket of sockets) socket.destroy()
    server.close()
  }
}

for (const [name, call] of Object.entries(CLIENTS)) {
  for (const headers of ['', 'Transfer-Encoding: identity\r\n', 'Transfer-Encoding: chunked\r\n', 'Content-Length: 200000\r\n']) {
    for (const delayMs of [0, 60]) {
      for (const uploadBytes of name.startsWith('get()') ? [0] : [0, UPLOAD_BYTES]) {
        // Guards against a part of a body that looks complete: the pool does not distinguish a reset from the end of a body without a length or chunks.
        test(`${name} takes no part of a body for all of it, when a response with ${headers === '' ? 'no length' : headers.trim()} is reset after ${delayMs} ms and ${uploadBytes} bytes are uploaded`, async () => {
          await withServer((socket) => {
            socket.pause()
            const body = 'x'.repeat(BODY_BYTES)
            socket.write(`${headOf(headers)}${headers.includes('chunked') ? `${BODY_BYTES.toString(16)}\r\n${body}\r\n` : body}`, () => {
              if (delayMs === 0) resetConnection(socket)
              else setTimeout(() => { resetConnection(socket) }, delayMs)
            })
          }, async (address) => {
            const outcome = await call(address, Buffer.alloc(uploadBytes, 'x'))
            assert.ok(FAILURES.includes(outcome), `outcome ${outcome}`)
          })
        })
      }
    }
  }

  // Guards against a head that is taken for a response, although it is none.
  for (const status of ['000', '001', '99', '099', '100', '101', '103', '199', '600', '999', '1000', 'abc', '']) {
    test(`${name} reports a failure, when the status is '${status}'`, async () => {
      await withServer((socket) => { socket.write(`${headOf('Content-Length: 2\r\n', status)}ok`) }, async (address) => {
        const outcome = await call(address, null)
        assert.ok(FAILURES.includes(outcome), `outcome ${outcome}`)
      })
    })
  }

  // Guards against a call that is held for as long as a server sends interim responses.
  test(`${name} reports a failure, when interim responses never end`, async () => {
    await withServer((socket) => {
      const timer = setInterval(() => { if (socket.writableLength < 100_000) socket.write(headOf('', '102')) }, 2)
      socket.on('close', () => { clearInterval(timer) })
    }, async (address) => {
      const outcome = await call(address, null)
      assert.ok(FAILURES.includes(outcome), `outcome ${outcome}`)
    })
  })

  // Guards against whole responses that are refused.
  for (const [headers, body] of [['Content-Length: 2\r\n', 'ok'], ['Transfer-Encoding: chunked\r\n', '2\r\nok\r\n0\r\n\r\n']] as const) {
    test(`${name} passes on the body, when it is whole and has ${headers.trim()}`, async () => {
      await withServer((socket) => { socket.write(`${headOf('', '103')}${headOf(headers)}${body}`) }, async (address) => {
        assert.is(await call(address, null), 2)
      })
    })
  }
}

// Guards against a request that is not sent again although its server has not run it: the body of a refusal is not used.
test('send() returns the refusal of a server, when it has no length', async () => {
  await withServer((socket) => { socket.end('HTTP/1.1 503 X\r\ngooseberryfold-outcome: not-run\r\ngooseberryfold-reason: shedding\r\n\r\n') }, async (address) => {
    const client = createBackendClient()
    const outcome = await client.send({ address, method: 'POST', path: '/', headers: {}, body: null, signal: AbortSignal.timeout(AMPLE_MS) })
    assert.is(outcome.kind === 'answered' && outcome.status, 503)
    await client.close()
  })
})

/** Sends a probe, which a server answers with its state of health. */
async function probe (address: string): Promise<string> {
  const client = createBackendClient()
  const outcome = await client.grant({ server: 's1', address, checksGrants: false, sentAt: 0, request: { token: 1, slices: [], retired: [], boot: '', basis: 0, duration: 0 } } as unknown as Parameters<typeof client.grant>[0])
  await client.close()
  return outcome.kind
}

// Guards against a server that counts as healthy on a head that is none, and against one that counts as silent because its response, whose body is not used, has no length.
test('grant() returns answered for a probe, when the status is valid and the response has no length, and no answer, when the status is invalid', async () => {
  for (const [status, kind] of [['200', 'answered'], ['000', 'no-answer'], ['600', 'no-answer'], ['101', 'no-answer']] as const) {
    await withServer((socket) => { socket.end(`${headOf('', status)}ok`) }, async (address) => { assert.is(await probe(address), kind, status) })
  }
})

test.run()
