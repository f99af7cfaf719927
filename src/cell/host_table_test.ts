/** Properties of dispatch leases and majority values. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { createHostTable } from './host_table.ts'

const test = suite('createHostTable')

test('issueLease() issues no lease that outlasts the authority, for any arrival time of the last message', () => {
  fc.assert(fc.property(fc.nat({ max: 3000 }), fc.nat({ max: 4000 }), (receivedAt, authorityUntil) => {
    const table = createHostTable(() => 0)
    table.add('a', 1, { echo: 5, now: receivedAt })
    const length = table.issueLease('a', authorityUntil)
    if (length > 0) assert.ok(receivedAt + length <= authorityUntil)
    assert.ok((table.get('a')?.leaseUntil ?? 0) >= (length > 0 ? receivedAt + length : 0))
  }), propertyParameters(200))
})

test('authorityUntil() and committedVersion() return values that a majority has reached, for any set of responses', () => {
  fc.assert(fc.property(fc.array(fc.nat({ max: 100 }), { minLength: 1, maxLength: 9 }), (held) => {
    const table = createHostTable(() => 0)
    const members = held.map((_, index) => `host-${index}`)
    for (const [index, version] of held.entries()) {
      if (version === 0) continue
      table.onPong(members[index] ?? '', {
        kind: 'pong', epoch: 64, sequence: 1, incarnation: 1, sentAt: 1, echo: version, promised: true, held: version, applied: 0, pending: [], lost: [], leaving: false
      }, 1)
    }
    const committed = table.committedVersion(members)
    const holders = held.filter((version) => version >= committed).length
    assert.ok(holders * 2 > held.length)
    const until = table.authorityUntil(members)
    assert.ok(members.filter((member) => (table.get(member)?.promisedUntil ?? 0) >= until).length * 2 > members.length)
  }), propertyParameters(200))
})

test.run()
