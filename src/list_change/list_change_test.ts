/** Tests of differences between lists. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { applyListChange, diffLists } from './list_change.ts'

const test = suite('describeListChange')
interface Item { readonly id: string, readonly value: number }
const keyOf = (item: Item): string => item.id
const list = fc.uniqueArray(fc.record({ id: fc.constantFrom('a', 'b', 'c', 'd', 'e'), value: fc.nat(3) }, { noNullPrototype: true }), { selector: keyOf })

test('applyListChange() makes the later version of the earlier one, whatever changed', () => {
  fc.assert(fc.property(list, list, (before, after) => {
    const change = diffLists({ before, after }, { keyOf })
    const made = applyListChange(before, { ...change, keyOf })
    const sorted = (items: readonly Item[]): Item[] => [...items].sort((left, right) => left.id.localeCompare(right.id))
    assert.equal(sorted(made), sorted(after))
  }), propertyParameters(200))
})

test('describeListChange() tells only what differs, when most items stay', () => {
  const before = Array.from({ length: 300 }, (_, index) => ({ id: `i-${index}`, value: 1 }))
  const after = before.slice(1).map((item, index) => index === 5 ? { ...item, value: 2 } : item)
  assert.equal(diffLists({ before, after }, { keyOf }), { set: [{ id: 'i-6', value: 2 }], gone: ['i-0'] })
})

test.run()
