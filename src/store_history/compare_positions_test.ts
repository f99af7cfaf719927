/** Tests of the order of positions in the history of the store. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { comparePositions } from './compare_positions.ts'

const test = suite('comparePositions')
const position = fc.record({ era: fc.integer({ min: 1, max: 4 }), revision: fc.nat({ max: 9 }) })

test('comparePositions() orders a lower revision after a higher one, when its era is later', () => {
  assert.ok(comparePositions({ era: 2, revision: 60 }, { era: 1, revision: 78 }) > 0)
  assert.ok(comparePositions({ era: 1, revision: 78 }, { era: 1, revision: 60 }) > 0)
  assert.is(comparePositions({ era: 3, revision: 5 }, { era: 3, revision: 5 }), 0)
})

test('comparePositions() is a total order, when positions of several eras are sorted', () => {
  fc.assert(fc.property(position, position, position, (first, second, third) => {
    assert.is(Math.sign(comparePositions(first, second)), -Math.sign(comparePositions(second, first)) + 0)
    if (comparePositions(first, second) <= 0 && comparePositions(second, third) <= 0) assert.ok(comparePositions(first, third) <= 0)
  }), propertyParameters(200))
})

test.run()
