/** Stand-in for a sound backend server of a service without keys: slots, a queue, and the headers of the protocol page. */
import { createServer } from 'node:http'

const QUEUE_LENGTH = 16

export class PlainBackend {
  #used = 0
  #waiting = []
  /** Called when a request begins to run. */
  onBegin = () => {}
  /** Work of a request, in milliseconds. */
  workMs = () => 100
  /** Length of the body of an answer, in bytes. */
  bodyBytes = () => 400
  /** Whether an answer has no length and ends with its connection. */
  isUnframed = () => false
  #server = createServer((request, response) => {
    request.resume()
    request.on('end', () => { this.#handle(request, response) })
  })

  constructor ({ id, slots }) {
    this.id = id
    this.slots = slots
    this.#server.keepAliveTimeout = 10_000
    this.#server.on('connection', (socket) => { socket.on('error', () => {}) })
  }

  async listen (ip) {
    await new Promise((resolve) => { this.#server.listen(0, ip, resolve) })
    this.address = `${ip}:${this.#server.address().port}`
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  async #handle (request, response) {
    if (request.url === '/health') return response.writeHead(200, { 'Gooseberryfold-Instance-Id': this.id, 'Content-Length': '0' }).end()
    const id = String(request.headers['gooseberryfold-attempt-id'] ?? '')
    const notRun = (status) => response.writeHead(status, { 'Gooseberryfold-Attempt-Id': id, 'Gooseberryfold-Not-Executed': '1', 'Gooseberryfold-Instance-Id': this.id, 'Content-Length': '0' }).end()
    if (request.headers['gooseberryfold-target-instance'] !== this.id) return notRun(421)
    if (this.#used < this.slots) this.#used++
    else if (this.#waiting.length >= QUEUE_LENGTH) return notRun(503)
    else await new Promise((resolve) => { this.#waiting.push(resolve) })
    if (!request.socket.destroyed) {
      this.onBegin(id)
      await new Promise((resolve) => {
        const { socket } = request
        const timer = setTimeout(finish, this.workMs())
        function finish () {
          clearTimeout(timer)
          socket.off('close', finish)
          resolve()
        }
        // Most backends drop a request when its connection closes.
        socket.once('close', finish)
      })
    }
    const next = this.#waiting.shift()
    if (next === undefined) this.#used--
    else next()
    if (request.socket.destroyed) return
    const body = Buffer.alloc(this.bodyBytes(), 97)
    const isUnframed = this.isUnframed()
    if (isUnframed) {
      response.useChunkedEncodingByDefault = false
      response.shouldKeepAlive = false
    }
    response.writeHead(200, { 'Gooseberryfold-Attempt-Id': id, 'Gooseberryfold-Backend-Signature': `${this.id}.${id}`, ...(isUnframed ? { Connection: 'close' } : { 'Content-Length': String(body.length) }) }).end(body)
  }
}
