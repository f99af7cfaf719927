/** Tests, at the caller's socket, that a response which breaks off never looks complete. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Readable } from 'node:stream'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { exchangeRaw, parseResponses } from '../../testing/read_raw_responses.ts'
import { forwardResponse } from './_write_outcome.ts'

const test = suite('forwardResponse')

const BODY_BYTES = 100_000

/** A body that breaks off after some of its bytes. */
async function * breakOff (): AsyncGenerator<Buffer> {
  yield Buffer.alloc(BODY_BYTES, 'x')
  await new Promise((resolve) => { setTimeout(resolve, 50) })
  throw new Error('The connection was reset')
}

for (const version of ['1.1', '1.0']) {
  for (const headers of [{}, { 'content-length': '200000' }]) {
    for (const connection of ['close', 'keep-alive']) {
      // Guards against a part of a body that looks complete: callers of HTTP/1.0 get no chunks, so that an orderly close is its end.
      test(`forwardResponse() passes on no part of a body as complete, when a body ${'content-length' in headers ? 'with a length' : 'in chunks'} breaks off, to a caller of HTTP/${version} with Connection: ${connection}`, async () => {
        const server = createServer((_request, response) => {
          forwardResponse(response, { kind: 'answer', status: 200, headers, body: Readable.from(breakOff()), server: 's1', dispatcher: 'h1' }, {})
        })
        await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
        const received = await exchangeRaw((server.address() as AddressInfo).port, `GET / HTTP/${version}\r\nHost: h\r\nConnection: ${connection}\r\n\r\n`, { timeoutMs: 20_000 })
        server.closeAllConnections()
        server.close()
        const [response] = parseResponses(received)
        assert.not.ok(response?.looksComplete, `a complete response with ${response?.body.length ?? 0} bytes, framing ${response?.framing ?? ''}`)
        assert.is.not(received.end, 'open')
      })
    }
  }
}

test.run()
