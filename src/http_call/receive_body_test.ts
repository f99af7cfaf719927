/** Tests of receiving bodies whose parts come in any length, and whose receiver pauses. */
import { createServer, request as startRequest } from 'node:http'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createReadTurns } from './read_turns.ts'
import { receiveBody, type ReceivedBodyEnding } from './receive_body.ts'

const test = suite('receiveBody')

interface Received { readonly text: string, readonly ending: ReceivedBodyEnding, readonly parts: number, readonly turns: number }

/** Receives a body that a server sends in the given chunks; the receiver pauses after each part, if `pauses`. */
async function receive (chunks: readonly string[], pauses: boolean): Promise<Received> {
  const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
  const server = createServer((request) => { request.socket.end(head + chunks.map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('') + '0\r\n\r\n') })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  try {
    return await new Promise((resolve, reject) => {
      const { port } = server.address() as AddressInfo
      const request = startRequest({ port, host: '127.0.0.1', agent: false })
      let [text, parts, turns] = ['', 0, 0]
      const readTurns = createReadTurns({
        schedule: (callback) => {
          turns++
          setImmediate(callback)
        }
      })
      request.on('error', reject)
      request.on('response', (response) => {
        const body = receiveBody(response, {
          request,
          turns: readTurns,
          onPart (part) {
            text += part.toString()
            parts++
            if (!pauses) return
            body.pause()
            setTimeout(body.resume, 1)
          }
        })
        body.ending.then((ending) => { resolve({ text, ending, parts, turns }) }, reject)
      })
      request.end()
    })
  } finally {
    server.close()
  }
}

const CHUNKS = Array.from({ length: 40_000 }, (_, index) => index % 400 === 0 ? `[${index}]`.padEnd(3000, '.') : String(index % 10))

for (const pauses of [false, true]) {
  // Guards against parts that are lost or overtaken by others, while some are kept to be passed on together.
  test(`receiveBody() passes on every byte in order and then the end, when parts are short and long and the receiver ${pauses ? 'pauses' : 'does not pause'}`, async () => {
    const { text, ending } = await receive(CHUNKS, pauses)
    assert.ok(text === CHUNKS.join(''), `${text.length} bytes`)
    assert.is(ending.kind, 'whole')
  })
}

// Guards against one object for each byte of a body, and against a connection that takes the whole processor.
test('receiveBody() passes on what was read together as one part and waits for its turns, when chunks have one byte', async () => {
  const { text, parts, turns } = await receive(Array.from({ length: 200_000 }, () => 'x'), false)
  assert.is(text.length, 200_000)
  // A read has 64 KB at most, in which there are some 10,000 chunks.
  assert.ok(parts < 100, `${parts} parts`)
  assert.ok(turns >= 10, `${turns} turns`)
})

test.run()
