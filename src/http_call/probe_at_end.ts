/**
 * Makes a reset visible that the runtime reports as an orderly close.
 *
 * If a reset arrives while there are unread data, libuv reads them and then
 * reports the end of the connection, not the error. The operating system still
 * has the error: it fails the next write, even one without bytes.
 */
import type { Socket } from 'node:net'

/**
 * Writes nothing to a connection once its peer has ended it, so that the connection fails if it was reset.
 *
 * After that, a connection that was closed in order has `readableEnded` set and closes without an error.
 *
 * @param socket The connection; its own side is still open.
 */
export function probeAtEnd (socket: Socket): void {
  // Before the runtime's own listener, which closes this side of the connection.
  socket.prependOnceListener('end', () => { if (socket.writable) socket.write('') })
}
