/** Maps keys to slices. */
import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/**
 * Returns the slice that a key belongs to.
 *
 * @param key The key, as text.
 * @param sliceCount Number of slices of the service; at least 1.
 * @returns An integer from 0 to `sliceCount - 1`.
 * @example
 * ```ts
 * sliceOfKey('ammonite-17', 256)
 * ```
 */
export function sliceOfKey (key: string, sliceCount: number): number {
  return hasher.h32(key) % sliceCount
}

/**
 * Returns the 32-bit xxHash of a text.
 *
 * @param text The text to hash.
 * @returns An unsigned 32-bit integer.
 * @example
 * ```ts
 * hashText('server-1/12')
 * ```
 */
export function hashText (text: string): number {
  return hasher.h32(text)
}
