/**
 * Encodes messages as JSON, compressed and in base64 if they are long, because
 * the leading host sends the same long text to many hosts over a network that
 * may be slow.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib'

/** Minimum length of texts that are compressed, in characters: compressing shorter ones saves too little for its cost. */
const COMPRESSION_THRESHOLD = 2048

/** Maximum size of a decompressed text, in bytes: many times a configuration of thousands of routes, and little of a host's memory. */
const MAXIMUM_DECOMPRESSED_BYTES = 16 * 1024 * 1024

/** Prefix of a compressed text; JSON objects begin with a brace. */
const COMPRESSED_PREFIX = 'z'

/**
 * Encodes a message as one line, without the line feed.
 *
 * @param message Any value that JSON can represent.
 * @returns The line.
 */
export function encodeMessage (message: unknown): string {
  const text = JSON.stringify(message)
  return text.length < COMPRESSION_THRESHOLD ? text : COMPRESSED_PREFIX + deflateRawSync(text).toString('base64')
}

/**
 * Decodes a message.
 *
 * @param line The line, without the line feed.
 * @returns The message.
 * @throws {Error} If the line is not a valid message.
 */
export function decodeMessage (line: string): unknown {
  if (!line.startsWith(COMPRESSED_PREFIX)) return JSON.parse(line)
  const bytes = Buffer.from(line.slice(COMPRESSED_PREFIX.length), 'base64')
  return JSON.parse(inflateRawSync(bytes, { maxOutputLength: MAXIMUM_DECOMPRESSED_BYTES }).toString('utf8'))
}
