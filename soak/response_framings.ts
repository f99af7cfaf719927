/** Responses of backend servers in each framing, whole or broken off in each way that shows that they are. */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { pause } from './environment.ts'

/** How a response shows the end of its body. */
export const Framing = { length: 'length', chunks: 'chunks', connection: 'connection' } as const
/** One of the values of {@link Framing}. */
export type Framing = typeof Framing[keyof typeof Framing]

/** How a server breaks a response. `earlyEnd` closes the connection in order, `midChunk` within a chunk. */
export const BodyFault = { reset: 'reset', silence: 'silence', earlyEnd: 'early-end', midChunk: 'mid-chunk', lateCopy: 'late-copy' } as const
/** One of the values of {@link BodyFault}. */
export type BodyFault = typeof BodyFault[keyof typeof BodyFault]

/** Faults by framing: an in-order close of a response without a length is its end, and what follows one is part of it. */
const FAULTS_OF: Readonly<Record<Framing, readonly BodyFault[]>> = {
  length: [BodyFault.reset, BodyFault.silence, BodyFault.earlyEnd, BodyFault.lateCopy],
  chunks: [BodyFault.reset, BodyFault.silence, BodyFault.earlyEnd, BodyFault.midChunk, BodyFault.lateCopy],
  connection: [BodyFault.reset, BodyFault.reset, BodyFault.silence]
}

/** Bytes that are written at once, each part a chunk of its own. */
const PART_BYTES = 32 * 1024

/** Time for which a silent server keeps its connection, in milliseconds: longer than any request may take. */
const SILENCE_MS = 4000

/** Time between the last bytes of a broken response and its end, in milliseconds: the bytes have arrived by then. */
const BREAK_DELAY_MS = 10

/** Delays of a second copy, in milliseconds: in the same packet, or when the connection may be in use again. */
const COPY_DELAYS_MS = [0, 3, 15, 60] as const

/** Last response on each connection. */
const lastResponses = new WeakMap<Socket, ServerResponse>()

/** Resets a connection at once. `resetAndDestroy()` ends it in order first, which a reader that is late takes for the end of a body. */
export function resetConnection (socket: Socket): void {
  Object.assign(socket, { resetAndClosing: true })
  socket.destroy()
}

/** Picks a fault that a framing allows. */
export function pickBodyFault (framing: Framing, random: () => number): BodyFault {
  const faults = FAULTS_OF[framing]
  return faults[Math.floor(random() * faults.length)] ?? BodyFault.reset
}

/** Options of {@link writeResponse}. */
export interface WriteResponseOptions {
  readonly status: 200 | 204
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  readonly framing: Framing
  /** How the response is broken; `null` if it is whole. */
  readonly fault: BodyFault | null
  /** Pause between two parts of the body, in milliseconds. */
  readonly partPauseMs: number
  readonly random: () => number
}

/**
 * Writes a response.
 *
 * @param response Response to write; nothing has been sent yet.
 * @param options What is written, and how.
 */
export async function writeResponse (response: ServerResponse, options: WriteResponseOptions): Promise<void> {
  const { status, headers, body, framing, fault, random } = options
  const { socket } = response
  if (socket === null || response.destroyed) return
  lastResponses.set(socket, response)
  if (status === 204) {
    response.writeHead(204, headers).end()
    if (fault === BodyFault.lateCopy) await writeCopy(response, options)
    return
  }
  if (framing === Framing.connection) {
    response.useChunkedEncodingByDefault = false
    response.shouldKeepAlive = false
  }
  response.writeHead(200, framing === Framing.length ? { ...headers, 'Content-Length': body.length } : headers)
  const isWhole = fault === null || fault === BodyFault.lateCopy
  // With a length a part is missing, else also the last chunk or the end of the connection alone.
  const end = isWhole ? body.length : Math.floor(body.length * Math.min(1, random() * (framing === Framing.length ? 1 : 1.1)))
  response.flushHeaders()
  for (let start = 0; start < end && !socket.destroyed; start += PART_BYTES) {
    if (start > 0) await pause(options.partPauseMs)
    if (socket.writableNeedDrain) await new Promise<void>((resolve) => { socket.once('drain', resolve).once('close', resolve) })
    response.write(body.subarray(start, Math.min(end, start + PART_BYTES)))
  }
  if (isWhole && fault !== null) return await writeCopy(response, options)
  if (isWhole) {
    response.end()
    return
  }
  if (fault === BodyFault.midChunk) socket.write(`${PART_BYTES.toString(16)}\r\n${'m'.repeat(Math.floor(random() * PART_BYTES))}`)
  await pause(fault === BodyFault.silence ? SILENCE_MS : BREAK_DELAY_MS)
  if (fault === BodyFault.earlyEnd || (fault === BodyFault.midChunk && random() < 0.5)) socket.end()
  else resetConnection(socket)
}

/** Ends a response and writes it a second time. */
async function writeCopy (response: ServerResponse, { status, headers, body, random }: WriteResponseOptions): Promise<void> {
  const { socket } = response
  const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  const delayMs = COPY_DELAYS_MS[Math.floor(random() * COPY_DELAYS_MS.length)] ?? 0
  socket?.cork()
  if (!response.writableEnded) response.end()
  if (delayMs > 0) {
    socket?.uncork()
    await pause(delayMs)
  }
  // A copy arrives where the next response is expected, not within one.
  if (socket?.destroyed === false && lastResponses.get(socket) === response) {
    socket.write(`HTTP/1.1 ${status} OK\r\n${head}${status === 204 ? '' : `Content-Length: ${body.length}\r\n`}\r\n`)
    if (status !== 204) socket.write(body)
  }
  if (delayMs === 0) socket?.uncork()
}
