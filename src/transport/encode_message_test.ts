/** Tests of the wire encoding of messages. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import type { CellMessage } from '../cell/mod.ts'
import { decodeMessage, encodeMessage } from './encode_message.ts'

const test = suite('encodeMessage')
const count = fc.nat({ max: 2 ** 48 })
const messages: fc.Arbitrary<CellMessage> = fc.oneof(
  fc.record({ kind: fc.constant('ping' as const), epoch: count, sentAt: count, incarnation: count, echo: count, lease: count, floor: count, view: count, committed: count, rows: count }),
  fc.record({
    kind: fc.constant('pong' as const),
    epoch: count,
    sequence: count,
    incarnation: count,
    sentAt: count,
    echo: count,
    promised: fc.boolean(),
    held: count,
    applied: count,
    pending: fc.array(fc.string()),
    lost: fc.array(fc.record({ server: fc.string(), token: count, held: fc.array(count) }, { noNullPrototype: true })),
    leaving: fc.boolean()
  }),
  fc.record({ kind: fc.constant('join' as const), incarnation: count, sentAt: count })
)

test('decodeMessage() returns the encoded message, only with the same secret', () => {
  fc.assert(fc.property(messages, (message) => {
    const datagram = encodeMessage(7, message)
    assert.equal(decodeMessage(7, datagram), { ...message })
    assert.is(decodeMessage(8, datagram), null)
  }), propertyParameters(200))
})

test('decodeMessage() does not throw, for any bytes', () => {
  fc.assert(fc.property(messages, fc.uint8Array({ maxLength: 60 }), fc.nat({ max: 40 }), (message, noise, at) => {
    const datagram = Uint8Array.from(encodeMessage(7, message))
    datagram.set(noise.slice(0, Math.max(0, datagram.length - at)), Math.min(at, datagram.length))
    decodeMessage(7, datagram)
    decodeMessage(7, noise)
  }), propertyParameters(300))
})

test('encodeMessage() keeps a ping within 70 bytes', () => {
  const ping: CellMessage = { kind: 'ping', epoch: 64_000, sentAt: 86_400_000, incarnation: 1_790_000_000_000, echo: 86_400_000, lease: 1000, floor: 100, view: 100, committed: 100, rows: 1_000_000 }
  assert.ok(encodeMessage(4_000_000_000, ping).length <= 70)
})

test.run()
