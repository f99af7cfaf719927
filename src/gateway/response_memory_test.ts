/** Tests of the memory for responses: its bound must hold whatever servers send, and responses of other servers must not pay for one. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createResponseMemory } from './response_memory.ts'

const test = suite('response memory')

const PROPERTY_RUNS = Number(process.env.PROPERTY_RUNS ?? 300)

test('set() ends the longest response of the server that takes most, when the capacity is used up', () => {
  const ended: string[] = []
  const memory = createResponseMemory({ capacityBytes: 1000, onEnded (server, bytes) { ended.push(`${server} ${bytes}`) } })
  const open = (server: string, bytes: number): void => {
    const account = memory.open()
    account.begin(server, () => {})
    account.set(bytes)
  }
  open('other', 400)
  for (const bytes of [100, 250, 150]) open('faulty', bytes)
  assert.equal(ended, [])
  open('other-too', 150)
  assert.equal(ended, ['faulty 250'])
  assert.is(memory.bytes(), 800)
})

test('set() keeps the bound, and close() leaves nothing, in whatever order responses grow, end and close', () => {
  const arbitraryStep = fc.record({ account: fc.integer({ min: 0, max: 9 }), kind: fc.constantFrom('begin', 'set', 'close'), server: fc.constantFrom('a', 'b', 'c'), bytes: fc.integer({ min: 0, max: 700 }) })
  fc.assert(fc.property(fc.array(arbitraryStep, { maxLength: 60 }), (steps) => {
    const memory = createResponseMemory({ capacityBytes: 1000 })
    const accounts = Array.from({ length: 10 }, () => memory.open())
    for (const step of steps) {
      const account = accounts[step.account]
      if (step.kind === 'begin') account?.begin(step.server, () => {})
      else if (step.kind === 'set') account?.set(step.bytes)
      else account?.close()
      assert.ok(memory.bytes() >= 0 && memory.bytes() <= 1000)
    }
    for (const account of accounts) account.close()
    assert.is(memory.bytes(), 0)
  }), { numRuns: PROPERTY_RUNS })
})

test('mayBuffer() returns false for the responses of one server, when they take more than is free, and true for those of another', () => {
  const memory = createResponseMemory({ capacityBytes: 1000 })
  const [first, second, other] = [memory.open(), memory.open(), memory.open()]
  for (const account of [first, second]) account.begin('faulty', () => {})
  other.begin('other', () => {})
  first.set(400)
  assert.is(first.mayBuffer(), true)
  second.set(200)
  assert.equal([first.mayBuffer(), second.mayBuffer(), other.mayBuffer()], [false, false, true])
  first.close()
  assert.is(second.mayBuffer(), true)
})

test('mayBuffer() returns false, when a response is longer than any that is buffered', () => {
  const account = createResponseMemory().open()
  account.set(512 * 1024 + 1)
  assert.is(account.mayBuffer(), false)
})

test('set() does nothing, when the response has been ended or its account is closed', () => {
  let calls = 0
  const memory = createResponseMemory({ capacityBytes: 100 })
  const account = memory.open()
  account.begin('faulty', () => { calls++ })
  for (const bytes of [200, 300]) account.set(bytes)
  assert.equal([calls, memory.bytes()], [1, 0])
  account.close()
  account.set(50)
  assert.is(memory.bytes(), 0)
})

test.run()
