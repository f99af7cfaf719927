/** Short calls over HTTP/1.1 that are answered whole or not at all. */
import { Agent, request as startRequest } from 'node:http'

/** A call. */
export interface HttpCall {
  /** Host and port. */
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  /** Time without a byte of an answer after which the call counts as unanswered, in milliseconds. */
  readonly timeoutMs: number
}

/** How a call ended. */
export type HttpCallOutcome =
  | { readonly kind: 'answered', readonly status: number, readonly headers: Readonly<Record<string, string | string[] | undefined>>, readonly text: string }
  /** No connection could be made: nothing was sent. */
  | { readonly kind: 'refused' }
  /** The call may have been received. */
  | { readonly kind: 'lost', readonly detail: string }

/** Maker of calls; connections are kept for later calls. */
export interface HttpClient {
  call (call: HttpCall): Promise<HttpCallOutcome>
  close (): void
}

/** Options of {@link createHttpClient}. */
export interface HttpClientOptions {
  /** Connections to one address at most. Default: 8. */
  readonly connections?: number
}

/** Longest time of a call whose answer goes on coming, as a multiple of the time without a byte. */
const LONGEST_FACTOR = 4

/**
 * Creates a caller.
 *
 * @param options Limits.
 * @returns The caller; no call throws.
 */
export function createHttpClient (options: HttpClientOptions = {}): HttpClient {
  const agent = new Agent({ keepAlive: true, maxSockets: options.connections ?? 8, scheduling: 'lifo' })

  return {
    call: (call) => new Promise((resolve) => {
      const [host, port] = call.address.split(':')
      const request = startRequest({
        agent,
        host,
        port,
        method: call.method,
        path: call.path,
        headers: call.body === undefined ? call.headers : { ...call.headers, 'content-length': Buffer.byteLength(call.body) }
      })
      function giveUp (): void {
        // Without a reset, what a partition holds up would still be delivered once it has healed.
        if (request.socket?.connecting === false) request.socket.resetAndDestroy()
        request.destroy(new Error(`No answer within ${call.timeoutMs} ms`))
      }
      const timer = setTimeout(giveUp, call.timeoutMs)
      const longestTimer = setTimeout(giveUp, call.timeoutMs * LONGEST_FACTOR)
      function end (outcome: HttpCallOutcome): void {
        clearTimeout(timer)
        clearTimeout(longestTimer)
        resolve(outcome)
      }
      request.on('response', (response) => {
        const parts: Buffer[] = []
        response.on('data', (part: Buffer) => {
          parts.push(part)
          timer.refresh()
        })
        response.on('end', () => {
          if (!response.complete) return end({ kind: 'lost', detail: 'The answer broke off' })
          end({ kind: 'answered', status: response.statusCode ?? 0, headers: response.headers, text: Buffer.concat(parts).toString('utf8') })
        })
        response.on('error', (error) => { end({ kind: 'lost', detail: error.message }) })
      })
      request.on('error', (error: NodeJS.ErrnoException) => {
        end(error.code === 'ECONNREFUSED' && !request.reusedSocket ? { kind: 'refused' } : { kind: 'lost', detail: error.message })
      })
      request.end(call.body)
    }),
    close () { agent.destroy() }
  }
}
