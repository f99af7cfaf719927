/** Tests, at the caller's socket, that a head whose status is none of a final response is not taken for a response. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { TEST_HEADER_NAMES } from '../../testing/fake_backend.ts'
import { exchangeRaw, parseResponses } from '../../testing/read_raw_responses.ts'
import { withRawServer } from '../../testing/with_raw_server.ts'

const test = suite('invalid status')

/** Timeout where a response is expected, in milliseconds: the process may be held up. */
const AMPLE_MS = 20_000

/** A body that is buffered, and one that is streamed, in bytes. */
const BODY_BYTES = [2, 900_000]

function headOf (id: string, status: string, headers: string): string {
  return `HTTP/1.1 ${status} X\r\n${TEST_HEADER_NAMES.attemptId}: ${id}\r\n${TEST_HEADER_NAMES.signature}: s\r\n${headers}\r\n`
}

/** Status and further headers of the server; a refusal has to have a valid status as well. */
const HEADS: ReadonlyArray<readonly [status: string, headers: string]> = [
  ...['000', '001', '99', '099', '100', '101', '103', '199', '600', '999', '1000', 'abc', '2x0', ''].map((status) => [status, ''] as const),
  ['101', 'Connection: upgrade\r\nUpgrade: x\r\n'],
  ['000', `${TEST_HEADER_NAMES.notRun}: 1\r\n`],
  ['600', `${TEST_HEADER_NAMES.notRun}: 1\r\n`]
]

for (const [status, headers] of HEADS) {
  for (const isRelayed of [false, true]) {
    // Guards against a success, or a refusal that promises that the request has not run, on a head that is no response: the runtime's parser accepts 000 and 600 to 999, and 101 without an upgrade.
    test(`handle() responds with 502, when a server responds ${isRelayed ? 'through a relay' : 'directly'} with status '${status}'${headers === '' ? '' : ` and ${headers.trim().replace('\r\n', ', ')}`}`, async () => {
      for (const bytes of BODY_BYTES) {
        for (const path of ['/once/x', '/lookups/x']) {
          await withRawServer(({ id, socket }) => { socket.write(`${headOf(id, status, `${headers}Content-Length: ${bytes}\r\n`)}${'x'.repeat(bytes)}`) }, async ({ port }) => {
            const request = `GET ${path} HTTP/1.1\r\nHost: one.example\r\n${TEST_HEADER_NAMES.attemptId}: a1\r\n${TEST_HEADER_NAMES.deadlineMs}: ${AMPLE_MS}\r\n\r\n`
            const [response] = parseResponses(await exchangeRaw(port, request, { timeoutMs: AMPLE_MS, isEnough: (received) => parseResponses({ bytes: received, end: 'open' })[0]?.looksComplete === true }))
            assert.is(response?.status, 502, `${path}, ${bytes} bytes`)
          }, { isRelayed, timeoutMs: AMPLE_MS })
        }
      }
    })
  }
}

for (const isRelayed of [false, true]) {
  // Guards against a request that is held for as long as a server sends interim responses.
  test(`handle() responds with 502, when a server sends interim responses without end ${isRelayed ? 'through a relay' : 'directly'}`, async () => {
    await withRawServer(({ id, socket }) => {
      const timer = setInterval(() => { if (socket.writableLength < 100_000) socket.write(headOf(id, '102', '')) }, 5)
      socket.on('close', () => { clearInterval(timer) })
    }, async ({ port }) => {
      const request = `GET /once/x HTTP/1.1\r\nHost: one.example\r\n${TEST_HEADER_NAMES.attemptId}: a1\r\n${TEST_HEADER_NAMES.deadlineMs}: ${AMPLE_MS}\r\n\r\n`
      const [response] = parseResponses(await exchangeRaw(port, request, { timeoutMs: AMPLE_MS, isEnough: (received) => received.includes('\r\n\r\n') }))
      assert.is(response?.status, 502)
    }, { isRelayed, timeoutMs: AMPLE_MS })
  })
}

test.run()
