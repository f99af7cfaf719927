/** Counting of the bytes that a server's connections have carried. */
import type { Server, Socket } from 'node:net'

/**
 * Counts the bytes of a server's connections, both ways, without IP and TCP headers.
 *
 * @param server The server; to be given before it listens.
 * @returns A function that gives the bytes so far.
 */
export function countBytes (server: Server): () => number {
  const open = new Set<Socket>()
  let closed = 0
  server.on('connection', (socket) => {
    open.add(socket)
    socket.once('close', () => {
      open.delete(socket)
      closed += socket.bytesRead + socket.bytesWritten
    })
  })
  return () => [...open].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, closed)
}
