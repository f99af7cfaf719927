/**
 * Sends requests with a pool of undici and accepts only heads of final responses whose end can be distinguished from a lost connection.
 *
 * The pool reports the end of a body without a length or chunks in the same
 * way whether its connection was closed or reset, and its callers do not see
 * the connection. It lets any status from 200 to 999 pass, and any number of
 * interim responses.
 */
import type { Dispatcher, Pool } from 'undici'
import { bodyFraming, BodyFraming } from './body_framing.ts'
import { describeInvalidStatus } from './response_status.ts'
import { MAXIMUM_INTERIM_RESPONSES } from './watch_interim_responses.ts'

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
}

/** Options of {@link sendWithPool}. */
export interface SendWithPoolOptions extends Dispatcher.RequestOptions {
  readonly signal: AbortSignal
  /** Whether the body of a response is used; the end of one that is not need not be marked. Default: it is. */
  readonly usesBody?: (head: ResponseHead) => boolean
}

/** A head that is not that of a response; the request may have run. */
export class InvalidResponseError extends Error {
  override readonly name = 'InvalidResponseError'
}

/**
 * Describes why a head is not that of a response whose end is marked.
 *
 * @param head Method of the request, status and headers.
 * @returns The reason; `null` if it is valid.
 */
export function describeInvalidHead ({ method, status, headers }: ResponseHead & { readonly method: string }): string | null {
  const rawHeaders = Object.entries(headers).flatMap(([name, value]) => [value ?? []].flat().flatMap((single) => [name, single]))
  const invalidStatus = describeInvalidStatus(status)
  if (invalidStatus !== null) return invalidStatus
  return bodyFraming(rawHeaders, { status, method }).framing === BodyFraming.connectionEnd ? 'The response has neither a length nor chunks' : null
}

/**
 * Sends a request.
 *
 * @param pool Connections to the server.
 * @param options The request.
 * @returns The response, of which the head has been received.
 * @throws {InvalidResponseError} if the head is not that of a response, or has no marked end; errors of the pool otherwise.
 */
export async function sendWithPool (pool: Pool, { usesBody = () => true, ...options }: SendWithPoolOptions): Promise<Dispatcher.ResponseData> {
  const interimLimit = new AbortController()
  let interimResponses = 0
  try {
    const response = await pool.request({
      ...options,
      signal: AbortSignal.any([options.signal, interimLimit.signal]),
      onInfo: () => {
        interimResponses++
        if (interimResponses > MAXIMUM_INTERIM_RESPONSES) interimLimit.abort()
      }
    })
    const head = { status: response.statusCode, headers: response.headers }
    const reason = usesBody(head) ? describeInvalidHead({ method: options.method, ...head }) : describeInvalidStatus(head.status)
    if (reason === null) return response
    response.body.on('error', () => {}).destroy()
    throw new InvalidResponseError(reason)
  } catch (error) {
    if (interimLimit.signal.aborted && !options.signal.aborted) throw new InvalidResponseError(`The server sent more than ${MAXIMUM_INTERIM_RESPONSES} interim responses`)
    throw error
  }
}
