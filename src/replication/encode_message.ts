/**
 * The text of a message: JSON, or JSON that is compressed and written in
 * base64 where it is long. A leading host sends the same long text to many
 * others over a link that may be slow.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib'

/** Length from which on texts are compressed, in characters: below it the saving does not pay for the work. */
const COMPRESSED_FROM = 2048

/** Longest text that is accepted, in bytes; configurations and plans are far shorter. */
const LONGEST_BYTES = 64 * 1024 * 1024

/** First character of a compressed text; JSON objects begin with a brace. */
const COMPRESSED_MARK = 'z'

/**
 * Encodes a message as one line, without its end.
 *
 * @param message Any value that JSON can hold.
 * @returns The line.
 */
export function encodeMessage (message: unknown): string {
  const text = JSON.stringify(message)
  return text.length < COMPRESSED_FROM ? text : COMPRESSED_MARK + deflateRawSync(text).toString('base64')
}

/**
 * Decodes a line.
 *
 * @param line The line, without its end.
 * @returns The message.
 * @throws {Error} If the line is no message.
 */
export function decodeMessage (line: string): unknown {
  if (!line.startsWith(COMPRESSED_MARK)) return JSON.parse(line)
  const bytes = Buffer.from(line.slice(COMPRESSED_MARK.length), 'base64')
  return JSON.parse(inflateRawSync(bytes, { maxOutputLength: LONGEST_BYTES }).toString('utf8'))
}
