/** Derives from the head of a response how the end of its body is marked. */

/** How the sender marks the end of a body. */
export const BodyFraming = {
  /** It states the length beforehand. */
  length: 'length',
  chunks: 'chunks',
  /** It closes the connection. */
  connectionEnd: 'connection-end',
  /** The response has no body. */
  none: 'none'
} as const
export type BodyFraming = typeof BodyFraming[keyof typeof BodyFraming]

/** How the end of one body is marked, and the length that is stated for it. */
export interface BodyMark {
  readonly framing: BodyFraming
  /** Length that the sender states, in bytes; `null` if it states none. */
  readonly statedBytes: number | null
}

/**
 * Derives the framing of a body from the headers of its response.
 *
 * @param rawHeaders Headers as alternating names and values.
 * @param response Status, and the method of the request.
 * @returns The framing, and the stated length in bytes.
 */
export function bodyFraming (rawHeaders: readonly string[], { status, method }: { readonly status: number, readonly method: string }): BodyMark {
  if (method === 'HEAD' || status === 204 || status === 304) return { framing: BodyFraming.none, statedBytes: null }
  const valuesOf = (name: string): string[] => rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === name)
  const codings = valuesOf('transfer-encoding')
  // The last coding counts; after any other than chunks, the runtime reads up to the end of the connection.
  if (codings.length > 0) return { framing: codings.join().toLowerCase().split(',').at(-1)?.trim() === 'chunked' ? BodyFraming.chunks : BodyFraming.connectionEnd, statedBytes: null }
  const [length] = valuesOf('content-length')
  return length === undefined ? { framing: BodyFraming.connectionEnd, statedBytes: null } : { framing: BodyFraming.length, statedBytes: Number(length) }
}
