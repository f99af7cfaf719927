/**
 * A client that sends further idempotent requests before the first one has been
 * answered, on one connection. It sends nothing more once it has read a head
 * with `Connection: close`, and may read slowly.
 */
import { connect } from 'node:net'

let clients = 0

/** Lowest number of bytes that a paused connection is read by. */
const READ_BYTES = 32 * 1024

/**
 * Connects a client to a host.
 *
 * @param host Entry host.
 * @param options Time between two reads of a client that reads slowly, in milliseconds; 0 for one that does not.
 * @returns The client.
 */
export function connectClient (host, { readIntervalMs = 0, hostName = 'review.example' } = {}) {
  const name = `p-${process.pid}-${++clients}`
  const socket = connect(host.front)
  const requests = []
  let buffer = Buffer.alloc(0)
  let reader
  const client = {
    /** Requests in the order in which they were sent; `status` is 0 until the whole answer has been read. */
    requests,
    closedAt: null,
    error: null,
    mayStillSend: true,
    unanswered: () => requests.filter(({ status }) => status === 0),
    send (path, deadlineMs) {
      const id = `${name}-${requests.length + 1}`
      requests.push({ id, status: 0, sentAt: performance.now() })
      socket.write(`GET ${path} HTTP/1.1\r\nHost: ${hostName}\r\nGooseberryfold-Attempt-Id: ${id}\r\nGooseberryfold-Deadline-Ms: ${deadlineMs}\r\n\r\n`)
    },
    close () {
      clearInterval(reader)
      socket.destroy()
    }
  }

  /** Reads the answers at the beginning of the buffer; `isEnd` is whether the connection has been closed in order. */
  function readAnswers (isEnd) {
    for (;;) {
      const headEnd = buffer.indexOf('\r\n\r\n')
      if (headEnd === -1) return
      const head = buffer.subarray(0, headEnd).toString('latin1')
      if (/^connection: close/im.test(head)) client.mayStillSend = false
      const length = /^content-length: (\d+)/im.exec(head)
      const end = length !== null ? headEnd + 4 + Number(length[1]) : /^transfer-encoding: chunked/im.test(head) ? chunkedEnd(headEnd + 4) : isEnd ? buffer.length : Infinity
      if (buffer.length < end) return
      const request = requests.find(({ status }) => status === 0)
      if (request === undefined) return
      request.status = Number(head.slice(9, 12))
      request.answeredId = /^gooseberryfold-attempt-id: (\S+)/im.exec(head)?.[1]
      buffer = buffer.subarray(end)
    }
  }

  /** End of a chunked body; `Infinity` while it is not complete. */
  function chunkedEnd (start) {
    for (let at = start; ;) {
      const lineEnd = buffer.indexOf('\r\n', at)
      if (lineEnd === -1) return Infinity
      const bytes = parseInt(buffer.subarray(at, lineEnd).toString('latin1'), 16)
      at = lineEnd + 2 + bytes + 2
      if (at > buffer.length) return Infinity
      if (bytes === 0) return at
    }
  }

  socket.on('error', (error) => { client.error = error.code ?? error.message })
  socket.on('close', () => {
    clearInterval(reader)
    client.closedAt = performance.now()
    client.mayStillSend = false
  })
  socket.on('end', () => { readAnswers(true) })
  if (readIntervalMs === 0) {
    socket.on('data', (part) => {
      buffer = Buffer.concat([buffer, part])
      readAnswers(false)
    })
  } else {
    socket.on('readable', () => {})
    reader = setInterval(() => {
      const part = socket.read(Math.min(READ_BYTES, socket.readableLength)) ?? null
      if (part === null) return
      buffer = Buffer.concat([buffer, part])
      readAnswers(false)
    }, readIntervalMs)
  }
  return client
}
