/** A caller that sends one request to a loopback port and takes the whole answer. */
import { request as startRequest, type IncomingHttpHeaders } from 'node:http'
import { TEST_HEADER_NAMES } from './fake_backend.ts'

/** A whole answer. */
export interface CallerResponse { readonly status: number, readonly headers: IncomingHttpHeaders, readonly body: string }

/** Options of {@link callPort}. */
export interface CallPortOptions {
  /** Default: `a1`. */
  readonly id?: string
  /** Default: GET without a body, POST with one. */
  readonly method?: string
  readonly body?: string
  /** Default: none. */
  readonly key?: number
  /** How long the caller says that it waits, in milliseconds. Default: 2000. */
  readonly deadlineMs?: number
  /** Time after which the caller breaks off, in milliseconds. Default: never. */
  readonly abortAfterMs?: number
}

/**
 * Sends a request over a connection of its own.
 *
 * @param target Port and path.
 * @param options The request.
 * @returns The answer; rejects where it broke off or the caller left.
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
      const parts: Buffer[] = []
      response.on('data', (part: Buffer) => { parts.push(part) })
      response.on('end', () => { resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(parts).toString() }) })
      response.on('error', reject)
    })
    if (options.abortAfterMs !== undefined) setTimeout(() => { request.destroy(new Error('left')) }, options.abortAfterMs)
    request.end(options.body)
  })
}
