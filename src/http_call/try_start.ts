/** Starts requests whose address or headers the runtime may reject with an exception. */
import type { ClientRequest } from 'node:http'

/**
 * Starts a request.
 *
 * @param start Creates the request; throws if the runtime rejects its address or one of its headers.
 * @returns The request, or the error; nothing was sent in that case.
 */
export function tryStart (start: () => ClientRequest): ClientRequest | Error {
  try {
    return start()
  } catch (error) {
    return error instanceof Error ? error : new Error(String(error))
  }
}
