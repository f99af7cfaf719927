/** Counts the bytes that a server's connections have transferred. */
import type { Server, Socket } from 'node:net'

/**
 * Counts the bytes of a server's connections in both directions, without IP and TCP headers.
 *
 * @param server The server, which must not be listening yet.
 * @returns A function that returns the total number of bytes so far.
 */
export function countBytes (server: Server): () => number {
  const openSockets = new Set<Socket>()
  let closedSocketBytes = 0
  server.on('connection', (socket) => {
    openSockets.add(socket)
    socket.once('close', () => {
      openSockets.delete(socket)
      closedSocketBytes += socket.bytesRead + socket.bytesWritten
    })
  })
  return () => [...openSockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, closedSocketBytes)
}
