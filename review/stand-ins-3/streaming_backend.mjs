/** Stand-in for a sound backend server that sends its answers without a length, piece by piece, and ends them by closing the connection. */
import { createServer } from 'node:http'

export class StreamingBackend {
  #server = createServer((request, response) => { this.#handle(request, response) })
  /** Bytes of each answer that was sent whole, by attempt. */
  whole = new Map()
  /** Called when a request begins to run. */
  onBegin = () => {}

  constructor ({ id, pieces, pieceBytes, gapMs }) {
    Object.assign(this, { id, pieces, pieceBytes, gapMs })
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

  #handle (request, response) {
    if (request.url === '/health') return response.writeHead(200, { 'Gooseberryfold-Instance-Id': this.id, 'Content-Length': '0' }).end()
    const id = String(request.headers['gooseberryfold-attempt-id'] ?? '')
    if (request.headers['gooseberryfold-target-instance'] !== this.id) return response.writeHead(421, { 'Gooseberryfold-Attempt-Id': id, 'Gooseberryfold-Not-Executed': '1', 'Content-Length': '0' }).end()
    this.onBegin(id)
    // Without a length and without chunks, the end of the connection is the end of the body.
    response.useChunkedEncodingByDefault = false
    response.shouldKeepAlive = false
    response.writeHead(200, { 'Gooseberryfold-Attempt-Id': id, 'Gooseberryfold-Backend-Signature': `${this.id}.${id}`, 'Content-Type': 'application/octet-stream', Connection: 'close' })
    let sent = 0
    const timer = setInterval(() => {
      if (response.destroyed) return clearInterval(timer)
      response.write(Buffer.alloc(this.pieceBytes, 97 + sent % 26))
      if (++sent < this.pieces) return
      clearInterval(timer)
      this.whole.set(id, this.pieces * this.pieceBytes)
      response.end()
    }, this.gapMs)
  }
}
