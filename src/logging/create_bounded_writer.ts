/** Writes lines to a stream without ever waiting for its reader, and without keeping more than a bound. */
import type { Writable } from 'node:stream'

/** Bytes that may wait for a reader; some seconds of a busy host's lines. */
const MAXIMUM_WAITING_BYTES = 1024 * 1024

/**
 * Creates a writer of lines. Lines that find too much waiting are left out; a
 * line that says how many follows once there is room again.
 *
 * @param stream Where lines go; writing to it does not block.
 * @returns The writer.
 */
export function createBoundedWriter (stream: Writable): (line: string) => void {
  let leftOut = 0
  return (line) => {
    if (stream.writableLength > MAXIMUM_WAITING_BYTES) {
      leftOut++
      return
    }
    if (leftOut > 0) stream.write(`level=warn event=lines-left-out count=${leftOut}\n`)
    leftOut = 0
    stream.write(line)
  }
}
