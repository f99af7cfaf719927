/** Tests of the encoding of messages. */
import { deflateRawSync } from 'node:zlib'
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { decodeMessage, encodeMessage } from './encode_message.ts'

const test = suite('encodeMessage')

test('decodeMessage() returns the encoded message, for messages of any length', () => {
  fc.assert(fc.property(fc.array(fc.string(), { maxLength: 400 }), (items) => {
    const line = encodeMessage({ items })
    assert.not(line.includes('\n'))
    assert.equal(decodeMessage(line), { items })
  }), propertyParameters(50))
})

test('encodeMessage() returns less than a quarter of the JSON\'s length, when the message lists 300 servers', () => {
  const servers = Array.from({ length: 300 }, (_, index) => ({ id: `i-${(index * 7919).toString(16)}`, bornAt: 1_780_000_000_000 + index, service: 'lookups', address: `10.0.1.${index}:8080`, zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }))
  const message = { kind: 'servers', servers }
  assert.ok(encodeMessage(message).length * 4 < JSON.stringify(message).length)
})

test('decodeMessage() throws, when a line is not a valid message', () => {
  assert.throws(() => decodeMessage('z!!!'))
  assert.throws(() => decodeMessage('{"kind":'))
})

test('decodeMessage() throws, when a short line decompresses to more than the limit', () => {
  assert.throws(() => decodeMessage(`z${deflateRawSync(Buffer.alloc(32 * 1024 * 1024)).toString('base64')}`), /larger than/)
})

test.run()
