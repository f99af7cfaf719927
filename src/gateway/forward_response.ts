/** Forwards a server's response to the caller or relay client; an incomplete response never looks complete. */
import type { ServerResponse } from 'node:http'
import { responseHeaders } from './forwarded_headers.ts'
import type { AttemptOutcome } from './send_attempt.ts'

/** Outcomes with a response of the server. */
export type BackendResponse = Extract<AttemptOutcome, { readonly kind: 'answer' | 'stream' }>

/** Options of {@link forwardResponse}. */
export interface ForwardResponseOptions {
  /** Method of the request: the response to HEAD has no body, even with a length. */
  readonly method: string
  /** Whether the connection is closed after the response. */
  readonly closesConnection: boolean
}

/**
 * Forwards a response.
 *
 * @param response Response that is written.
 * @param answer The server's response, or its beginning.
 * @param options Properties of the request.
 * @returns Whether the server's response was complete.
 */
export async function forwardResponse (response: ServerResponse, answer: BackendResponse, options: ForwardResponseOptions): Promise<boolean> {
  const headers = responseHeaders(answer.headers)
  if (options.closesConnection || (answer.kind === 'answer' && !answer.isFramed)) headers.push('Connection', 'close')
  if (answer.kind === 'answer') {
    if (!answer.isFramed) {
      // The router adds no length that the server did not state: the end of the connection marks the end for the caller, too.
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
