/**
 * Remembers which attempts a server has answered on a connection.
 *
 * A faulty server may write a response once more. If the same attempt is sent
 * again on the same connection, the copy would look like the response to it:
 * a copy of a refusal although the server may run it, a copy of a failure or of
 * a success in place of what the server answers now.
 */
import type { Socket } from 'node:net'

/** Maximum number of attempts remembered for a connection; an attempt is sent again at once or not at all. */
const MAXIMUM_REMEMBERED_ATTEMPTS = 64

const attemptsBySocket = new WeakMap<Socket, Set<string>>()

/** Records that the server has answered an attempt on a connection. */
export function recordAnsweredAttempt (socket: Socket, attempt: string): void {
  const attempts = attemptsBySocket.get(socket) ?? new Set<string>()
  attemptsBySocket.set(socket, attempts)
  attempts.add(attempt)
  const [oldest] = attempts
  if (attempts.size > MAXIMUM_REMEMBERED_ATTEMPTS && oldest !== undefined) attempts.delete(oldest)
}

/** Whether the server has answered the attempt on the connection before. */
export function hasAnsweredAttempt (socket: Socket, attempt: string): boolean {
  return attemptsBySocket.get(socket)?.has(attempt) === true
}
