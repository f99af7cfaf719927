/**
 * Stand-in for a backend server of a service that is divided by key: slots, a
 * queue, grants with fencing tokens, releases that are answered when their work
 * has ended, and the headers of the protocol page.
 */
import { createServer } from 'node:http'

const QUEUE_LENGTH = 16

/** A server whose clock runs 2 % slow keeps a grant longer; a sound one does not. */
export class KeyedBackend {
  /** Grants by first key: `{ from, to, fence, until }`. */
  #grants = []
  /** Highest fencing token seen, for parts of the key space. */
  #fences = []
  #running = new Map()
  #releases = new Set()
  #waiting = []
  #used = 0
  /** Called with the name of an event and its details. */
  onEvent = () => {}
  /** Decides the work of a request, in milliseconds. */
  workMs = () => 20
  /** Whether a copy of an answer to an order is sent once more, where the next answer on its connection is expected. */
  repeatsAnswers = () => false
  isLeaving = false
  #server = createServer((request, response) => {
    const parts = []
    request.on('data', (part) => { parts.push(part) })
    request.on('end', () => { this.#handle(request, response, Buffer.concat(parts).toString()).catch((error) => { this.onEvent('error', { error: String(error) }) }) })
  })

  constructor ({ id, slots = 4 }) {
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

  /** Whether the server holds a key now. */
  holds (key) {
    return this.#grants.some(({ from, to, until }) => from <= key && key <= to && until > performance.now())
  }

  /** Requests at work on keys of a span. */
  workOn (from, to) {
    return [...this.#running.values()].filter(({ key }) => from <= key && key <= to)
  }

  #highestFence (from, to) {
    return Math.max(0, ...this.#fences.filter((seen) => seen.from <= to && from <= seen.to).map(({ fence }) => fence))
  }

  /** Takes a span out of the grants; the parts beside it stay. */
  #cut (from, to) {
    this.#grants = this.#grants.flatMap((grant) => {
      if (grant.from > to || grant.to < from) return [grant]
      const rest = []
      if (grant.from < from) rest.push({ ...grant, to: from - 1 })
      if (grant.to > to) rest.push({ ...grant, from: to + 1 })
      return rest
    })
  }

  #grant ({ From: from, Target: to, fence, Hold: hold }) {
    if (this.#highestFence(from, to) > fence) return 409
    this.#cut(from, to)
    this.#fences = [...this.#fences.filter((seen) => seen.from < from || seen.to > to), { from, to, fence }]
    const until = performance.now() + Number.parseInt(hold)
    this.#grants.push({ from, to, fence, until })
    for (const run of this.workOn(from, to)) run.holdUntil = until
    this.onEvent('grant', { from, to, fence, hold })
    return 200
  }

  async #release ({ From: from, Target: to, fence }) {
    this.#cut(from, to)
    this.#fences.push({ from, to, fence })
    const work = this.workOn(from, to).map(({ id }) => id)
    this.onEvent('release', { from, to, fence, work })
    if (work.length > 0) {
      await new Promise((resolve) => {
        const check = () => {
          if (this.workOn(from, to).length > 0) return
          this.#releases.delete(check)
          resolve()
        }
        this.#releases.add(check)
      })
    }
    return `${this.id}-${fence}`
  }

  async #handle (request, response, body) {
    if (request.url === '/health') return response.writeHead(this.isLeaving ? 503 : 200, { 'Gooseberryfold-Instance-Id': this.id, 'Content-Length': '0' }).end()
    if (request.url === '/-/grant' || request.url === '/-/release') return await this.#handleOrder(request, response, JSON.parse(body))
    await this.#serve(request, response, body)
  }

  async #handleOrder (request, response, order) {
    const { socket } = request
    const expected = request.headers['gooseberryfold-target-instance']
    if (expected !== undefined && expected !== this.id) return response.writeHead(421, { 'Gooseberryfold-Instance-Id': this.id, 'Content-Length': '0' }).end()
    if (socket.copy !== undefined && this.repeatsAnswers()) {
      this.onEvent('copy', { order: request.url, of: socket.copyOf, from: order.From, to: order.Target, fence: order.fence })
      socket.write(socket.copy)
    }
    let status = 200
    let headers = {}
    if (request.url === '/-/grant') status = this.#grant(order)
    else headers = { 'Gooseberryfold-Handover': await this.#release(order) }
    if (socket.destroyed) return this.onEvent('answer-lost', { order: request.url, from: order.From, to: order.Target })
    socket.copy = [`HTTP/1.1 ${status} ${status === 200 ? 'OK' : 'Conflict'}`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), 'Content-Type: application/json', 'Content-Length: 2', '', '{}'].join('\r\n')
    socket.copyOf = `${request.url} ${order.From}-${order.Target} fence ${order.fence}`
    response.writeHead(status, { ...headers, 'Content-Type': 'application/json', 'Content-Length': '2' }).end('{}')
    this.onEvent('answer', { order: request.url, from: order.From, to: order.Target, fence: order.fence, status })
  }

  async #serve (request, response, body) {
    const id = String(request.headers['gooseberryfold-attempt-id'] ?? '')
    const key = Number(request.headers['gooseberryfold-shard-key'])
    const common = { 'Gooseberryfold-Attempt-Id': id, ...(this.isLeaving ? { 'Server-Leaving': '1', Connection: 'close' } : {}) }
    const notRun = (status) => response.writeHead(status, { ...common, 'Gooseberryfold-Not-Executed': '1', 'Gooseberryfold-Instance-Id': this.id, 'Content-Length': '0' }).end()
    if (request.headers['gooseberryfold-target-instance'] !== this.id || !this.holds(key)) return notRun(421)
    if (this.#used >= this.slots) {
      if (this.#waiting.length >= QUEUE_LENGTH) return notRun(503)
      await new Promise((resolve) => { this.#waiting.push(resolve) })
      // A request whose connection has closed is dropped; a key that has gone meanwhile is not served.
      if (request.socket.destroyed || !this.holds(key)) {
        this.#free()
        return request.socket.destroyed ? undefined : notRun(421)
      }
    } else this.#used++
    const run = { id, key, startedAt: performance.now(), holdUntil: this.#grants.find(({ from, to }) => from <= key && key <= to)?.until ?? 0 }
    this.#running.set(run, run)
    this.onEvent('begin', { id, key })
    await new Promise((resolve) => {
      const { socket } = request
      const timer = setTimeout(finish, this.workMs(request))
      function finish () {
        clearTimeout(timer)
        socket.off('close', finish)
        resolve()
      }
      // Most backends drop a request when its connection closes.
      socket.once('close', finish)
    })
    this.#running.delete(run)
    this.#free()
    this.onEvent('end', { id, key })
    for (const check of [...this.#releases]) check()
    const text = `${this.id} ${id} ${body.length}`
    if (!request.socket.destroyed) response.writeHead(200, { ...common, 'Gooseberryfold-Backend-Signature': `${this.id}.${id}`, 'Content-Length': String(text.length) }).end(text)
  }

  #free () {
    const next = this.#waiting.shift()
    if (next === undefined) this.#used--
    else next()
  }
}
