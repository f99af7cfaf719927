/** Tests of connections between hosts: one malformed or endless message closes its connection and harms nothing else. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { readMessages } from './messages.ts'

const test = suite('readMessages')

/** Sends bytes to a reader; returns the messages that it received and whether it closed the connection. */
async function readBytes (send: (socket: Socket) => void): Promise<{ readonly messages: unknown[], readonly closed: boolean }> {
  const messages: unknown[] = []
  const server = createServer((socket) => {
    socket.on('error', () => {})
    readMessages(socket, (message) => {
      if (message === null) throw new Error('The message has no kind')
      messages.push(message)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
  const closed = await new Promise<boolean>((resolve) => {
    client.on('error', () => {})
    client.on('close', () => { resolve(true) })
    client.resume()
    send(client)
    setTimeout(() => { resolve(false) }, 400).unref()
  })
  client.destroy()
  server.close()
  return { messages, closed }
}

test('readMessages() passes each message on, when lines arrive in parts', async () => {
  const { messages, closed } = await readBytes((socket) => {
    socket.write('{"kind":"a"}\n{"ki')
    setTimeout(() => { socket.write('nd":"b"}\n') }, 20)
  })
  assert.equal(messages, [{ kind: 'a' }, { kind: 'b' }])
  assert.not(closed)
})

test('readMessages() closes the connection, when a line has no end', async () => {
  const before = process.memoryUsage().heapUsed
  const { closed } = await readBytes((socket) => {
    const timer = setInterval(() => { if (socket.writableLength < 8_000_000) socket.write('x'.repeat(1_000_000)) }, 1)
    socket.on('close', () => { clearInterval(timer) })
  })
  assert.ok(closed)
  assert.ok(process.memoryUsage().heapUsed - before < 64 * 1024 * 1024)
})

test('readMessages() closes the connection and throws nothing, when a line is arbitrary text or its handler fails', async () => {
  await fc.assert(fc.asyncProperty(fc.oneof(fc.string({ minLength: 1 }).filter((text) => !text.includes('\n')), fc.constant('null'), fc.constant('z!')), async (text) => {
    const { closed } = await readBytes((socket) => { socket.write(`${text}\n`) })
    let isMessage = false
    try { isMessage = JSON.parse(text) !== null } catch {}
    assert.is(closed, !isMessage)
  }), propertyParameters(12))
})

test.run()
