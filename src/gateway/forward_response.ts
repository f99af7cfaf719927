/** Forwards a server's response to the caller or relay client; an incomplete response never looks complete. */
import type { ServerResponse } from 'node:http'
import { createBodyBlocks, resetConnection } from '../http_call/mod.ts'
import { responseHeaders } from './forwarded_headers.ts'
import { RelayHeader } from './relay_selector.ts'
import { nameBodyEnd } from './response_body.ts'
import { BodyEnd, BodyFraming, type ResponseBodyRecord } from './response_body_record.ts'
import type { ResponseAccount } from './response_memory.ts'
import type { AttemptOutcome } from './send_attempt.ts'

/** Outcomes with a response of the server. */
export type BackendResponse = Extract<AttemptOutcome, { readonly kind: 'answer' | 'stream' }>

/** Options of {@link forwardResponse}. */
export interface ForwardResponseOptions {
  /** Whether the connection is closed after the response. */
  readonly closesConnection: boolean
  /** Whether the response goes to another host and not to a caller. Default: false. */
  readonly isToHost?: boolean
  /** Server that has responded, if the other host has named another one. */
  readonly server?: string
  /** What this host keeps of the response until the caller has read it. */
  readonly memory: ResponseAccount
  /** Ends a response that is still being received: a server may send a body without end. */
  readonly signal: AbortSignal
}

/** A response that was forwarded, or as much of it as there was. */
export interface ForwardedResponse {
  /** Whether the server's response was complete. */
  readonly isWhole: boolean
  readonly body: ResponseBodyRecord
}

/**
 * Forwards a response.
 *
 * @param response Response that is written.
 * @param backendResponse The server's response, or its beginning.
 * @param options Where it goes, and what may end it.
 * @returns Whether the server's response was complete, and how its body ended.
 */
export async function forwardResponse (response: ServerResponse, backendResponse: BackendResponse, options: ForwardResponseOptions): Promise<ForwardedResponse> {
  const framing = forwardedFraming(response, backendResponse, options)
  response.writeHead(backendResponse.status, forwardedHeaders(response, backendResponse, { ...options, framing }) as unknown as Record<string, string>)
  if (backendResponse.kind === 'answer') {
    // A response that waits for another one on its connection is cut only with the connection.
    options.memory.onEnd(() => { resetConnection(response.req.socket) })
    response.end(backendResponse.body)
    const { body: { length } } = backendResponse
    return { isWhole: true, body: { ...receivedMark(backendResponse), receivedBytes: length, forwardedBytes: length, end: nameBodyEnd({ kind: 'whole' }, backendResponse.mark), isStreamed: false } }
  }
  const { start, rest } = backendResponse
  const abort = (): void => {
    const { socket } = response.req
    rest.stop(socket.destroyed || socket.readableEnded ? BodyEnd.callerLeft : BodyEnd.timeout)
  }
  options.memory.onEnd(() => {
    rest.stop(BodyEnd.memory)
    resetConnection(response.req.socket)
  })
  /** Parts that wait for the one that is being written: the runtime keeps hundreds of bytes for each. */
  const waiting = createBodyBlocks()
  let isWriting = false
  function write (part: Buffer): void {
    isWriting = true
    response.write(part, () => {
      isWriting = false
      if (!response.writableEnded && !response.destroyed) {
        if (waiting.length() > 0) write(waiting.takeAll())
        else rest.resume()
      }
      recordMemory()
    })
  }
  function recordMemory (): void { options.memory.set(response.writableLength + waiting.allocatedBytes()) }
  write(start)
  recordMemory()
  rest.read((part) => {
    if (isWriting) {
      waiting.add(part)
      rest.pause()
    } else write(part)
    recordMemory()
  })
  response.on('close', () => { rest.stop(BodyEnd.callerLeft) })
  options.signal.addEventListener('abort', abort)
  if (options.signal.aborted) abort()
  const ending = await rest.ending
  const isWhole = ending.kind === 'whole'
  const forwardedBytes = rest.receivedBytes() - (isWhole ? 0 : response.writableLength + waiting.length())
  options.signal.removeEventListener('abort', abort)
  if (isWhole) response.end(waiting.length() > 0 ? waiting.takeAll() : undefined)
  else breakOff(response, framing)
  return { isWhole, body: { ...receivedMark(backendResponse), receivedBytes: rest.receivedBytes(), forwardedBytes: Math.max(0, forwardedBytes), end: nameBodyEnd(ending, rest.mark), isStreamed: true } }
}

/** How the end of a response was marked where this host received it, and before. */
function receivedMark ({ mark, serverFraming }: BackendResponse): Pick<ResponseBodyRecord, 'framing' | 'statedBytes' | 'serverFraming'> {
  return { ...mark, ...(serverFraming === mark.framing ? {} : { serverFraming }) }
}

/**
 * How the end of a response is marked for its receiver: for a caller as its
 * server has marked it, since a length or a last chunk would promise more
 * than the server did; for another host always by one of these, since the
 * connections of a host that is killed are closed in order.
 */
function forwardedFraming (response: ServerResponse, { kind, serverFraming }: BackendResponse, { isToHost = false }: ForwardResponseOptions): BodyFraming {
  if (serverFraming === BodyFraming.none || serverFraming === BodyFraming.length) return serverFraming
  if (serverFraming === BodyFraming.connectionEnd && !isToHost) return serverFraming
  if (kind === 'answer') return BodyFraming.length
  // Older callers know no chunks.
  return response.useChunkedEncodingByDefault ? BodyFraming.chunks : BodyFraming.connectionEnd
}

function forwardedHeaders (response: ServerResponse, backendResponse: BackendResponse, { framing, closesConnection, server, isToHost = false }: ForwardResponseOptions & { readonly framing: BodyFraming }): string[] {
  const headers = responseHeaders(backendResponse.headers)
  if (server !== undefined) headers.push(RelayHeader.server, server)
  if (framing === BodyFraming.length) headers.push('Content-Length', backendResponse.kind === 'answer' ? String(backendResponse.body.length) : String(backendResponse.mark.statedBytes))
  if (framing === BodyFraming.connectionEnd) {
    response.useChunkedEncodingByDefault = false
    response.shouldKeepAlive = false
  }
  if (closesConnection || framing === BodyFraming.connectionEnd) headers.push('Connection', 'close')
  // As an option of the connection, it is passed on by no host, not even by one that does not know it.
  if (isToHost && backendResponse.serverFraming === BodyFraming.connectionEnd) headers.push(RelayHeader.noLength, '1', 'Connection', RelayHeader.noLength)
  return headers
}

/** Ends a response that is not whole, so that its receiver notices. */
function breakOff (response: ServerResponse, framing: BodyFraming): void {
  // A connection that is closed in order would be the end of such a body. Without a socket, nothing of it has been sent.
  if (framing === BodyFraming.connectionEnd && response.socket !== null) resetConnection(response.socket)
  response.destroy()
}

/**
 * Waits until a response that has ended is completely handed to the network, or its connection is closed.
 *
 * @param response The response.
 */
export async function waitUntilSent (response: ServerResponse): Promise<void> {
  if (!response.writableEnded || response.writableFinished || response.destroyed) return
  await new Promise<void>((resolve) => {
    response.once('finish', resolve)
    response.once('close', resolve)
  })
}
