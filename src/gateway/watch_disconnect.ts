/**
 * Notices that the peer of a connection has closed it.
 *
 * Node emits `close` only for the response that a connection is sending, not
 * for those of later requests of a peer that pipelines, and `close` of the
 * connection itself only once everything written to it has been sent. The end
 * of the connection's incoming data is the first sign.
 */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Callbacks of the requests in progress on each connection. */
const watchers = new WeakMap<Socket, Set<() => void>>()

/** Returns the callbacks of a connection, which its end and its close call. */
function watchersOf (socket: Socket): Set<() => void> {
  const existing = watchers.get(socket)
  if (existing !== undefined) return existing
  const callbacks = new Set<() => void>()
  function notifyAll (): void {
    const notified = [...callbacks]
    callbacks.clear()
    for (const callback of notified) callback()
  }
  // One listener for all requests: a connection carries any number of them.
  socket.once('end', notifyAll).once('close', notifyAll)
  watchers.set(socket, callbacks)
  return callbacks
}

/**
 * Calls `onDisconnect` once the peer that sent a request closes the connection; at once if it has closed it.
 *
 * @param request The request.
 * @param onDisconnect Called at most once.
 * @returns A function that ends the watch; called when the request has ended.
 */
export function watchDisconnect (request: IncomingMessage, onDisconnect: () => void): () => void {
  const { socket } = request
  if (socket.destroyed || socket.readableEnded) {
    onDisconnect()
    return () => {}
  }
  const callbacks = watchersOf(socket)
  callbacks.add(onDisconnect)
  return () => { callbacks.delete(onDisconnect) }
}
