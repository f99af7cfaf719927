/** Wire form of the messages between hosts of a cell: MessagePack arrays in one datagram each. */
import { Decoder, Encoder } from '@msgpack/msgpack'
import { z } from 'zod'
import type { CellMessage } from '../cell/mod.ts'

/** Fields of each kind of message, in wire order; the place in the list is the kind's number. */
const SHAPES = [
  ['ping', ['epoch', 'sentAt', 'incarnation', 'echo', 'lease', 'floor', 'view', 'committed', 'rows']],
  ['pong', ['epoch', 'sequence', 'incarnation', 'sentAt', 'echo', 'promised', 'held', 'applied', 'pending', 'lost', 'leaving']],
  ['ask', ['epoch', 'sentAt', 'viewEpoch', 'viewVersion', 'rowRevision']],
  ['promise', ['epoch', 'incarnation', 'sentAt', 'echo', 'granted', 'behind']],
  ['join', ['incarnation', 'sentAt']],
  ['redirect', ['leader']]
] as const

/** Both keep their buffers from one message to the next. */
const encoder = new Encoder()
const decoder = new Decoder()

const wholeNumber = z.number().int().min(0)
const lost = z.object({ server: z.string(), token: z.number(), held: z.array(z.number()) })
const messageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('ping'), epoch: wholeNumber, sentAt: wholeNumber, incarnation: wholeNumber, echo: wholeNumber, lease: wholeNumber, floor: wholeNumber, view: wholeNumber, committed: wholeNumber, rows: wholeNumber }),
  z.object({ kind: z.literal('pong'), epoch: wholeNumber, sequence: wholeNumber, incarnation: wholeNumber, sentAt: wholeNumber, echo: wholeNumber, promised: z.boolean(), held: wholeNumber, applied: wholeNumber, pending: z.array(z.string()), lost: z.array(lost), leaving: z.boolean() }),
  z.object({ kind: z.literal('ask'), epoch: wholeNumber, sentAt: wholeNumber, viewEpoch: wholeNumber, viewVersion: wholeNumber, rowRevision: wholeNumber }),
  z.object({ kind: z.literal('promise'), epoch: wholeNumber, incarnation: wholeNumber, sentAt: wholeNumber, echo: wholeNumber, granted: z.boolean(), behind: z.boolean() }),
  z.object({ kind: z.literal('join'), incarnation: wholeNumber, sentAt: wholeNumber }),
  z.object({ kind: z.literal('redirect'), leader: z.string() })
])

/**
 * Encodes a message.
 *
 * @param secret Secret that the hosts share; a receiver drops messages with another.
 * @param message The message; its times must be whole numbers.
 * @returns The datagram.
 */
export function encodeMessage (secret: number, message: CellMessage): Uint8Array {
  const number = SHAPES.findIndex(([kind]) => kind === message.kind)
  const fields = SHAPES[number]?.[1] ?? []
  const values = message as unknown as Readonly<Record<string, unknown>>
  return encoder.encode([secret, number, ...fields.map((field) => values[field])])
}

/**
 * Decodes a datagram.
 *
 * @param secret Secret that the message must bear.
 * @param datagram The bytes that arrived.
 * @returns The message, or `null` where the datagram is not one.
 */
export function decodeMessage (secret: number, datagram: Uint8Array): CellMessage | null {
  let parts: unknown
  try {
    parts = decoder.decode(datagram)
  } catch {
    return null
  }
  if (!Array.isArray(parts) || parts[0] !== secret) return null
  const shape = SHAPES[parts[1] as number]
  if (shape === undefined) return null
  const [kind, fields] = shape
  const entries = fields.map((field, index) => [field, (parts as unknown[])[index + 2]] as const)
  const parsed = messageSchema.safeParse({ kind, ...Object.fromEntries(entries) })
  return parsed.success ? parsed.data : null
}
