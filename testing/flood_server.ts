/** A server that sends bytes without end, in a thread of its own so that it is not slowed down by what it sends to. */
import { Worker } from 'node:worker_threads'
import { TEST_HEADER_NAMES } from './fake_backend.ts'

/** A running server. */
export interface FloodServer {
  /** Host and port. */
  readonly address: string
  /** Returns the number of connections that are open. */
  countConnections (): Promise<number>
  close (): Promise<void>
}

/** Responds with the head that belongs to the path, and then without end. */
const SERVER_SOURCE = `
const { createServer } = require('node:net')
const { parentPort, workerData: names } = require('node:worker_threads')
const part = Buffer.alloc(64 * 1024, 120)
const sockets = new Set()
const server = createServer((socket) => {
  sockets.add(socket)
  socket.on('error', () => {})
  socket.on('close', () => { sockets.delete(socket) })
  socket.once('data', (data) => {
    const request = data.toString('latin1')
    const id = new RegExp(names.attemptId + ': (\\\\S+)', 'i').exec(request)[1]
    const common = names.attemptId + ': ' + id + '\\r\\n'
    if (request.includes('/refused')) socket.write('HTTP/1.1 503 Full\\r\\n' + common + names.notRun + ': 1\\r\\nContent-Length: 1099511627776\\r\\n\\r\\n')
    else if (request.includes('/chunks') || request.includes('/tiny')) socket.write('HTTP/1.1 200 OK\\r\\n' + common + names.signature + ': signed\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n')
    else socket.write('HTTP/1.1 200 OK\\r\\n' + common + names.signature + ': signed\\r\\nContent-Length: 1099511627776\\r\\n\\r\\n')
    const chunk = request.includes('/tiny') ? Buffer.from('1\\r\\nx\\r\\n'.repeat(10000)) : request.includes('/chunks') ? Buffer.concat([Buffer.from(part.length.toString(16) + '\\r\\n'), part, Buffer.from('\\r\\n')]) : part
    const send = () => { while (!socket.destroyed && socket.write(chunk)); }
    socket.on('drain', send)
    send()
  })
})
server.listen(0, '127.0.0.1', () => { parentPort.postMessage({ port: server.address().port }) })
parentPort.on('message', () => { parentPort.postMessage({ connections: sockets.size }) })
`

/** Starts the server; `/refused` in a path gets a refusal, `/chunks` a body in chunks, `/tiny` one in chunks of one byte, anything else one with a false length. */
export async function createFloodServer (): Promise<FloodServer> {
  const worker = new Worker(SERVER_SOURCE, { eval: true, workerData: TEST_HEADER_NAMES })
  const receive = async (): Promise<{ readonly port?: number, readonly connections?: number }> => await new Promise((resolve) => { worker.once('message', resolve) })
  const { port } = await receive()
  return {
    address: `127.0.0.1:${port}`,
    async countConnections () {
      worker.postMessage('count')
      return (await receive()).connections ?? 0
    },
    async close () { await worker.terminate() }
  }
}
