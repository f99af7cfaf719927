/** Writes a server's answer to whoever asked, so that one that broke off never looks complete. */
import type { ServerResponse } from 'node:http'
import { responseHeaders } from './forwarded_headers.ts'
import type { AttemptOutcome } from './send_attempt.ts'

/** Outcomes that bear a server's answer. */
export type BackendResponse = Extract<AttemptOutcome, { readonly kind: 'answer' | 'stream' }>

/** Options of {@link forwardResponse}. */
export interface ForwardResponseOptions {
  /** Method of the request: the answer to HEAD has no body, whatever its length says. */
  readonly method: string
  /** Whether the connection is to be closed afterwards. */
  readonly closesConnection: boolean
}

/**
 * Writes an answer.
 *
 * @param response Where to.
 * @param answer The server's answer, or its beginning.
 * @param options What is known of the request.
 * @returns Whether the answer was whole.
 */
export async function forwardResponse (response: ServerResponse, answer: BackendResponse, options: ForwardResponseOptions): Promise<boolean> {
  const headers = responseHeaders(answer.headers)
  if (options.closesConnection || (answer.kind === 'answer' && !answer.isFramed)) headers.push('Connection', 'close')
  if (answer.kind === 'answer') {
    if (!answer.isFramed) {
      // The router vouches for no length that the server did not state: the caller sees the end of the connection, too.
      response.useChunkedEncodingByDefault = false
      response.shouldKeepAlive = false
    } else if (options.method !== 'HEAD' && answer.status !== 204 && answer.status !== 304) headers.push('Content-Length', String(answer.body.length))
    response.writeHead(answer.status, headers as unknown as Record<string, string>)
    response.end(answer.body)
    return true
  }
  response.writeHead(answer.status, headers as unknown as Record<string, string>)
  response.write(answer.start)
  answer.rest.on('data', (part: Buffer) => {
    if (!response.write(part)) answer.rest.pause()
  })
  response.on('drain', () => { answer.rest.resume() })
  answer.rest.resume()
  await new Promise<void>((resolve) => {
    answer.rest.on('close', () => {
      if (answer.rest.complete) response.end()
      else response.destroy()
      resolve()
    })
    response.on('close', () => { answer.rest.destroy(); resolve() })
  })
  return answer.rest.complete
}
