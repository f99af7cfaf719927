/** Tests of counting ends: only runs that follow one another count. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { countSequentialEnds } from './_sequence.ts'

const test = suite('countSequentialEnds')

test('countSequentialEnds() counts runs of which each began after the end of the one before, in any order', () => {
  assert.is(countSequentialEnds([{ sentAt: 300, endedAt: 370 }, { sentAt: 0, endedAt: 70 }, { sentAt: 72, endedAt: 142 }]), 3)
})

test('countSequentialEnds() counts overlapping runs once', () => {
  assert.is(countSequentialEnds([{ sentAt: 0, endedAt: 100 }, { sentAt: 40, endedAt: 150 }, { sentAt: 20, endedAt: 200 }]), 1)
  assert.is(countSequentialEnds([{ sentAt: 0, endedAt: 100 }, { sentAt: 0, endedAt: 300 }, { sentAt: 110, endedAt: 180 }]), 2)
})

test('countSequentialEnds() tolerates clocks that differ a little, and no more', () => {
  assert.is(countSequentialEnds([{ sentAt: 0, endedAt: 100 }, { sentAt: 80, endedAt: 170 }]), 2)
  assert.is(countSequentialEnds([{ sentAt: 0, endedAt: 100 }, { sentAt: 60, endedAt: 170 }]), 1)
})

test.run()
