/** Tests of the decision whether a request waits: one that is refused late has wasted its caller's time. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { decideEntry, type EntryQuery } from './decide_entry.ts'

const test = suite('decideEntry')

/** A server with four slots and work of 100 ms. */
const QUERY: EntryQuery = { remainingMs: 1000, workMs: 100, completionsPerMs: 0.04, ahead: 0, overtakingPerMs: 0, guaranteedShare: 0 }

test('decideEntry() lets a request wait, when its turn comes in time', () => {
  assert.equal(decideEntry({ ...QUERY, ahead: 3 }), { kind: 'wait', turnAfterMs: 100 })
})

test('decideEntry() refuses a request at once, when too many others are ahead, and states when there is room', () => {
  assert.equal(decideEntry({ ...QUERY, ahead: 39 }), { kind: 'refuse', roomAfterMs: 125 })
})

test('decideEntry() refuses a request, when more urgent ones take all completions', () => {
  assert.is(decideEntry({ ...QUERY, overtakingPerMs: 0.05 }).kind, 'refuse')
})

test('decideEntry() lets a request wait, when its kind is guaranteed a share that suffices', () => {
  assert.equal(decideEntry({ ...QUERY, overtakingPerMs: 0.05, guaranteedShare: 0.25 }), { kind: 'wait', turnAfterMs: 100 })
})

test('decideEntry() refuses a request, when no server completes any', () => {
  assert.is(decideEntry({ ...QUERY, completionsPerMs: 0 }).kind, 'refuse')
})

test.run()
