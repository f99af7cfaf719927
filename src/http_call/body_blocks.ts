/**
 * Keeps the parts of a body in blocks.
 *
 * A part may be as short as one byte, and each buffer of the runtime takes
 * hundreds of bytes and keeps all that was read with it; so parts are copied.
 */

/** Smallest and largest block, in bytes. */
const BLOCK_BYTES = { minimum: 1024, maximum: 64 * 1024 } as const

/** Parts of one body. */
export interface BodyBlocks {
  add (part: Buffer): void
  /** Number of bytes that were added and not taken. */
  length (): number
  /** Number of bytes that the blocks take. */
  allocatedBytes (): number
  /** Takes the oldest block; `null` if there is none. */
  take (): Buffer | null
  /** Takes everything as one buffer. */
  takeAll (): Buffer
}

/** Creates blocks without parts. */
export function createBodyBlocks (): BodyBlocks {
  const blocks: Buffer[] = []
  let filled = 0
  let length = 0
  let allocated = 0

  /** Space behind what has been added to the last block. */
  function lastSpace (): Buffer | null {
    const block = blocks.at(-1)
    return block === undefined || filled === block.length ? null : block.subarray(filled)
  }

  function allocate (bytes: number): Buffer {
    // The runtime has a pool for short buffers.
    const block = Buffer.allocUnsafe(Math.min(BLOCK_BYTES.maximum, Math.max(BLOCK_BYTES.minimum, length, bytes)))
    blocks.push(block)
    filled = 0
    allocated += block.length
    return block
  }

  function take (): Buffer | null {
    const block = blocks.shift()
    if (block === undefined) return null
    const part = blocks.length === 0 ? block.subarray(0, filled) : block
    allocated -= block.length
    length -= part.length
    return part
  }

  return {
    add (part) {
      let start = 0
      while (start < part.length) {
        const copied = part.copy(lastSpace() ?? allocate(part.length - start), 0, start)
        start += copied
        filled += copied
        length += copied
      }
    },
    length: () => length,
    allocatedBytes: () => allocated,
    take,
    takeAll () {
      const [first] = blocks
      const taken = first !== undefined && blocks.length === 1 ? first.subarray(0, filled) : Buffer.concat(blocks.map((block, index) => index === blocks.length - 1 ? block.subarray(0, filled) : block))
      blocks.length = 0
      length = 0
      allocated = 0
      return taken
    }
  }
}
