/** Tests of the choice of a server: a request on a server that is slow for a moment is late though another one would be free soon. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { rankSlots, type SlotCandidate } from './choose_slot.ts'

const test = suite('rankSlots')

function createCandidate (id: string, terms: Partial<SlotCandidate> = {}): SlotCandidate {
  return { id, slots: 4, inFlight: 0, usualMs: 100, expectedMs: terms.usualMs ?? 100, failureShare: 0, ...terms }
}

test('rankSlots() lists servers with a free slot, the fastest first', () => {
  assert.equal(rankSlots([createCandidate('usual'), createCandidate('fast', { usualMs: 60 }), createCandidate('full', { usualMs: 50, inFlight: 4 })]), ['fast', 'usual'])
})

test('rankSlots() prefers the less busy server, when speeds are equal', () => {
  assert.equal(rankSlots([createCandidate('busy', { inFlight: 3 }), createCandidate('idle')]), ['idle', 'busy'])
})

test('rankSlots() prefers other servers to one that fails requests', () => {
  assert.equal(rankSlots([createCandidate('failing', { failureShare: 0.5 }), createCandidate('slower', { usualMs: 200 })]), ['slower', 'failing'])
})

test('rankSlots() leaves the slot of a server that is slow now, when a busy one completes the request sooner', () => {
  assert.equal(rankSlots([createCandidate('slow', { expectedMs: 300 }), createCandidate('busy', { inFlight: 4 })]), [])
})

test('rankSlots() uses the slot of a slow server, when no other one is there', () => {
  assert.equal(rankSlots([createCandidate('slow', { expectedMs: 300 })]), ['slow'])
})

test('rankSlots() uses the slot of a server that is always slow, since its capacity is planned for', () => {
  assert.equal(rankSlots([createCandidate('slow', { usualMs: 300 }), createCandidate('busy', { inFlight: 4 })]), ['slow'])
})

test.run()
