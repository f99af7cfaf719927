/** Wire encoding of the messages between hosts of a cell: one MessagePack array per datagram. */
import { Decoder, Encoder } from '@msgpack/msgpack'
import { z } from 'zod'
import type { CellMessage } from '../cell/mod.ts'

/** Fields of each kind of message, in wire order; the index in the list is the kind's number. */
const MESSAGE_LAYOUTS = [
  ['ping', ['epoch', 'sentAt', 'incarnation', 'echo', 'lease', 'floor', 'view', 'committed', 'rows']],
  ['pong', ['epoch', 'sequence', 'incarnation', 'sentAt', 'echo', 'promised', 'held', 'applied', 'pending', 'lost', 'leaving']],
  ['ask', ['epoch', 'sentAt', 'viewEpoch', 'viewVersion', 'rowRevision']],
  ['promise', ['epoch', 'incarnation', 'sentAt', 'echo', 'granted', 'behind']],
  ['join', ['incarnation', 'sentAt']],
  ['redirect', ['leader']]
] as const

/** The encoder and the decoder reuse their buffers across messages. */
const encoder = new Encoder()
const decoder = new Decoder()

const wholeNumber = z.number().int().min(0)
const lostServer = z.object({ server: z.string(), token: z.number(), held: z.array(z.number()) })
const messageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('ping'), epoch: wholeNumber, sentAt: wholeNumber, incarnation: wholeNumber, echo: wholeNumber, lease: wholeNumber, floor: wholeNumber, view: wholeNumber, committed: wholeNumber, rows: wholeNumber }),
  z.object({ kind: z.literal('pong'), epoch: wholeNumber, sequence: wholeNumber, incarnation: wholeNumber, sentAt: wholeNumber, echo: wholeNumber, promised: z.boolean(), held: wholeNumber, applied: wholeNumber, pending: z.array(z.string()), lost: z.array(lostServer), leaving: z.boolean() }),
  z.object({ kind: z.literal('ask'), epoch: wholeNumber, sentAt: wholeNumber, viewEpoch: wholeNumber, viewVersion: wholeNumber, rowRevision: wholeNumber }),
  z.object({ kind: z.literal('promise'), epoch: wholeNumber, incarnation: wholeNumber, sentAt: wholeNumber, echo: wholeNumber, granted: z.boolean(), behind: z.boolean() }),
  z.object({ kind: z.literal('join'), incarnation: wholeNumber, sentAt: wholeNumber }),
  z.object({ kind: z.literal('redirect'), leader: z.string() })
])

/**
 * Encodes a message.
 *
 * @param secret Secret shared by the hosts; receivers drop messages with a different one.
 * @param message The message; its times must be whole numbers.
 * @returns The datagram.
 */
export function encodeMessage (secret: number, message: CellMessage): Uint8Array {
  const kindNumber = MESSAGE_LAYOUTS.findIndex(([kind]) => kind === message.kind)
  const fields = MESSAGE_LAYOUTS[kindNumber]?.[1] ?? []
  const values = message as unknown as Readonly<Record<string, unknown>>
  return encoder.encode([secret, kindNumber, ...fields.map((field) => values[field])])
}

/**
 * Decodes a datagram.
 *
 * @param secret Secret that the message must contain.
 * @param datagram The bytes that arrived.
 * @returns The message, or `null` if the datagram is not a valid message with that secret.
 */
export function decodeMessage (secret: number, datagram: Uint8Array): CellMessage | null {
  let parts: unknown
  try {
    parts = decoder.decode(datagram)
  } catch {
    return null
  }
  if (!Array.isArray(parts) || parts[0] !== secret) return null
  const layout = MESSAGE_LAYOUTS[parts[1] as number]
  if (layout === undefined) return null
  const [kind, fields] = layout
  const entries = fields.map((field, index) => [field, (parts as unknown[])[index + 2]] as const)
  const parsed = messageSchema.safeParse({ kind, ...Object.fromEntries(entries) })
  return parsed.success ? parsed.data : null
}
