/** Tests, at the caller's socket, that only the whole body of a server looks complete, however the server marks its end and whatever ends it. */
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RelayHeader, RelayRefusal } from '../gateway/mod.ts'
import { resetConnection } from '../http_call/mod.ts'
import { TEST_HEADER_NAMES } from '../../testing/fake_backend.ts'
import { exchangeRaw, parseResponses, type RawResponse } from '../../testing/read_raw_responses.ts'
import { withRawServer, type RawServerSetup } from '../../testing/with_raw_server.ts'

const test = suite('incomplete bodies')

type Framing = 'length' | 'chunks' | 'connection-end'

/** A shorter and a longer body than a host buffers, and how much of it is sent before the end that a case is about; in bytes. */
const SIZES = {
  short: { bytes: 96 * 1024, sentBytes: 64 * 1024, streamsAll: false },
  'short but streamed': { bytes: 96 * 1024, sentBytes: 64 * 1024, streamsAll: true },
  long: { bytes: 1024 * 1024, sentBytes: 768 * 1024, streamsAll: false }
} as const

const CHUNK_BYTES = 64 * 1024

/** Timeout of the route, in milliseconds. */
const ROUTE_TIMEOUT_MS = 500

/** Timeout where a response is expected, in milliseconds: the process may be held up. */
const AMPLE_MS = 20_000

/** Cases that run at once: each has hosts of its own. */
const CASES_AT_ONCE = 12

function bodyOf (id: string, bytes: number): Buffer {
  return Buffer.alloc(bytes, `${id}.`)
}

function headOf (id: string, framing: Framing, bytes: number): string {
  const marks = { length: `Content-Length: ${bytes}\r\n`, chunks: 'Transfer-Encoding: chunked\r\n', 'connection-end': 'Connection: close\r\n' }
  return `HTTP/1.1 200 OK\r\n${TEST_HEADER_NAMES.attemptId}: ${id}\r\n${TEST_HEADER_NAMES.signature}: s\r\n${marks[framing]}\r\n`
}

function chunksOf (body: Buffer): Buffer[] {
  const chunks: Buffer[] = []
  for (let from = 0; from < body.length; from += CHUNK_BYTES) {
    const part = body.subarray(from, from + CHUNK_BYTES)
    chunks.push(Buffer.concat([Buffer.from(`${part.length.toString(16)}\r\n`), part, Buffer.from('\r\n')]))
  }
  return chunks
}

/** Bytes of a response, of which `sentBytes` of the body are sent. */
function responseBytes (id: string, framing: Framing, { bytes, sentBytes = bytes }: { readonly bytes: number, readonly sentBytes?: number }): Buffer {
  const sent = bodyOf(id, bytes).subarray(0, sentBytes)
  const parts = framing === 'chunks' ? [...chunksOf(sent), Buffer.from(sentBytes === bytes ? '0\r\n\r\n' : '')] : [sent]
  return Buffer.concat([Buffer.from(headOf(id, framing, bytes)), ...parts])
}

function requestText (id: string, { version = '1.1', path = '/once/x', method = 'GET', deadlineMs = 2500 } = {}): string {
  return `${method} ${path} HTTP/${version}\r\nHost: one.example\r\n${TEST_HEADER_NAMES.attemptId}: ${id}\r\n${TEST_HEADER_NAMES.deadlineMs}: ${deadlineMs}\r\n\r\n`
}

/** Writes bytes and resets the connection once they have been received. */
function writeAndReset (socket: Socket, bytes: Buffer): void {
  socket.write(bytes, () => { setTimeout(() => { resetConnection(socket) }, 60) })
}

/** What ends a body; `isWhole` if the server has sent all of it. */
interface Ending {
  readonly isWhole?: boolean
  /** Only for requests that are relayed. */
  readonly relayedOnly?: boolean
  /** Time for which the caller does not read, in milliseconds. */
  readonly pauseMs?: number
  readonly send: (socket: Socket, bytes: Buffer) => void
  /** What happens when half of the bytes are on their way. */
  readonly act?: (setup: RawServerSetup) => void
}

const ENDINGS: Readonly<Record<string, Ending>> = {
  'it is whole': { isWhole: true, send: (socket, bytes) => { socket.write(bytes, () => { if (!/\r\n(Content-Length|Transfer)/.test(bytes.toString('latin1', 0, 300))) socket.end() }) } },
  'the server resets the connection': { send: writeAndReset },
  'the server resets the connection at once': { send: (socket, bytes) => { socket.write(bytes, () => { resetConnection(socket) }) } },
  'the server closes the connection early': { send: (socket, bytes) => { socket.end(bytes) } },
  'the server falls silent': { send: (socket, bytes) => { socket.write(bytes) } },
  'the host ends it for want of memory': { send: (socket, bytes) => { socket.write(bytes) }, act: (setup) => { setup.endResponses() } },
  'the relay is killed': { relayedOnly: true, send: (socket, bytes) => { socket.write(bytes) }, act: (setup) => { setup.killRelay() } },
  'the caller reads only after the timeout': { isWhole: true, pauseMs: ROUTE_TIMEOUT_MS + 150, send: (socket, bytes) => { socket.write(bytes, () => { if (!/\r\n(Content-Length|Transfer)/.test(bytes.toString('latin1', 0, 300))) socket.end() }) } }
}

/** Whether the first response needs no more bytes. */
function hasWholeResponse (bytes: Buffer): boolean {
  return parseResponses({ bytes, end: 'open' })[0]?.looksComplete === true
}

/** Asserts that a response is whole, or shows its caller that it is not. */
function assertNeverTruncated (response: RawResponse | undefined, { whole, name }: { readonly whole: Buffer, readonly name: string }): void {
  if (response?.status !== 200 || !response.looksComplete) return
  assert.ok(response.body.equals(whole), `${name}: a complete 200 with ${response.body.length} of ${whole.length} bytes, framing ${response.framing}`)
}

async function runAll (cases: ReadonlyArray<() => Promise<void>>): Promise<void> {
  const failures: string[] = []
  for (let from = 0; from < cases.length; from += CASES_AT_ONCE) {
    const results = await Promise.allSettled(cases.slice(from, from + CASES_AT_ONCE).map(async (run) => { await run() }))
    for (const result of results) if (result.status === 'rejected') failures.push(result.reason instanceof Error ? result.reason.message : String(result.reason))
  }
  assert.equal(failures, [])
}

for (const framing of ['length', 'chunks', 'connection-end'] as const) {
  for (const [endingName, ending] of Object.entries(ENDINGS)) {
    // Guards against a success that looks complete but is not the server's whole body: the end of a connection, or of a body that the host itself cuts, was taken for the end of the body.
    test(`handle() passes on no truncated body as complete, when its end is marked by ${framing} and ${endingName}`, async () => {
      const cases: Array<() => Promise<void>> = []
      for (const [sizeName, size] of Object.entries(SIZES)) {
        for (const isRelayed of ending.relayedOnly === true ? [true] : [false, true]) {
          for (const version of ['1.1', '1.0']) {
            cases.push(async () => {
              const name = `${framing}, ${endingName}, ${sizeName}, ${isRelayed ? 'relayed' : 'direct'}, HTTP/${version}`
              const whole = bodyOf('a1', size.bytes)
              const isServed = endingName === 'it is whole'
              await withRawServer(({ id, socket }) => {
                ending.send(socket, responseBytes(id, framing, ending.isWhole === true ? { bytes: size.bytes } : size))
              }, async (setup) => {
                if (ending.act !== undefined) setTimeout(() => { ending.act?.(setup) }, 150)
                const received = await exchangeRaw(setup.port, requestText('a1', { version, ...(isServed ? { deadlineMs: AMPLE_MS } : {}) }), { timeoutMs: isServed ? AMPLE_MS : 1500, ...(ending.pauseMs === undefined ? {} : { pauseMs: ending.pauseMs }), isEnough: hasWholeResponse })
                const [response] = parseResponses(received)
                if (isServed) {
                  assert.is(response?.status, 200, name)
                  if (framing === 'connection-end') assert.is(response?.framing, framing, name)
                  assert.ok(response?.looksComplete === true && response.body.equals(whole), `${name}: ${response?.body.length ?? 0} bytes, complete ${String(response?.looksComplete)}`)
                }
                // An orderly close may be the end of such a body: the caller gets no other mark of its end than the host has.
                if (framing === 'connection-end' && endingName === 'the server closes the connection early') {
                  assert.is(response?.framing, 'connection-end', name)
                } else assertNeverTruncated(response, { whole, name })
                assert.not.ok([...response?.headers.keys() ?? []].some((header) => header.startsWith('x-gooseberryfold')), name)
              }, { isRelayed, streamsAll: size.streamsAll, timeoutMs: isServed ? AMPLE_MS : ROUTE_TIMEOUT_MS })
            })
          }
        }
      }
      await runAll(cases)
    })
  }
}

// Guards against a truncated body in chunks that looks complete, at whichever of its chunks it was cut.
test('handle() passes on no truncated body as complete, when a body in chunks is cut at the border of each chunk', async () => {
  const body = bodyOf('a1', 1024 * 1024)
  const pieces = [...chunksOf(body), Buffer.from('0\r\n')]
  const cases: Array<() => Promise<void>> = []
  for (let border = 0; border <= pieces.length; border++) {
    for (const isReset of [false, true]) {
      cases.push(async () => {
        await withRawServer(({ id, socket }) => {
          const bytes = Buffer.concat([Buffer.from(headOf(id, 'chunks', body.length)), ...pieces.slice(0, border)])
          if (isReset) writeAndReset(socket, bytes)
          else socket.end(bytes)
        }, async ({ port }) => {
          const [response] = parseResponses(await exchangeRaw(port, requestText('a1'), { isEnough: hasWholeResponse }))
          assert.not.ok(response?.status === 200 && response.looksComplete, `cut after ${border} pieces, ${isReset ? 'reset' : 'closed'}, ${border % 2 === 0 ? 'direct' : 'relayed'}`)
        }, { isRelayed: border % 2 === 1 })
      })
    }
  }
  await runAll(cases)
})

// Guards against bytes that are taken for part of another caller's response: one that breaks off between others on its connection.
test('handle() passes on whole bodies before a truncated one and nothing after it, when a caller pipelines', async () => {
  const cases: Array<() => Promise<void>> = []
  for (const framing of ['length', 'chunks', 'connection-end'] as const) {
    for (const isRelayed of [false, true]) {
      cases.push(async () => {
        await withRawServer(({ id, socket }) => {
          const bytes = responseBytes(id, id === 'a2' ? framing : 'length', id === 'a2' ? SIZES.long : { bytes: 2000 })
          if (id === 'a2') writeAndReset(socket, bytes)
          else socket.write(bytes)
        }, async ({ port }) => {
          const received = await exchangeRaw(port, ['a1', 'a2', 'a3'].map((id) => requestText(id, { deadlineMs: AMPLE_MS })).join(''), { timeoutMs: AMPLE_MS })
          const responses = parseResponses(received)
          assert.ok(responses[0]?.body.equals(bodyOf('a1', 2000)) === true, `${framing}: the first body is not whole`)
          assert.not.ok(responses[1]?.status === 200 && responses[1].looksComplete, `${framing}: the truncated body looks complete`)
          assert.is(responses[2], undefined)
        }, { isRelayed, timeoutMs: AMPLE_MS })
      })
    }
  }
  await runAll(cases)
})

// Guards against a body whose last bytes a host drops at the timeout, although they have arrived, because its caller does not read them yet: the runtime calls such a response complete.
for (const framing of ['length', 'chunks', 'connection-end'] as const) {
  for (const isRelayed of [false, true]) {
    test(`handle() passes on no truncated body as complete, when its end, marked by ${framing}, has arrived ${isRelayed ? 'through a relay' : 'directly'} but is not passed on by the timeout`, async () => {
      const whole = bodyOf('a2', 90_000)
      await withRawServer(({ id, socket }) => {
        // The response to the second request waits for that to the first, which comes later than the timeout of the second.
        if (id === 'a1') return
        const bytes = responseBytes(id, framing, { bytes: whole.length })
        socket.write(bytes.subarray(0, 40_000))
        setTimeout(() => { socket.write(bytes.subarray(40_000, 80_000)) }, 40)
        setTimeout(() => { socket.write(bytes.subarray(80_000), () => { if (framing === 'connection-end') socket.end() }) }, 80)
      }, async ({ port }) => {
        const responses = parseResponses(await exchangeRaw(port, requestText('a1') + requestText('a2', { deadlineMs: 250 }), { timeoutMs: 900 }))
        // The relay's timer and the host's end at the same time; the host's status depends on which is first.
        assert.ok([502, 504].includes(responses[0]?.status ?? 0), String(responses[0]?.status))
        assertNeverTruncated(responses[1], { whole, name: framing })
      }, { isRelayed, streamsAll: true, timeoutMs: 400 })
    })
  }
}

// Guards against a truncated body that looks complete to another host: the kernel closes the connections of a relay that is killed in order.
test('handle() of a relay marks the end of each body itself and hides its own header from hosts that do not know it, when a server states no length', async () => {
  for (const size of [SIZES.short, SIZES.long]) {
    await withRawServer(({ id, socket }) => { socket.end(responseBytes(id, 'connection-end', size)) }, async ({ relayPort }) => {
      const request = requestText('a1').replace('\r\n\r\n', `\r\n${TEST_HEADER_NAMES.targetServer}: s0\r\n${RelayHeader.goalMs}: 300\r\n\r\n`)
      const [response] = parseResponses(await exchangeRaw(relayPort, request, { isEnough: hasWholeResponse }))
      assert.is(response?.framing, size === SIZES.long ? 'chunks' : 'length')
      assert.is(response?.body.length, size.sentBytes)
      assert.is(response?.headers.get(RelayHeader.noLength), '1')
      assert.is(response?.headers.get('connection'), RelayHeader.noLength)
    })
  }
})

// Guards against a truncated body that looks complete because a relay of an earlier version, which may have been killed, has passed it on without a length.
test('handle() does not respond with a success, when a relay marks no end of a body', async () => {
  const relay = createServer((socket) => { socket.on('error', () => {}).once('data', () => { socket.end(responseBytes('a1', 'connection-end', SIZES.short)) }) })
  await new Promise<void>((resolve) => { relay.listen(0, '127.0.0.1', resolve) })
  await withRawServer(() => {}, async ({ port }) => {
    const [response] = parseResponses(await exchangeRaw(port, requestText('a1'), { isEnough: hasWholeResponse }))
    assert.is(response?.status, 502)
  }, { isRelayed: true, relayAddress: `127.0.0.1:${(relay.address() as AddressInfo).port}` })
  relay.close()
})

// Guards against callers that choose their own goal and class at a relay: headers that only hosts send were passed on.
test('handle() drops headers that only hosts send, when they come from a caller', async () => {
  let head = ''
  const relay = createServer((socket) => {
    socket.on('error', () => {}).once('data', (data) => {
      head = data.toString('latin1').toLowerCase()
      socket.end(responseBytes('a1', 'length', { bytes: 10 }))
    })
  })
  await new Promise<void>((resolve) => { relay.listen(0, '127.0.0.1', resolve) })
  await withRawServer(() => {}, async ({ port }) => {
    await exchangeRaw(port, requestText('a1').replace('\r\n\r\n', `\r\n${RelayHeader.goalMs}: 1\r\n${RelayHeader.late}: 1\r\n\r\n`), { isEnough: hasWholeResponse })
    assert.is(head.split(`${RelayHeader.goalMs}:`).length, 2)
    assert.not.ok(head.includes(RelayHeader.late))
  }, { isRelayed: true, relayAddress: `127.0.0.1:${(relay.address() as AddressInfo).port}` })
  relay.close()
})

// Guards against a server whose headers another host takes for those of its relay: a request that has run would count as refused.
test('handle() ignores headers that only hosts send, when they come from a server', async () => {
  for (const isRelayed of [false, true]) {
    await withRawServer(({ id, socket }) => {
      socket.write(responseBytes(id, 'length', { bytes: 2000 }).toString('latin1').replace('\r\n', `\r\n${RelayHeader.noLength}: 1\r\n${RelayHeader.refusal}: ${RelayRefusal.full}\r\n`))
    }, async ({ port }) => {
      const [response] = parseResponses(await exchangeRaw(port, requestText('a1'), { isEnough: hasWholeResponse }))
      assert.is(response?.status, 200)
      assert.is(response?.framing, 'length')
      assert.ok(response?.body.equals(bodyOf('a1', 2000)))
      assert.not.ok([...response?.headers.keys() ?? []].some((header) => header.startsWith('x-gooseberryfold')))
    }, { isRelayed })
  }
})

// Guards against a request that is sent again although it has run: the response of a server with a header of relays was taken for the refusal of a relay.
for (const relay of ['of this build', 'of an earlier build']) {
  for (const refusal of Object.values(RelayRefusal)) {
    test(`handle() passes on the response of a server and sends its request once, when it has the header of a relay that refuses with ${refusal} and comes through a relay ${relay}`, async () => {
      for (const status of [200, 404, 500, 503]) {
        let requests = 0
        const head = (id: string): string => headOf(id, 'length', 2).replace('200 OK', `${status} X`).replace('\r\n', `\r\n${RelayHeader.refusal}: ${refusal}\r\n${RelayHeader.unsent}: 1\r\n`)
        // Relays of earlier builds pass on all headers of servers.
        const earlier = createServer((socket) => {
          socket.on('error', () => {}).on('data', (data) => {
            if (!data.includes('\r\n\r\n')) return
            requests++
            socket.write(`${head('a1')}ok`)
          })
        })
        await new Promise<void>((resolve) => { earlier.listen(0, '127.0.0.1', resolve) })
        await withRawServer(({ id, socket }) => {
          requests++
          socket.write(`${head(id)}ok`)
        }, async ({ port }) => {
          const [response] = parseResponses(await exchangeRaw(port, requestText('a1', { deadlineMs: AMPLE_MS }), { timeoutMs: AMPLE_MS, isEnough: hasWholeResponse }))
          assert.is(`${response?.status} ${response?.body.toString()} after ${requests}`, `${status} ok after 1`)
        }, { isRelayed: true, timeoutMs: AMPLE_MS, ...(relay === 'of this build' ? {} : { relayAddress: `127.0.0.1:${(earlier.address() as AddressInfo).port}` }) })
        earlier.close()
      }
    })
  }
}

test.run()
