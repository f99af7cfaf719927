/**
 * Stands between a connection and the runtime's parser.
 *
 * The runtime parses all that it has read from a connection at once: 64 KB are
 * 2,000 short requests or 10,000 chunks, each of which costs far more than its
 * bytes. Here the parser gets small parts, and none while the caller or the
 * host has reached a limit; the connection is then not read either.
 *
 * A connection is closed in order behind its last response: the operating
 * system would reset one that is closed while bytes of its caller are unread or
 * on their way, and drop what the caller has not read yet. So this side is
 * ended, and what still comes is read and discarded until the caller closes.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { resetConnection } from '../http_call/mod.ts'
import { Held, type CallerAccount, EndCause } from './caller_account.ts'
import { registerConnection } from './connection_of.ts'
import { CONNECTION_BYTES, HEAD_BYTE_COST, HEADER_BYTES, REQUEST_BYTES } from './costs.ts'
import { LINGER_BYTES, LINGER_MS, MAXIMUM_OPEN_REQUESTS, PART_BYTES, READER_STALL_MS, REFUSED_LINGER_MS } from './default_limits.ts'
import type { ParseTurns } from './parse_turns.ts'

/** Options of {@link limitConnection}. */
export interface LimitConnectionOptions {
  readonly account: CallerAccount
  /** Listener that has accepted the connection. */
  readonly listener?: object
  /** Passes bytes to the runtime's parser. */
  readonly parse: (part: Buffer) => void
  /** Time for parsing, which all connections share. */
  readonly turns: ParseTurns
  /** Whether the connection is to be closed as soon as it is idle. Default: it is not. */
  readonly isStopping?: () => boolean
  /** Times in milliseconds; a change of the configuration changes them. */
  readonly timeouts: () => ConnectionTimeouts
}

/** Times after which a connection is closed, in milliseconds. */
export interface ConnectionTimeouts {
  /** From the first byte of a request's head to its last. */
  readonly headMs: number
  /** Without a request, or without a byte of a body. */
  readonly idleMs: number
}

/** A connection with limits. */
export interface LimitedConnection {
  /** Records a request that has been read. */
  onRequest (request: IncomingMessage, response: ServerResponse): void
  /** Closes the connection in order, if it is idle. */
  endIdle (): void
  /** Responds to bytes that are no request, and closes the connection in order; without a response if requests are in progress. */
  refuse (response: string): void
  /** Whether the caller has not closed the connection yet, which is closed in order here. */
  isClosing (): boolean
  /** Checks the times; called at an interval with the time since the last call, in milliseconds. */
  check (elapsedMs: number): void
}

/** Response to a caller whose head is not complete in time, as the runtime sends it. */
const HEAD_TIMEOUT_RESPONSE = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n'

/** Unparsed bytes of a connection up to which a paused socket is emptied, in bytes: one read of the runtime. */
const MAXIMUM_QUEUED_BYTES = 64 * 1024

interface OpenRequest {
  readonly response: ServerResponse
  readonly headBytes: number
  bodyBytes: number
  onBlocked: () => void
}

/**
 * Puts a connection under limits.
 *
 * @param socket The connection; nothing else may read it.
 * @param options Account, parser, clock and times.
 * @returns The connection.
 */
export function limitConnection (socket: Socket, options: LimitConnectionOptions): LimitedConnection {
  const open = new Map<IncomingMessage, OpenRequest>()
  let queue: Buffer | null = null
  let queuedBytes = 0
  let last: IncomingMessage | null = null
  let bodyIsStopped = false
  let endsAfterLast = false
  let isParsing = false
  let headBytes = 0
  let headMs = -1
  let restMs = 0
  let outputBytes = 0
  let hasProgressed = false
  let hasEnded = false
  let sentBytes = 0
  let isClosing = false
  let lingerMs = 0
  let lingerLimitMs = LINGER_MS
  let discardedBytes = 0

  const account = options.account.open({
    address: socket.remoteAddress ?? '',
    ...(options.listener === undefined ? {} : { listener: options.listener }),
    end (cause) {
      if (cause === EndCause.head && !isClosing && open.size === 0 && socket.writableLength === 0) {
        lingerLimitMs = REFUSED_LINGER_MS
        socket.write(HEAD_TIMEOUT_RESPONSE)
        return closeInOrder()
      }
      hasEnded = true
      queue = null
      socket.pause()
      // A reset also frees what the network keeps for a caller that does not read.
      resetConnection(socket)
    },
    onFull () { if (!account.mayRead()) socket.pause() },
    onRoom: advance
  })
  account.change(Held.connections, CONNECTION_BYTES)

  /** Ends this side of the connection behind what is still to be sent. */
  function closeInOrder (): void {
    if (isClosing || hasEnded || socket.destroyed) return
    isClosing = true
    queue = null
    account.change(Held.unparsed, -queuedBytes)
    queuedBytes = 0
    setHeadBytes(0)
    socket.end()
    socket.resume()
  }
  // The runtime closes a connection in this way behind a response with `Connection: close`.
  socket.destroySoon = closeInOrder

  function isInBody (): boolean {
    return last !== null && !last.complete
  }

  /** Bytes of responses that the caller has not read. */
  function unreadBytes (): number {
    let bytes = socket.writableLength
    for (const { response } of open.values()) bytes += response.socket === null ? response.writableLength : 0
    return bytes
  }

  /** Whether the parser may get the next part of what has been read. */
  function mayParse (): boolean {
    // The runtime stops by itself if the caller reads no responses; its parser must get nothing then.
    if (hasEnded || socket.destroyed || (socket as Socket & { readonly _paused?: boolean })._paused === true) return false
    // Bytes of a body are held already, and take no more once they are parsed; a request takes far more than its bytes.
    if (isInBody()) return !bodyIsStopped
    // What has been read must not wait for room that only its own request would make.
    const hasRoom = open.size === 0 || account.mayRead()
    return hasRoom && !endsAfterLast && open.size < MAXIMUM_OPEN_REQUESTS && !socket.writableNeedDrain && unreadBytes() < socket.writableHighWaterMark
  }

  /** Whether more may be read from the network. */
  function mayRead (): boolean {
    if (isClosing) return true
    return queue === null && account.mayRead() && mayParse()
  }

  function setHeadBytes (bytes: number): void {
    account.change(Held.heads, (bytes - headBytes) * HEAD_BYTE_COST)
    headBytes = bytes
  }

  function parsePart (data: Buffer): void {
    const part = data.subarray(0, isInBody() ? PART_BYTES.body : account.mayRead() ? PART_BYTES.message : PART_BYTES.messageWhenFull)
    queue = part.length < data.length ? data.subarray(part.length) : null
    const wasInBody = isInBody()
    // Bytes that turn out to be those of a body or of a complete head are taken off again.
    const isHead = wasInBody ? last !== null && open.has(last) : headBytes > 0 || !isBlank(part)
    if (isHead) setHeadBytes(headBytes + part.length)
    hasProgressed = true
    options.parse(part)
    if (wasInBody && !isInBody()) setHeadBytes(0)
  }

  /** Parses one part of what has been read, and reads on if nothing of it is left; returns whether more is waiting. */
  function takeTurn (): boolean {
    if (isParsing || isClosing) return false
    isParsing = true
    if (queue !== null && mayParse()) parsePart(queue)
    isParsing = false
    // A part may have ended the last request.
    if (isClosing) return false
    if (queue === null) {
      account.change(Held.unparsed, -queuedBytes)
      queuedBytes = 0
    }
    if (mayRead()) socket.resume()
    else socket.pause()
    return queue !== null && mayParse()
  }

  /** Passes on what has been read, as far as the limits allow. */
  function advance (): void {
    if (!isParsing) options.turns.add(takeTurn)
  }

  function isIdle (): boolean {
    return open.size === 0 && queue === null && headBytes === 0 && !isInBody()
  }

  function closeRequest (request: IncomingMessage): void {
    const entry = open.get(request)
    if (entry === undefined) return
    open.delete(request)
    if (request === last && request.complete) last = null
    account.change(Held.requests, -entry.headBytes)
    account.change(Held.bodies, -entry.bodyBytes)
    // Nothing more is read behind the response that was to be the last one.
    if (open.size === 0 && (endsAfterLast || (options.isStopping?.() === true && isIdle()))) closeInOrder()
    else advance()
  }

  socket.on('data', (data) => {
    if (hasEnded) return
    if (isClosing) {
      discardedBytes += data.length
      if (discardedBytes > LINGER_BYTES) socket.destroy()
      return
    }
    hasProgressed = true
    queue = queue === null ? data : Buffer.concat([queue, data])
    queuedBytes += data.length
    account.change(Held.unparsed, data.length)
    advance()
  })
  // The runtime reads on whenever a body is read, whatever the limits say.
  socket.on('resume', () => { if (!mayRead()) socket.pause() })
  socket.on('drain', advance)
  socket.once('close', () => {
    queue = null
    open.clear()
    account.close()
  })

  registerConnection(socket, {
    setBody (request, bytes) {
      const entry = open.get(request)
      if (entry === undefined) return
      account.change(Held.bodies, bytes - entry.bodyBytes)
      entry.bodyBytes = bytes
    },
    recordBody (request) { if (request === last) setHeadBytes(0) },
    mayBuffer: account.mayBuffer,
    onBlocked (request, callback) {
      const entry = open.get(request)
      if (entry !== undefined) entry.onBlocked = callback
    },
    setReading (request, isReading) {
      if (request !== last) return
      bodyIsStopped = !isReading
      if (isReading) advance()
      else socket.pause()
    },
    endAfterLast (request) {
      endsAfterLast = true
      return request === last
    }
  })

  /** What the connection waits for: nothing of these if the host or a server is to act. */
  function awaitedPart (): 'body' | 'head' | 'reader' | 'request' | 'room' | null {
    if (socket.writableLength > 0) return 'reader'
    // Room, or time to parse what has been read: bodies in one-byte chunks can take all of it.
    if (!account.mayRead() && (isInBody() ? !bodyIsStopped : open.size === 0 && (queue !== null || headBytes > 0))) return 'room'
    if (!mayRead()) return null
    if (isInBody()) return 'body'
    if (headBytes > 0) return 'head'
    return open.size === 0 ? 'request' : null
  }

  /** Bounds the time in which the caller closes a connection that is closed here. */
  function checkClosing (elapsedMs: number): void {
    const sent = socket.bytesWritten - socket.writableLength
    if (sent !== sentBytes) lingerMs = 0
    sentBytes = sent
    lingerMs += elapsedMs
    account.setRest({ stalledMs: lingerMs, blockedMs: 0, idleMs: 0 })
    if (lingerMs <= lingerLimitMs) return
    options.account.end(account, EndCause.reader)
    socket.destroy()
  }

  return {
    endIdle () { if (isIdle()) closeInOrder() },
    refuse (response) {
      if (open.size > 0 || isClosing || !socket.writable) {
        socket.destroy()
        return
      }
      socket.write(response)
      closeInOrder()
    },
    isClosing: () => isClosing,
    onRequest (request, response) {
      last = request
      bodyIsStopped = false
      headMs = -1
      setHeadBytes(0)
      let textBytes = 0
      for (const text of request.rawHeaders) textBytes += text.length
      const entry = { response, headBytes: REQUEST_BYTES + 2 * textBytes + HEADER_BYTES * request.rawHeaders.length / 2, bodyBytes: 0, onBlocked () {} }
      open.set(request, entry)
      account.change(Held.requests, entry.headBytes)
      response.once('close', () => { closeRequest(request) })
    },
    check (elapsedMs) {
      if (isClosing) return checkClosing(elapsedMs)
      // A paused socket does not show that its caller has left while it keeps unread bytes.
      if (open.size > 0 && socket.readableLength > 0 && queuedBytes < MAXIMUM_QUEUED_BYTES) socket.read()
      const awaited = awaitedPart()
      const sent = socket.bytesWritten - socket.writableLength
      const unread = unreadBytes()
      account.change(Held.responses, unread - outputBytes)
      outputBytes = unread
      restMs = hasProgressed || sent !== sentBytes || awaited === null ? 0 : restMs + elapsedMs
      headMs = awaited !== 'head' ? -1 : headMs < 0 ? 0 : headMs + elapsedMs
      hasProgressed = false
      sentBytes = sent
      account.setRest({ stalledMs: awaited === 'head' ? headMs : awaited === 'body' || awaited === 'reader' ? restMs : 0, blockedMs: awaited === 'room' ? restMs : 0, idleMs: awaited === 'request' ? restMs : 0 })
      if (awaited === 'room' && last !== null && isInBody()) open.get(last)?.onBlocked()
      const { headMs: maximumHeadMs, idleMs } = options.timeouts()
      if (awaited === 'head' && headMs > maximumHeadMs) options.account.end(account, EndCause.head)
      else if (awaited === 'body' && restMs > idleMs) options.account.end(account, EndCause.body)
      else if (awaited === 'reader' && restMs > READER_STALL_MS) options.account.end(account, EndCause.reader)
      // The caller may still read its last response: the network can keep some megabytes.
      else if (awaited === 'request' && restMs > idleMs) closeInOrder()
      // A cause of a stop that has passed unnoticed must not stop the connection for ever.
      else if (queue !== null) advance()
    }
  }
}

/** Whether bytes are the line ends that some callers send behind a body; the runtime skips them. */
function isBlank (part: Buffer): boolean {
  return part.length <= 4 && part.every((byte) => byte === 13 || byte === 10)
}
