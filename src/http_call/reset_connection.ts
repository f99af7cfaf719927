/**
 * Resets connections without losing them.
 *
 * While a connection is closing its own side, libuv refuses to reset it. The
 * runtime then neither closes it nor frees its descriptor, and a process that
 * ends waits for it without end.
 */
import type { Socket } from 'node:net'

/**
 * Resets a connection, so that its peer takes nothing on it for an orderly end and nothing that is still on its way is delivered.
 *
 * One that has written everything and is closing its side is closed in order: its peer gets that end in any case.
 *
 * @param socket The connection.
 */
export function resetConnection (socket: Socket): void {
  const isClosing = socket.writableEnded && !socket.writableFinished && socket.writableLength === 0
  if (isClosing) socket.destroy()
  else socket.resetAndDestroy()
}
