/** Tests of responses without a body, which end with their head. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { TEST_HEADER_NAMES } from '../../testing/fake_backend.ts'
import { exchangeRaw, parseResponses } from '../../testing/read_raw_responses.ts'
import { withRawServer } from '../../testing/with_raw_server.ts'

const test = suite('bodiless responses')

/** Method, and the status line and length of the response. */
const RESPONSES = [
  ['POST', '204 No Content', ''],
  ['POST', '204 No Content', 'Content-Length: 0\r\n'],
  ['GET', '204 No Content', 'Content-Length: 5\r\n'],
  ['GET', '204 No Content', 'Transfer-Encoding: chunked\r\n'],
  ['GET', '304 Not Modified', ''],
  ['GET', '304 Not Modified', 'Content-Length: 5000\r\n'],
  ['HEAD', '200 OK', ''],
  ['HEAD', '200 OK', 'Content-Length: 5000\r\n'],
  ['HEAD', '200 OK', 'Transfer-Encoding: chunked\r\n']
] as const

for (const isRelayed of [false, true]) {
  for (const [method, status, length] of RESPONSES) {
    // Guards against a response that is held until its connection to the server closes, and then lost at the timeout: a response without a body was taken for one that ends with its connection.
    test(`handle() passes on ${status} to ${method} at once and keeps the caller's connection, when it is sent ${length === '' ? 'without a length' : `with ${length.trim()}`} ${isRelayed ? 'through a relay' : 'directly'}`, async () => {
      const sockets = new Set()
      await withRawServer(({ id, socket }) => {
        sockets.add(socket)
        socket.write(`HTTP/1.1 ${status}\r\n${TEST_HEADER_NAMES.attemptId}: ${id}\r\n${TEST_HEADER_NAMES.signature}: s\r\nKeep-Alive: timeout=10\r\n${length}\r\n`)
      }, async ({ port, records }) => {
        const request = (id: string): string => `${method} /once/x HTTP/1.1\r\nHost: one.example\r\n${TEST_HEADER_NAMES.attemptId}: ${id}\r\n${TEST_HEADER_NAMES.deadlineMs}: 2500\r\n${method === 'POST' ? 'Content-Length: 0\r\n' : ''}\r\n`
        const methods = [method, method]
        const startedAt = performance.now()
        const first = parseResponses(await exchangeRaw(port, request('a1'), { timeoutMs: 1500, isEnough: (bytes) => bytes.includes('\r\n\r\n') }), methods)
        assert.is(first[0]?.status, Number(status.slice(0, 3)))
        assert.ok(performance.now() - startedAt < 300, `${performance.now() - startedAt} ms`)
        assert.is(records[0]?.responseBody?.framing, 'none')
        // Two responses on one connection: nothing of the first is left for the second.
        const both = await exchangeRaw(port, request('a2') + request('a3'), { timeoutMs: 1500, isEnough: (bytes) => parseResponses({ bytes, end: 'open' }, methods).length === 2 })
        assert.equal(parseResponses(both, methods).map((response) => response.headers.get(TEST_HEADER_NAMES.attemptId)), ['a2', 'a3'])
        // The runtime keeps no connection after a response to HEAD without a length, and the host none on which a body was stated that does not come.
        if ((method !== 'HEAD' || length !== '') && (!status.startsWith('204') || length === '' || length.includes(': 0'))) assert.ok(sockets.size <= 2, `${sockets.size} connections to the server`)
      }, { isRelayed })
    })
  }
}

test.run()
