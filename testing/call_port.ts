/** Sends one request to a loopback port and reads the complete response. */
import { request as startRequest, type IncomingHttpHeaders } from 'node:http'
import { TEST_HEADER_NAMES } from './fake_backend.ts'

/** A complete response. */
export interface CallerResponse { readonly status: number, readonly headers: IncomingHttpHeaders, readonly body: string }

/** Options of {@link callPort}. */
export interface CallPortOptions {
  /** Attempt identifier. Default: `a1`. */
  readonly id?: string
  /** Default: GET without a body, POST with one. */
  readonly method?: string
  readonly body?: string
  /** Shard key. Default: none. */
  readonly key?: number
  /** Deadline sent in the request, in milliseconds from now. Default: 2000. */
  readonly deadlineMs?: number
  /** Time after which the caller aborts the request, in milliseconds. Default: never. */
  readonly abortAfterMs?: number
}

/**
 * Sends a request over a new connection.
 *
 * @param target Port and path.
 * @param options The request.
 * @returns The response; rejects if the connection fails, the response is cut short or the caller aborts.
 */
export function callPort ({ port, path }: { readonly port: number, readonly path: string }, options: CallPortOptions = {}): Promise<CallerResponse> {
  return new Promise((resolve, reject) => {
    const request = startRequest({
      port,
      host: '127.0.0.1',
      agent: false,
      method: options.method ?? (options.body === undefined ? 'GET' : 'POST'),
      path,
      headers: { Host: 'one.example', [TEST_HEADER_NAMES.attemptId]: options.id ?? 'a1', [TEST_HEADER_NAMES.deadlineMs]: String(options.deadlineMs ?? 2000), ...(options.key === undefined ? {} : { [TEST_HEADER_NAMES.key]: String(options.key) }) }
    })
    request.on('error', reject)
    request.on('response', (response) => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => { chunks.push(chunk) })
      response.on('end', () => { resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString() }) })
      response.on('error', reject)
    })
    if (options.abortAfterMs !== undefined) setTimeout(() => { request.destroy(new Error('The caller aborted the request')) }, options.abortAfterMs)
    request.end(options.body)
  })
}
