/** Tests of differences between two versions of a list. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { applyListChange, diffLists } from './list_change.ts'

const test = suite('diffLists')
interface Item { readonly id: string, readonly value: number }
const keyOf = (item: Item): string => item.id
const list = fc.uniqueArray(fc.record({ id: fc.constantFrom('a', 'b', 'c', 'd', 'e'), value: fc.nat(3) }, { noNullPrototype: true }), { selector: keyOf })

test('applyListChange() turns the earlier version into the later one, for any two lists', () => {
  fc.assert(fc.property(list, list, (before, after) => {
    const change = diffLists({ before, after }, { keyOf })
    const applied = applyListChange(before, { ...change, keyOf })
    const sorted = (items: readonly Item[]): Item[] => [...items].sort((left, right) => left.id.localeCompare(right.id))
    assert.equal(sorted(applied), sorted(after))
  }), propertyParameters(200))
})

test('diffLists() returns only the differences, when most items stay the same', () => {
  const before = Array.from({ length: 300 }, (_, index) => ({ id: `i-${index}`, value: 1 }))
  const after = before.slice(1).map((item, index) => index === 5 ? { ...item, value: 2 } : item)
  assert.equal(diffLists({ before, after }, { keyOf }), { set: [{ id: 'i-6', value: 2 }], gone: ['i-0'] })
})

test.run()
