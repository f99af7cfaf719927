/** HTTP/1.1 client for short calls whose responses are read completely. */
import { Agent, request as startRequest } from 'node:http'
import { createBodyBlocks } from './body_blocks.ts'
import { receiveBody } from './receive_body.ts'
import { resetConnection } from './reset_connection.ts'
import { describeInvalidStatus } from './response_status.ts'
import { tryStart } from './try_start.ts'
import { watchInterimResponses } from './watch_interim_responses.ts'

/** An HTTP call. */
export interface HttpCall {
  /** Host and port. */
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  /** Maximum time without receiving response data, in milliseconds; then the call counts as lost. */
  readonly timeoutMs: number
}

/** Outcome of a call. */
export type HttpCallOutcome =
  | { readonly kind: 'answered', readonly status: number, readonly headers: Readonly<Record<string, string | string[] | undefined>>, readonly text: string }
  /** The connection was refused: nothing was sent. */
  | { readonly kind: 'refused' }
  /** No complete response was received; the server may have received the call. */
  | { readonly kind: 'lost', readonly detail: string }

/** HTTP client that keeps connections for later calls. */
export interface HttpClient {
  call (call: HttpCall): Promise<HttpCallOutcome>
  close (): void
}

/** Options of {@link createHttpClient}. */
export interface HttpClientOptions {
  /** Maximum connections to one address. Default: 8. */
  readonly connections?: number
  /** Maximum length of a response, in bytes; a longer one counts as lost. Default: 16 MiB. */
  readonly maximumResponseBytes?: number
}

/** Maximum duration of a call, as a multiple of its maximum time without response data. */
const MAXIMUM_DURATION_FACTOR = 4

/** Default maximum length of a response, in bytes: several pages of the store, and little of a host's memory. */
const DEFAULT_MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024

/**
 * Creates an HTTP client.
 *
 * @param options Limits of connections and responses.
 * @returns The client; its calls never throw.
 */
export function createHttpClient (options: HttpClientOptions = {}): HttpClient {
  const agent = new Agent({ keepAlive: true, maxSockets: options.connections ?? 8, scheduling: 'lifo' })
  const maximumResponseBytes = options.maximumResponseBytes ?? DEFAULT_MAXIMUM_RESPONSE_BYTES

  return {
    call: (call) => new Promise((resolve) => {
      const [host, port] = call.address.split(':')
      const started = tryStart(() => startRequest({
        agent,
        host,
        port,
        method: call.method,
        path: call.path,
        headers: call.body === undefined ? call.headers : { ...call.headers, 'content-length': Buffer.byteLength(call.body) }
      }))
      // Nothing was sent to the address.
      if (started instanceof Error) return resolve({ kind: 'lost', detail: started.message })
      const request = started
      function abort (cause: string): void {
        // Without a reset, data delayed by a network partition would still be delivered after the partition ends.
        if (request.socket?.connecting === false) resetConnection(request.socket)
        end({ kind: 'lost', detail: cause })
        request.destroy()
      }
      const abortLate = (): void => { abort(`No response within ${call.timeoutMs} ms`) }
      const inactivityTimer = setTimeout(abortLate, call.timeoutMs)
      const durationTimer = setTimeout(abortLate, call.timeoutMs * MAXIMUM_DURATION_FACTOR)
      function end (outcome: HttpCallOutcome): void {
        clearTimeout(inactivityTimer)
        clearTimeout(durationTimer)
        resolve(outcome)
      }
      watchInterimResponses(request, abort)
      request.on('response', (response) => {
        const invalidStatus = describeInvalidStatus(response.statusCode)
        if (invalidStatus !== null) return abort(invalidStatus)
        const blocks = createBodyBlocks()
        const body = receiveBody(response, {
          request,
          onPart: (part) => {
            blocks.add(part)
            if (blocks.length() > maximumResponseBytes) return abort(`The response is longer than ${maximumResponseBytes} bytes`)
            inactivityTimer.refresh()
          }
        })
        body.ending.then((ending) => {
          if (ending.kind === 'whole') end({ kind: 'answered', status: response.statusCode ?? 0, headers: response.headers, text: blocks.takeAll().toString('utf8') })
          else end({ kind: 'lost', detail: ending.detail })
        }, () => {})
      })
      request.on('error', (error: NodeJS.ErrnoException) => {
        end(error.code === 'ECONNREFUSED' && !request.reusedSocket ? { kind: 'refused' } : { kind: 'lost', detail: error.message })
      })
      request.end(call.body)
    }),
    close () { agent.destroy() }
  }
}
