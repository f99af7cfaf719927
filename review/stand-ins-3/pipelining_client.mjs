/** Client that sends requests without a body before earlier ones are answered, on one connection, and reads the answers in order. */
import { connect } from 'node:net'

/** Position behind a body; -1 if it is not all there, `null` if it ends with its connection. */
function endOfBody (head, bytes, start) {
  const length = /\r\ncontent-length: *(\d+)/i.exec(head)?.[1]
  if (length !== undefined) return bytes.length < start + Number(length) ? -1 : start + Number(length)
  if (!/\r\ntransfer-encoding: *chunked/i.test(head)) return null
  for (let at = start; ;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    if (lineEnd < 0) return -1
    const size = Number.parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16)
    at = lineEnd + 2 + size + 2
    if (bytes.length < at) return -1
    if (size === 0) return at
  }
}

export class PipeliningClient {
  #socket
  #buffer = Buffer.alloc(0)
  /** Requests without an answer, in order. */
  open = []
  /** Number of answers on this connection. */
  answered = 0
  /** Called with a request and the status of its answer. */
  onAnswer = () => {}
  /** Called with the requests that have no answer when the connection ends, and whether this side has closed it. */
  onEnd = () => {}
  /** Whether the host has said that it closes the connection. */
  isClosing = false
  #hasLeft = false
  #hasEnded = false
  /** Whether the answer that is being read ends with the connection. */
  #endsWithConnection = false

  constructor (address) {
    const [host, port] = address.split(':')
    this.#socket = connect({ host, port: Number(port), noDelay: true })
    this.#socket.on('error', () => {})
    this.#socket.on('data', (part) => { this.#read(part) })
    this.#socket.on('end', () => { this.#end(true) })
    this.#socket.on('close', () => { this.#end(false) })
  }

  get isOpen () { return !this.#hasEnded && !this.#hasLeft && !this.isClosing }

  send (requests) {
    this.open.push(...requests)
    this.#socket.write(requests.map(({ id, path, host, deadlineMs }) => `GET ${path} HTTP/1.1\r\nHost: ${host}\r\nGooseberryfold-Attempt-Id: ${id}\r\nGooseberryfold-Deadline-Ms: ${deadlineMs}\r\n\r\n`).join(''))
  }

  /** Closes the connection. */
  leave () {
    this.#hasLeft = true
    this.#socket.destroy()
  }

  #end (isInOrder) {
    if (this.#hasEnded) return
    this.#hasEnded = true
    this.#socket.destroy()
    if (this.#endsWithConnection && isInOrder) this.#answer(200)
    this.onEnd({ open: this.open, hasLeft: this.#hasLeft })
  }

  #answer (status) {
    this.answered++
    this.onAnswer(this.open.shift(), status)
  }

  #read (part) {
    this.#buffer = this.#buffer.length === 0 ? part : Buffer.concat([this.#buffer, part])
    while (!this.#endsWithConnection) {
      const headEnd = this.#buffer.indexOf('\r\n\r\n')
      if (headEnd < 0) return
      const head = this.#buffer.subarray(0, headEnd).toString('latin1')
      const end = endOfBody(head, this.#buffer, headEnd + 4)
      if (end === -1) return
      if (end === null || /\r\nconnection: *close/i.test(head)) this.isClosing = true
      if (end === null) {
        this.#endsWithConnection = true
        return
      }
      this.#buffer = this.#buffer.subarray(end)
      this.#answer(Number(head.slice(9, 12)))
    }
  }
}
