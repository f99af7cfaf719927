/** Properties of what a leader issues and counts. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { createHostTable } from './host_table.ts'

const test = suite('createHostTable')

test('issueLease() gives no lease that outlasts the authority, whenever the host was heard', () => {
  fc.assert(fc.property(fc.nat({ max: 3000 }), fc.nat({ max: 4000 }), (heardAt, authorityUntil) => {
    const table = createHostTable(() => 0)
    table.add('a', 1, { echo: 5, now: heardAt })
    const length = table.issueLease('a', authorityUntil)
    if (length > 0) assert.ok(heardAt + length <= authorityUntil)
    assert.ok((table.get('a')?.leaseUntil ?? 0) >= (length > 0 ? heardAt + length : 0))
  }), propertyParameters(200))
})

test('authorityUntil() and committed() are what a majority gives, whoever has answered', () => {
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
