/** Tests of fencing tokens. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { comparePositions } from '../store_history/mod.ts'
import { createFencingTokens } from './fencing_token.ts'

const test = suite('createFencingTokens')
const position = fc.record({ era: fc.integer({ min: 1, max: 255 }), revision: fc.integer({ min: 1, max: 2 ** 30 - 1 }) })

// Guards against two owners with the same token, or a later one with a lower token, after revisions went back.
test('createFencingTokens() returns higher exact integers for later positions, when each leader uses thousands of them', () => {
  fc.assert(fc.property(position, position, (first, second) => {
    const tokens = [first, second].map((held) => {
      const nextToken = createFencingTokens(() => held)
      return Array.from({ length: 20_000 }, nextToken)
    })
    const [earlier, later] = comparePositions(first, second) < 0 ? tokens : [...tokens].reverse()
    assert.ok(tokens.flat().every(Number.isSafeInteger))
    if (comparePositions(first, second) !== 0) assert.ok((earlier?.at(-1) ?? 0) < (later?.[0] ?? 0))
  }), propertyParameters(50))
})

test('createFencingTokens() returns rising tokens, when the position changes between them', () => {
  let held = { era: 1, revision: 5 }
  const nextToken = createFencingTokens(() => held)
  const tokens = [nextToken(), nextToken()]
  held = { era: 2, revision: 3 }
  tokens.push(nextToken(), nextToken())
  assert.equal(tokens, [...new Set(tokens)].sort((left, right) => left - right))
})

test.run()
