/**
 * Bounds what a server may send before its final response.
 *
 * The runtime reports each interim response and waits for the next head, so
 * that a server which sends them without end holds a request without end. After
 * a switch to another protocol, it reports no response at all.
 */
import type { ClientRequest } from 'node:http'

/** Maximum number of interim responses (status 1xx) before the final one: more than any server has a reason to send. */
export const MAXIMUM_INTERIM_RESPONSES = 8

/**
 * Calls `onInvalid` if a server sends too many interim responses, or switches to another protocol; no final response follows then.
 *
 * @param request The request.
 * @param onInvalid Receives the cause, and ends the request.
 */
export function watchInterimResponses (request: ClientRequest, onInvalid: (detail: string) => void): void {
  let count = 0
  request.on('information', () => {
    count++
    if (count === MAXIMUM_INTERIM_RESPONSES + 1) onInvalid(`The server sent more than ${MAXIMUM_INTERIM_RESPONSES} interim responses`)
  })
  request.on('upgrade', (_response, socket) => {
    socket.destroy()
    onInvalid('The server switched to another protocol')
  })
}
