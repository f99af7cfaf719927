/** Tests that control calls between hosts take no head that is none, and no part of a response, for a response. */
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createControlClients } from './control_router.ts'

const test = suite('createControlClients')

const BODY = '{"result":{"data":{}}}'

/** Whether a call to a peer that writes `text` and may reset its connection returns a response. */
async function isAnswered (text: string, isReset = false): Promise<boolean> {
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('data', () => { socket.write(text, () => { if (isReset) socket.resetAndDestroy() }) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  try {
    await createControlClients('s')(`127.0.0.1:${(server.address() as AddressInfo).port}`).view.query()
    return true
  } catch {
    return false
  } finally {
    for (const socket of sockets) socket.destroy()
    server.close()
  }
}

function headOf (status: string, headers = `Content-Length: ${BODY.length}\r\n`): string {
  return `HTTP/1.1 ${status} X\r\nContent-Type: application/json\r\n${headers}\r\n`
}

test('a control call returns the response, when it is whole', async () => {
  assert.ok(await isAnswered(headOf('200') + BODY))
})

// Guards against a control call that counts as done on a head that is no response, or on a part of one.
for (const status of ['000', '099', '101', '199', '600', '999', 'abc']) {
  test(`a control call fails, when the status is '${status}'`, async () => {
    assert.not.ok(await isAnswered(headOf(status) + BODY))
  })
}

test('a control call fails, when a response without a length is reset', async () => {
  assert.not.ok(await isAnswered(headOf('200', '') + BODY.slice(0, -2), true))
})

test.run()
