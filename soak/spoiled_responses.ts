/** Responses of a backend server that violate the protocol: repeated ones, and bytes without end. */
import type { ServerResponse } from 'node:http'

/** How a server spoils its responses. */
export const ResponseFault = { secondCopy: 'second-copy', endlessHead: 'endless-head', endlessBody: 'endless-body', shortChunks: 'short-chunks', interim: 'interim-responses', noise: 'noise' } as const
/** One of the values of {@link ResponseFault}. */
export type ResponseFault = typeof ResponseFault[keyof typeof ResponseFault]

/** Share of the requests whose response a faulty server spoils. */
export const SPOILED_SHARE = 0.15

/** Delay before a second copy of a response, in milliseconds: the connection may be in use again by then. */
const SECOND_COPY_DELAY_MS = 15

/** Bytes that are written at once, and the interval between them, in milliseconds. */
const PART_BYTES = 16 * 1024
const PART_INTERVAL_MS = 5

/** Chunks of one byte. */
const SHORT_CHUNKS = '1\r\nx\r\n'.repeat(PART_BYTES / 6)

/**
 * Sends a response that violates the protocol.
 *
 * @param response Response to spoil; nothing has been sent yet.
 * @param fault How to spoil it.
 * @param complete Headers and body of the correct response.
 */
export function sendSpoiledResponse (response: ServerResponse, fault: ResponseFault, complete: { readonly headers: Readonly<Record<string, string>>, readonly body: string }): void {
  const { socket } = response
  if (socket === null) return
  const head = `HTTP/1.1 200 OK\r\n${Object.entries(complete.headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}`
  function writeWithoutEnd (start: string, part: string): void {
    socket?.write(start)
    const timer = setInterval(() => { if ((socket?.writableLength ?? 0) < PART_BYTES * 4) socket?.write(part) }, PART_INTERVAL_MS)
    socket?.on('close', () => { clearInterval(timer) })
  }
  if (fault === ResponseFault.secondCopy) {
    const text = `${head}Content-Length: ${complete.body.length}\r\n\r\n${complete.body}`
    response.writeHead(200, complete.headers).end(complete.body)
    setTimeout(() => { if (!socket.destroyed) socket.write(text) }, SECOND_COPY_DELAY_MS)
  } else if (fault === ResponseFault.endlessHead) writeWithoutEnd(`${head}X-Filler: `, 'x'.repeat(PART_BYTES))
  else if (fault === ResponseFault.endlessBody) writeWithoutEnd(`${head}Transfer-Encoding: chunked\r\n\r\n`, `${PART_BYTES.toString(16)}\r\n${'x'.repeat(PART_BYTES)}\r\n`)
  else if (fault === ResponseFault.shortChunks) writeWithoutEnd(`${head}Transfer-Encoding: chunked\r\n\r\n`, SHORT_CHUNKS)
  else if (fault === ResponseFault.interim) writeWithoutEnd('', 'HTTP/1.1 102 Processing\r\n\r\n')
  else writeWithoutEnd('', '\u0001'.repeat(PART_BYTES))
}
