/** Reads responses from a caller's socket, byte by byte, and tells which of them look complete to the caller. */
import { connect, type Socket } from 'node:net'
import { probeAtEnd } from '../src/http_call/mod.ts'

/** What a caller has received on one connection. */
export interface ReceivedBytes {
  readonly bytes: Buffer
  /** How the connection ended; `open` if it is still open. */
  readonly end: 'closed' | 'reset' | 'open'
}

/** A response as a caller sees it. */
export interface RawResponse {
  readonly status: number
  /** Header names are in lower case. */
  readonly headers: ReadonlyMap<string, string>
  /** How the end of the body is marked. */
  readonly framing: 'none' | 'length' | 'chunks' | 'connection-end'
  readonly body: Buffer
  /** Whether nothing shows the caller that bytes are missing. */
  readonly looksComplete: boolean
}

/** Options of {@link exchangeRaw}. */
export interface ExchangeRawOptions {
  /** Time after which the caller stops to wait, in milliseconds. Default: 3000. */
  readonly timeoutMs?: number
  /** Time for which the caller does not read, in milliseconds. Default: 0. */
  readonly pauseMs?: number
  /** Ends the wait before the connection ends. Default: never. */
  readonly isEnough?: (bytes: Buffer) => boolean
}

/**
 * Sends bytes to a loopback port and reads until the connection ends.
 *
 * @param port The port.
 * @param text What is sent.
 * @param options When to stop.
 * @returns All that was received.
 */
export async function exchangeRaw (port: number, text: string | Buffer, options: ExchangeRawOptions = {}): Promise<ReceivedBytes> {
  const socket: Socket = connect(port, '127.0.0.1')
  const parts: Buffer[] = []
  return await new Promise((resolve) => {
    function settle (end: ReceivedBytes['end']): void {
      clearTimeout(timer)
      socket.destroy()
      resolve({ bytes: Buffer.concat(parts), end })
    }
    const timer = setTimeout(() => { settle('open') }, options.timeoutMs ?? 3000)
    socket.on('data', (part) => {
      parts.push(part)
      if (options.isEnough?.(Buffer.concat(parts)) === true) settle('open')
    })
    probeAtEnd(socket)
    socket.on('error', () => { settle('reset') })
    socket.on('close', () => { settle('closed') })
    socket.write(text)
    if (options.pauseMs === undefined) return
    socket.pause()
    setTimeout(() => { socket.resume() }, options.pauseMs)
  })
}

/**
 * Splits what a caller has received into responses, as the caller's parser does.
 *
 * @param received What was received.
 * @param methods Methods of the requests, in order. Default: `GET` for each.
 * @returns The responses; the last one may be incomplete.
 * @throws Error if the bytes are no response.
 */
export function parseResponses ({ bytes, end }: ReceivedBytes, methods: readonly string[] = []): RawResponse[] {
  const responses: RawResponse[] = []
  let rest = bytes
  while (rest.length > 0) {
    const headEnd = rest.indexOf('\r\n\r\n')
    if (headEnd < 0) return responses
    const [statusLine = '', ...lines] = rest.subarray(0, headEnd).toString('latin1').split('\r\n')
    const status = Number(/^HTTP\/1\.[01] (\d{3}) /.exec(statusLine)?.[1] ?? NaN)
    if (Number.isNaN(status)) throw new Error(`${JSON.stringify(statusLine.slice(0, 80))} is no status line`)
    const headers = new Map(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()] as const))
    const { framing, body, taken, isEnded } = readBody(rest.subarray(headEnd + 4), { status, headers, method: methods[responses.length] ?? 'GET' })
    responses.push({ status, headers, framing, body, looksComplete: isEnded || (framing === 'connection-end' && end === 'closed') })
    rest = rest.subarray(headEnd + 4 + taken)
  }
  return responses
}

/** Reads a body; `taken` is the number of bytes on the connection that belong to it. */
function readBody (bytes: Buffer, { status, headers, method }: Pick<RawResponse, 'status' | 'headers'> & { readonly method: string }): Pick<RawResponse, 'framing' | 'body'> & { readonly taken: number, readonly isEnded: boolean } {
  if (method === 'HEAD' || status === 204 || status === 304) return { framing: 'none', body: Buffer.alloc(0), taken: 0, isEnded: true }
  if (headers.has('transfer-encoding')) return readChunks(bytes)
  const length = headers.get('content-length')
  if (length === undefined) return { framing: 'connection-end', body: bytes, taken: bytes.length, isEnded: false }
  return { framing: 'length', body: bytes.subarray(0, Number(length)), taken: Math.min(bytes.length, Number(length)), isEnded: bytes.length >= Number(length) }
}

function readChunks (bytes: Buffer): ReturnType<typeof readBody> {
  const parts: Buffer[] = []
  let position = 0
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', position)
    const length = lineEnd < 0 ? NaN : parseInt(bytes.subarray(position, lineEnd).toString('latin1'), 16)
    const next = lineEnd + 2 + length + 2
    if (Number.isNaN(length) || next > bytes.length) return { framing: 'chunks', body: Buffer.concat(parts), taken: bytes.length, isEnded: false }
    if (length === 0) return { framing: 'chunks', body: Buffer.concat(parts), taken: next, isEnded: true }
    parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + length))
    position = next
  }
}
