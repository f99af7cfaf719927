/** Result of an operation whose failures its caller handles. */
export type Result<Value, Failure> =
  | { readonly ok: true, readonly value: Value }
  | { readonly ok: false, readonly error: Failure }

/**
 * Wraps a value as a success.
 *
 * @param value The value of the success.
 * @returns A successful result.
 * @example
 * ```ts
 * succeed(3) // { ok: true, value: 3 }
 * ```
 */
export function succeed<Value> (value: Value): { readonly ok: true, readonly value: Value } {
  return { ok: true, value }
}

/**
 * Wraps an error as a failure.
 *
 * @param error The tagged error.
 * @returns A failed result.
 * @example
 * ```ts
 * fail({ kind: 'unavailable', detail: 'The connection was refused' })
 * ```
 */
export function fail<Failure> (error: Failure): { readonly ok: false, readonly error: Failure } {
  return { ok: false, error }
}
