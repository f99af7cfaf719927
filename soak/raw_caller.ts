/** Callers on sockets of their own: each response is judged by its bytes and by how its connection ends. */
import { createHash } from 'node:crypto'
import { connect, type Socket } from 'node:net'

/** Length and digest of a body. */
export interface BodySummary { readonly length: number, readonly digest: string }

/** What a caller has got: a response that looks complete, or none. */
export type CallerOutcome =
  | { readonly kind: 'complete', readonly status: number, readonly signature: string | undefined, readonly body: BodySummary, readonly framing: 'length' | 'chunks' | 'connection' }
  | { readonly kind: 'incomplete', readonly reason: string }

/** A request of a caller. */
export interface CallerRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  /** Body, sent in parts; `null` if there is none. */
  readonly body: Buffer | null
  /** Whether the body is sent in chunks instead of with a length. */
  readonly isChunked: boolean
  /** Pause between two parts of the body, in milliseconds. */
  readonly partPauseMs: number
  /** Time for which the caller does not read once it has the first bytes of the response, in milliseconds. */
  readonly readPauseMs: number
  /** Time after which the caller closes its connection, in milliseconds. */
  readonly deadlineMs: number
}

/** Callers of one host, which keep their connections open. */
export interface RawCaller {
  send (request: CallerRequest): Promise<CallerOutcome>
  close (): void
}

/** Bytes of a body that are written at once. */
const PART_BYTES = 64 * 1024

/** Returns length and digest of a body. */
export function summarizeBody (parts: readonly Buffer[]): BodySummary {
  const hash = createHash('sha256')
  for (const part of parts) hash.update(part)
  return { length: parts.reduce((sum, part) => sum + part.length, 0), digest: hash.digest('hex').slice(0, 16) }
}

/**
 * Creates callers of one host.
 *
 * @param address Address of the host, and what is called with the first bytes that arrive while no request is waiting.
 * @returns The callers.
 */
export function createRawCaller (address: { readonly host: string, readonly port: number, readonly onUnaskedBytes: (text: string) => void }): RawCaller {
  const idle: Socket[] = []
  const open = new Set<Socket>()

  function takeConnection (): Socket {
    const kept = idle.pop()
    if (kept !== undefined) return kept
    const socket = connect({ host: address.host, port: address.port, noDelay: true })
    open.add(socket)
    // How a connection ends is judged by the exchange that uses it.
    socket.on('error', () => {})
    socket.on('data', (data) => { if (idle.includes(socket)) address.onUnaskedBytes(data.subarray(0, 80).toString('latin1')) })
    socket.on('close', () => {
      open.delete(socket)
      if (idle.includes(socket)) idle.splice(idle.indexOf(socket), 1)
    })
    return socket
  }

  async function sendBody (socket: Socket, request: CallerRequest): Promise<void> {
    const { body, isChunked } = request
    if (body === null) return
    for (let start = 0; start < body.length && !socket.destroyed; start += PART_BYTES) {
      const part = body.subarray(start, start + PART_BYTES)
      if (isChunked) socket.write(`${part.length.toString(16)}\r\n`)
      socket.write(part)
      if (isChunked) socket.write('\r\n')
      await new Promise((resolve) => { setTimeout(resolve, request.partPauseMs) })
      while (socket.writableNeedDrain && !socket.destroyed) await new Promise((resolve) => { setTimeout(resolve, 5) })
    }
    if (isChunked) socket.write('0\r\n\r\n')
  }

  return {
    async send (request) {
      const socket = takeConnection()
      const framing = request.body === null ? {} : request.isChunked ? { 'Transfer-Encoding': 'chunked' } : { 'Content-Length': String(request.body.length) }
      const head = Object.entries({ ...request.headers, ...framing }).map(([name, value]) => `${name}: ${value}\r\n`).join('')
      const received = receiveResponse(socket, request)
      socket.write(`${request.method} ${request.path} HTTP/1.1\r\n${head}\r\n`)
      const sent = sendBody(socket, request)
      const { outcome, isReusable } = await received
      if (!isReusable) {
        socket.destroy()
        return outcome
      }
      // A response may come while the body is still being sent; the connection is used again after the rest.
      sent.then(() => { if (!socket.destroyed) idle.push(socket) }, () => { socket.destroy() })
      return outcome
    },
    close () { for (const socket of open) socket.destroy() }
  }
}

/** Receives one response; bytes behind it are those of no response. */
function receiveResponse (socket: Socket, { readPauseMs, deadlineMs }: { readonly readPauseMs: number, readonly deadlineMs: number }): Promise<{ readonly outcome: CallerOutcome, readonly isReusable: boolean }> {
  return new Promise((resolve) => {
    const parser = createResponseParser()
    let sawEnd = false
    const timer = setTimeout(() => { finish({ kind: 'incomplete', reason: 'deadline' }, false) }, deadlineMs)
    const onData = (data: Buffer): void => {
      if (!parser.hasBegun() && readPauseMs > 0) {
        socket.pause()
        setTimeout(() => { socket.resume() }, readPauseMs)
      }
      parser.add(data)
      const state = parser.state()
      if (state === 'invalid') finish({ kind: 'incomplete', reason: 'invalid' }, false)
      if (state === 'complete') finish(parser.outcome(), parser.isReusable())
    }
    // A reset that is seen together with the last bytes is reported as an end, but leaves no peer.
    const onEnd = (): void => { sawEnd = socket.remotePort !== undefined }
    const onClose = (hadError: boolean): void => {
      finish(sawEnd && !hadError && parser.endsWithConnection() ? parser.outcome() : { kind: 'incomplete', reason: hadError ? 'reset' : 'closed' }, false)
    }
    function finish (outcome: CallerOutcome, isReusable: boolean): void {
      clearTimeout(timer)
      socket.off('data', onData).off('end', onEnd).off('close', onClose)
      resolve({ outcome, isReusable })
    }
    socket.on('data', onData).on('end', onEnd).on('close', onClose)
  })
}

interface ResponseParser {
  add (data: Buffer): void
  state (): 'incomplete' | 'complete' | 'invalid'
  hasBegun (): boolean
  /** Whether the head is complete and the end of the connection marks the end of the body. */
  endsWithConnection (): boolean
  isReusable (): boolean
  outcome (): CallerOutcome
}

function createResponseParser (): ResponseParser {
  let rest: Buffer = Buffer.alloc(0)
  let head: { readonly status: number, readonly headers: ReadonlyMap<string, string> } | null = null
  let framing: 'length' | 'chunks' | 'connection' = 'length'
  /** Bytes of the body, or of the present chunk with its line end, that are missing; `null` between chunks. */
  let missing: number | null = 0
  let state: 'incomplete' | 'complete' | 'invalid' = 'incomplete'
  const parts: Buffer[] = []

  function readHead (): boolean {
    const end = rest.indexOf('\r\n\r\n')
    if (end < 0) return false
    const [statusLine = '', ...lines] = rest.subarray(0, end).toString('latin1').split('\r\n')
    rest = rest.subarray(end + 4)
    const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(statusLine)?.[1] ?? 0)
    if (status === 0) state = 'invalid'
    if (status >= 100 && status < 200) return true
    const headers = new Map(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
    head = { status, headers }
    const length = headers.get('content-length')
    if (status === 204 || status === 304) state = 'complete'
    else if (headers.get('transfer-encoding') === 'chunked') {
      framing = 'chunks'
      missing = null
    } else if (length === undefined) {
      framing = 'connection'
      missing = Infinity
    } else missing = Number(length)
    return true
  }

  function readBody (): boolean {
    if (framing === 'chunks' && missing === null) {
      const end = rest.indexOf('\r\n')
      if (end < 0) return false
      const size = Number.parseInt(rest.subarray(0, end).toString('latin1'), 16)
      if (!(size >= 0)) state = 'invalid'
      if (size === 0 && rest.length < end + 4) return false
      rest = rest.subarray(size === 0 ? end + 4 : end + 2)
      if (size === 0) state = 'complete'
      missing = size + 2
      return true
    }
    const bytesLeft = missing ?? 0
    const taken = rest.subarray(0, bytesLeft)
    parts.push(taken.subarray(0, Math.max(0, bytesLeft - (framing === 'chunks' ? 2 : 0))))
    rest = rest.subarray(taken.length)
    missing = bytesLeft - taken.length
    if (missing > 0) return false
    if (framing === 'chunks') missing = null
    else state = 'complete'
    return true
  }

  return {
    add (data) {
      rest = rest.length === 0 ? data : Buffer.concat([rest, data])
      while (state === 'incomplete' && (head === null ? readHead() : readBody()));
    },
    state: () => state,
    hasBegun: () => head !== null,
    endsWithConnection: () => head !== null && framing === 'connection',
    isReusable: () => rest.length === 0 && head?.headers.get('connection')?.toLowerCase() !== 'close',
    outcome: () => ({ kind: 'complete', status: head?.status ?? 0, signature: head?.headers.get('gooseberryfold-backend-signature'), body: summarizeBody(parts), framing })
  }
}
