/** A caller that sends lookups ahead on one connection, reads slowly and goes on sending until a response closes the connection. */
import { connect } from 'node:net'
import { Guarantees, type GuaranteeChecker } from './guarantee_checker.ts'
import type { SoakHost } from './hosts.ts'

/** Requests that the caller has open at a time, and the interval at which it sends others, in milliseconds. */
const OPEN_REQUESTS = 20
const SEND_INTERVAL_MS = 50

/** Length of a response, in bytes, and how much of them the caller reads at an interval, in milliseconds. */
const RESPONSE_BYTES = 30_000
const READ_BYTES = 32 * 1024
const READ_INTERVAL_MS = 100

/** Time that the caller waits for a response, in milliseconds. */
const DEADLINE_MS = 4000

/** Separates the heads of responses from their bodies, and names the headers that the caller reads. */
const HEAD_END = '\r\n\r\n'
const CLOSES = /^connection: close/im
const LENGTH = /^content-length: (\d+)/im

let callers = 0

/**
 * Connects a caller to a host that is about to stop without other faults. A lookup that a server has started must be answered as a whole.
 *
 * @param host The host.
 * @param options Key of its lookups, and the checker.
 * @returns A function that ends the caller and checks what it got.
 */
export function startPipeliningCaller (host: SoakHost, { key, checker }: { readonly key: number, readonly checker: GuaranteeChecker }): () => void {
  const prefix = `p${++callers}-`
  const socket = connect(host.callerPort, host.ip)
  const open: Array<{ readonly id: string, readonly sentAt: number }> = []
  let received = ''
  let sent = 0
  let maySend = true
  let endedAt = Infinity

  function send (): void {
    if (!maySend || open.length >= OPEN_REQUESTS) return
    const id = `${prefix}${++sent}`
    open.push({ id, sentAt: performance.now() })
    checker.recordSent(id, { once: false, body: '' })
    socket.write(`GET /lookups/${key}?bytes=${RESPONSE_BYTES} HTTP/1.1\r\nHost: soak.example\r\nGooseberryfold-Attempt-Id: ${id}\r\nGooseberryfold-Deadline-Ms: ${DEADLINE_MS}\r\nGooseberryfold-Shard-Key: ${key}\r\n\r\n`)
  }
  function takeResponses (): void {
    for (;;) {
      const headEnd = received.indexOf(HEAD_END)
      const head = received.slice(0, Math.max(0, headEnd))
      const end = headEnd + HEAD_END.length + Number(LENGTH.exec(head)?.[1] ?? 0)
      if (headEnd < 0 || received.length < end) return
      if (CLOSES.test(head)) maySend = false
      received = received.slice(end)
      open.shift()
    }
  }
  const sender = setInterval(send, SEND_INTERVAL_MS)
  const reader = setInterval(() => {
    const part = socket.read(Math.min(READ_BYTES, socket.readableLength)) as Buffer | null
    if (part === null) return
    received += part.toString('latin1')
    takeResponses()
  }, READ_INTERVAL_MS)
  socket.on('readable', () => {}).on('error', () => {}).on('close', () => {
    maySend = false
    endedAt = performance.now()
  })

  return () => {
    clearInterval(sender)
    clearInterval(reader)
    const cut = open.filter(({ id, sentAt }) => checker.hasStarted(id) && endedAt - sentAt < DEADLINE_MS)
    if (cut.length > 0) checker.reportViolation(Guarantees.graceful, `${host.name} cut ${cut.length} lookups that were sent ahead, the first of them ${String(cut[0]?.id)}`)
    socket.destroy()
  }
}
