/** Tests, at the caller's socket, of responses that begin while their request is still being uploaded. */
import type { Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { resetConnection } from '../http_call/mod.ts'
import { TEST_HEADER_NAMES } from '../../testing/fake_backend.ts'
import { exchangeRaw, parseResponses, type RawResponse } from '../../testing/read_raw_responses.ts'
import { withRawServer } from '../../testing/with_raw_server.ts'

const test = suite('early responses')

/** Timeout where a response is expected, in milliseconds: the process may be held up. */
const AMPLE_MS = 20_000

/** Length of an upload, in bytes: more than the buffers of the connections take while its server does not read. */
const UPLOAD_BYTES = 16_000_000

const UPLOAD = Buffer.alloc(UPLOAD_BYTES, 'x')

/** Bytes of the body that a server sends before it resets the connection: fewer than a host buffers, and more. */
const PART_BYTES = [2, 100_000, 900_000]

function headOf (id: string, headers: string): string {
  return `HTTP/1.1 200 OK\r\n${TEST_HEADER_NAMES.attemptId}: ${id}\r\n${TEST_HEADER_NAMES.signature}: s\r\n${headers}\r\n`
}

/** How a server ends its response, of which a part has been written. */
const RESETS: Readonly<Record<string, (socket: Socket) => void>> = {
  'resets the connection at once': resetConnection,
  'resets the connection after 60 ms': (socket) => { setTimeout(() => { resetConnection(socket) }, 60) },
  'resets the connection after it has read some of the upload': (socket) => {
    socket.resume()
    setTimeout(() => { resetConnection(socket) }, 5)
  },
  'closes its side and then resets the connection': (socket) => {
    socket.end()
    setTimeout(() => { resetConnection(socket) }, 60)
  }
}

async function upload (port: number, version: string): Promise<RawResponse | undefined> {
  const head = `POST /once/x HTTP/${version}\r\nHost: one.example\r\n${TEST_HEADER_NAMES.attemptId}: a1\r\n${TEST_HEADER_NAMES.deadlineMs}: ${AMPLE_MS}\r\nContent-Length: ${UPLOAD_BYTES}\r\n\r\n`
  const isEnough = (bytes: Buffer): boolean => parseResponses({ bytes, end: 'open' })[0]?.looksComplete === true
  return parseResponses(await exchangeRaw(port, Buffer.concat([Buffer.from(head), UPLOAD]), { timeoutMs: AMPLE_MS, isEnough }))[0]
}

for (const isRelayed of [false, true]) {
  const way = isRelayed ? 'through a relay' : 'directly'
  for (const [resetName, reset] of Object.entries(RESETS)) {
    for (const headers of ['', 'Transfer-Encoding: identity\r\n', 'Transfer-Encoding: chunked\r\n', 'Content-Length: 2000000\r\n']) {
      // Guards against a part of a body that looks complete: the connection ends before the upload is written, and the runtime calls the response complete.
      test(`handle() passes on no part of a body as complete, when a server responds ${way} before the upload with ${headers === '' ? 'no length' : headers.trim()} and ${resetName}`, async () => {
        await Promise.all([...PART_BYTES.map((bytes) => [bytes, '1.1'] as const), [900_000, '1.0'] as const].map(async ([bytes, version]) => {
          await withRawServer(({ id, socket }) => {
            socket.pause()
            const body = 'x'.repeat(bytes)
            socket.write(`${headOf(id, headers)}${headers.includes('chunked') ? `${bytes.toString(16)}\r\n${body}\r\n` : body}`, () => { reset(socket) })
          }, async ({ port }) => {
            const response = await upload(port, version)
            assert.not.ok(response?.status === 200 && response.looksComplete, `a complete 200 with ${response?.body.length ?? 0} bytes, framing ${response?.framing ?? ''}, HTTP/${version}`)
            assert.is.not(response?.status, 503)
          }, { isRelayed, timeoutMs: AMPLE_MS })
        }))
      })
    }
  }

  for (const bytes of PART_BYTES) {
    // Guards against a whole response that is lost because its server has closed its side before it has read the upload.
    test(`handle() passes on the whole body, when a server responds ${way} with ${bytes} bytes and closes its side before it reads the upload`, async () => {
      await withRawServer(({ id, socket }) => {
        socket.pause()
        socket.end(`${headOf(id, 'Connection: close\r\n')}${'x'.repeat(bytes)}`, () => { setTimeout(() => { socket.resume() }, 100) })
      }, async ({ port }) => {
        const response = await upload(port, '1.1')
        assert.is(`${response?.status} ${response?.body.length}`, `200 ${bytes}`)
        assert.ok(response?.looksComplete)
      }, { isRelayed, timeoutMs: AMPLE_MS })
    })
  }
}

test.run()
