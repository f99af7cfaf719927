/**
 * Lets a request be written although its server has closed its side of the connection.
 *
 * At that end, the runtime closes the connection and drops what is left of the
 * request. Whether the server has closed the connection in order or resets it
 * because it did not read the request shows only in the rest of the writes.
 */
import type { ClientRequest } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Defers what follows the end of a connection until the request has been written without an error.
 *
 * @param socket Connection on which a response without a marked end has begun.
 * @param request Its request.
 */
export function holdEndUntilSent (socket: Socket, request: ClientRequest): void {
  if (request.writableFinished) return
  // Listeners cannot be removed while they are called, so the runtime's own ones are replaced before.
  const listeners = socket.rawListeners('end')
  socket.removeAllListeners('end')
  function release (): void {
    for (const listener of listeners) listener.call(socket)
  }
  socket.once('end', () => {
    if (request.writableFinished) return release()
    socket.allowHalfOpen = true
    // A write that fails finishes the request as well, before its error ends the connection.
    request.once('finish', () => {
      process.nextTick(() => { if (socket.writable) socket.write('', () => { if (socket.errored === null && !socket.destroyed) release() }) })
    })
  })
}
