/** Tests of what pays for sending a request again. */
import * as fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createAttemptLedger, repeatTerms } from './attempt_ledger.ts'
import { AttemptReach } from './attempt_record.ts'

const test = suite('attempt ledger')

const QUERY = { reaches: [], maximumAttempts: 2, remainingMs: 500, limitsUnsent: true }

for (const reach of [AttemptReach.possible, AttemptReach.certain]) {
  test(`repeatTerms() demands payment, when the reach of the last attempt is ${reach}`, () => {
    assert.is(repeatTerms({ ...QUERY, reaches: [reach] }), 'paid')
    assert.is(repeatTerms({ ...QUERY, reaches: [AttemptReach.none, reach] }), 'paid')
  })

  test(`repeatTerms() refuses, when as many attempts as allowed have the reach ${reach}`, () => {
    assert.is(repeatTerms({ ...QUERY, reaches: [reach, reach] }), 'refused')
    assert.is(repeatTerms({ ...QUERY, reaches: [reach, reach], maximumAttempts: 3 }), 'paid')
  })
}

test('repeatTerms() demands nothing, when the last attempt has reached no server', () => {
  assert.is(repeatTerms({ ...QUERY, reaches: [AttemptReach.none] }), 'free')
  assert.is(repeatTerms({ ...QUERY, reaches: [AttemptReach.certain, AttemptReach.none] }), 'free')
})

test('repeatTerms() refuses a paid repeat, when too little time remains', () => {
  assert.is(repeatTerms({ ...QUERY, reaches: [AttemptReach.possible], remainingMs: 20 }), 'refused')
  assert.is(repeatTerms({ ...QUERY, reaches: [AttemptReach.none], remainingMs: 20 }), 'free')
})

test('repeatTerms() limits attempts that reach no server, unless something else does', () => {
  const reaches = [AttemptReach.none, AttemptReach.none, AttemptReach.none, AttemptReach.none]
  assert.is(repeatTerms({ ...QUERY, reaches }), 'refused')
  assert.is(repeatTerms({ ...QUERY, reaches, limitsUnsent: false }), 'free')
})

test('tryRepeat() keeps the budget, when it refuses or the repeat is free', () => {
  let withdrawn = 0
  const ledger = createAttemptLedger({ maximumAttempts: 1, budget: { tryWithdraw () { withdrawn++; return true } } })
  ledger.record(AttemptReach.none)
  assert.is(ledger.tryRepeat(QUERY), 'free')
  ledger.record(AttemptReach.certain)
  assert.is(ledger.tryRepeat(QUERY), null)
  assert.is(withdrawn, 0)
})

// Guards against unpaid arrivals beyond the first, which add up over all hosts to more than the limit.
test('tryRepeat() has every arrival beyond the first paid for and allows no more servers than the route, whatever the attempts reach', () => {
  fc.assert(fc.property(fc.array(fc.constantFrom(...Object.values(AttemptReach)), { minLength: 1, maxLength: 12 }), fc.integer({ min: 1, max: 4 }), fc.integer({ min: 0, max: 4 }), fc.boolean(), (reaches, maximumAttempts, retries, limitsUnsent) => {
    let withdrawn = 0
    const ledger = createAttemptLedger({ maximumAttempts, budget: { tryWithdraw: () => withdrawn < retries && ++withdrawn > 0 } })
    let arrivals = 0
    for (const reach of reaches) {
      ledger.record(reach)
      if (reach !== AttemptReach.none) arrivals++
      assert.ok(arrivals - 1 <= withdrawn, `${arrivals} arrivals, ${withdrawn} paid`)
      assert.ok(arrivals <= maximumAttempts)
      if (ledger.tryRepeat({ remainingMs: 500, limitsUnsent }) === null) return
    }
  }), { seed: 41 })
})

// Guards against a repeat that is paid for twice, or not at all.
test('reserveRepeat() pays once for the next repeat, when an attempt is in progress', () => {
  let withdrawals = 0
  const ledger = createAttemptLedger({ maximumAttempts: 2, budget: { tryWithdraw: () => ++withdrawals === 1 } })
  const query = { remainingMs: 500, limitsUnsent: true }
  assert.equal([ledger.reserveRepeat(query), ledger.reserveRepeat(query)], [true, true])
  ledger.record(AttemptReach.possible)
  assert.is(ledger.tryRepeat(query), 'paid')
  assert.is(ledger.withdrawals(), 1)
  assert.not(ledger.reserveRepeat(query))
})

test.run()
