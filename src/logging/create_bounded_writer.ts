/** Writes lines to a stream without blocking, with a limit on buffered bytes. */
import type { Writable } from 'node:stream'

/** Maximum buffered bytes: enough for the lines of a busy host for some seconds. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024

/**
 * Creates a writer of lines. It drops lines while the buffer is full, and
 * writes a line with their number once there is space again.
 *
 * @param stream Destination of the lines; writing to it does not block.
 * @returns The writer.
 */
export function createBoundedWriter (stream: Writable): (line: string) => void {
  let droppedLines = 0
  return (line) => {
    if (stream.writableLength > MAXIMUM_BUFFERED_BYTES) {
      droppedLines++
      return
    }
    if (droppedLines > 0) stream.write(`level=warn event=lines-left-out count=${droppedLines}\n`)
    droppedLines = 0
    stream.write(line)
  }
}
