/** Property tests of the grants that a dispatcher manages for one server. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { CellTiming, type ViewServer } from '../cell/mod.ts'
import type { GrantAction, GrantOutcome } from './grant_types.ts'
import { CheckedServerGrant } from './checked_server_grant.ts'
import { UncheckedServerGrant } from './unchecked_server_grant.ts'

const test = suite('ServerGrant')
const SLICES = [1, 2, 3]

function serverOf (checksGrants: boolean, token: number): ViewServer {
  return { id: 's', service: 'keys', address: '10.0.0.1:80', checksGrants, keyed: true, leaving: false, dispatcher: 'h', token }
}

/** Kind of the outcome of a grant; `connection-refused` means that the process has died. */
const outcomeKind = fc.constantFrom<'answered' | 'no-answer' | 'connection-refused'>('answered', 'answered', 'no-answer', 'connection-refused')
const stepArbitrary = fc.record({ waitMs: fc.integer({ min: 1, max: 700 }), outcomeKind, leaseLeftMs: fc.integer({ min: 1, max: 1000 }) })

/** Returns when a grant ends on the dispatcher's clock; in these tests `basis` is the dispatcher's time. */
function grantEndOf (action: GrantAction): number {
  return action.request.duration === 0 ? 0 : action.request.basis + action.request.duration
}

test('nextAction() grants nothing beyond the dispatch lease, and loss() reports nothing before every grant has ended by any clock', () => {
  fc.assert(fc.property(fc.array(stepArbitrary, { maxLength: 30 }), (steps) => {
    const grant = new CheckedServerGrant(serverOf(true, 2))
    grant.setAssignment(serverOf(true, 2), SLICES)
    let now = 1000
    let latestGrantEnd = 0
    let isServerDown = false
    for (const step of steps) {
      now += step.waitMs
      const leaseUntil = now + step.leaseLeftMs
      const action = grant.nextAction(now, leaseUntil)
      if (action !== null) {
        if (grant.loss(now) !== null) assert.ok(grantEndOf(action) + CellTiming.CLOCK_DRIFT_MARGIN_MS <= now)
        latestGrantEnd = Math.max(latestGrantEnd, grantEndOf(action))
        assert.ok(grantEndOf(action) <= leaseUntil)
        const outcome: GrantOutcome = step.outcomeKind === 'answered' ? { kind: 'answered', answer: { boot: 'b', now } } : { kind: step.outcomeKind }
        isServerDown = step.outcomeKind === 'connection-refused'
        grant.onOutcome(action, outcome, now)
      }
      const hasEnded = isServerDown || now >= latestGrantEnd + CellTiming.CLOCK_DRIFT_MARGIN_MS
      if (grant.loss(now) !== null) assert.ok(hasEnded, `lost at ${now}, granted until ${latestGrantEnd}`)
      if (isServerDown) latestGrantEnd = 0
    }
  }), propertyParameters(300))
})

test('loss() waits a drift margin longer than the grant, when a server is unresponsive', () => {
  const grant = new CheckedServerGrant(serverOf(true, 2))
  grant.setAssignment(serverOf(true, 2), SLICES)
  const grantEndsAt = 1000 + CellTiming.GRANT_DURATION_MS
  for (const now of [1000, 1000]) {
    const action = grant.nextAction(now, 5000)
    if (action !== null) grant.onOutcome(action, { kind: 'answered', answer: { boot: 'b', now } }, now)
  }
  for (const now of [1250, 1550]) {
    const action = grant.nextAction(now, 5000)
    if (action !== null) grant.onOutcome(action, { kind: 'no-answer' }, now + 50)
  }
  assert.is(grant.loss(grantEndsAt + CellTiming.CLOCK_DRIFT_MARGIN_MS - 1), null)
  assert.is.not(grant.loss(grantEndsAt + CellTiming.CLOCK_DRIFT_MARGIN_MS), null)
})

test('isPending() returns true, when a request of a slice that was reassigned is in flight', () => {
  fc.assert(fc.property(fc.boolean(), fc.subarray(SLICES), fc.constantFrom(...SLICES), (checksGrants, kept, running) => {
    const grant = checksGrants ? new CheckedServerGrant(serverOf(true, 2)) : new UncheckedServerGrant(serverOf(false, 2))
    grant.setAssignment(serverOf(checksGrants, 2), SLICES)
    let now = 0
    for (let turns = 0; turns < 3; turns++) {
      now += CellTiming.GRANT_RENEWAL_INTERVAL_MS
      const action = grant.nextAction(now, now + 1000)
      if (action !== null) grant.onOutcome(action, { kind: 'answered', answer: { boot: 'b', now } }, now)
    }
    assert.is.not(grant.admit(running, now), null)
    grant.begin(running)
    grant.setAssignment(serverOf(checksGrants, 4), kept)
    assert.is(grant.isPending(now), checksGrants ? kept.length < SLICES.length : !kept.includes(running))
    assert.is(grant.admit(running, now) === null, !kept.includes(running))
  }), propertyParameters(100))
})

test('loss() reports slices with requests in flight as held, when a server that does not check grants hangs', () => {
  const grant = new UncheckedServerGrant(serverOf(false, 2))
  grant.setAssignment(serverOf(false, 2), SLICES)
  const first = grant.nextAction(0, 1000)
  if (first !== null) grant.onOutcome(first, { kind: 'answered', answer: { boot: '', now: 0 } }, 0)
  grant.begin(2)
  for (const now of [300, 700, 1100]) {
    const action = grant.nextAction(now, now + 1000)
    if (action !== null) grant.onOutcome(action, { kind: 'no-answer' }, now)
  }
  assert.equal(grant.loss(1200), { token: 2, held: [2] })
  grant.end(2)
  assert.equal(grant.loss(1300), { token: 2, held: [] })
})

test('loss() reports every slice as held, when a server that does not check grants never responded', () => {
  const grant = new UncheckedServerGrant(serverOf(false, 2))
  grant.setAssignment(serverOf(false, 2), SLICES)
  for (const now of [0, 400, 800]) {
    const action = grant.nextAction(now, now + 1000)
    if (action !== null) grant.onOutcome(action, { kind: 'no-answer' }, now)
  }
  assert.equal(grant.loss(1200), { token: 2, held: SLICES })
})

test.run()
