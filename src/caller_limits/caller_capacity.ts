/** Decides how much callers may make a host hold. */
import { CAPACITY_BYTES, MEMORY_SHARE } from './default_limits.ts'

/**
 * Returns the number of bytes that all callers together may make a host hold.
 *
 * @param memoryBytes Memory of the machine.
 * @returns The number.
 */
export function callerCapacity (memoryBytes: number): number {
  return Math.min(CAPACITY_BYTES.maximum, Math.max(CAPACITY_BYTES.minimum, Math.floor(memoryBytes * MEMORY_SHARE)))
}
