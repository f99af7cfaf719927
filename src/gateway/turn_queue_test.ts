/** Tests of the order and the turns in which requests start. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createTurnQueue } from './turn_queue.ts'

const test = suite('createTurnQueue')

test('next() resolves in the order of the calls, one in each turn', async () => {
  const queue = createTurnQueue()
  let turn = 0
  let counting = true
  const countTurns = (): void => {
    turn++
    if (counting) setImmediate(countTurns)
  }
  countTurns()
  const order: number[] = []
  const turns: number[] = []
  await Promise.all([0, 1, 2, 3].map(async (request) => {
    await queue.next()
    order.push(request)
    turns.push(turn)
  }))
  counting = false
  assert.equal(order, [0, 1, 2, 3])
  assert.is(new Set(turns).size, 4)
})

test('next() resolves after a connection that was closed before the call is known to be closed', async () => {
  const { createServer, connect } = await import('node:net')
  const queue = createTurnQueue()
  const isClosed = await new Promise<boolean>((resolve) => {
    const server = createServer((socket) => {
      let ended = false
      socket.on('end', () => { ended = true })
      socket.once('data', () => {
        queue.next().then(() => {
          resolve(ended)
          server.close()
        }, () => {})
      })
    })
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as { readonly port: number }
      const socket = connect(port, '127.0.0.1', () => {
        socket.write('request')
        socket.destroy()
      })
    })
  })
  assert.ok(isClosed)
})

test.run()
