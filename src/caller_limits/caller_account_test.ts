/** Tests of the account: which connections are read, and which are closed when it is full. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createCallerAccount, Held, type CallerAccount, type ConnectionAccount, type ConnectionRest } from './caller_account.ts'

const test = suite('createCallerAccount')

const MEGABYTE = 1024 * 1024

/** Opens a connection that holds some megabytes; its name is added to `closed` when it is closed. */
function open (account: CallerAccount, closed: string[], { name, megabytes, rest = {} }: { readonly name: string, readonly megabytes: number, readonly rest?: Partial<ConnectionRest> }): ConnectionAccount {
  const connection = account.open({ address: name, end () { closed.push(name) }, onFull () {}, onRoom () {} })
  connection.change(Held.bodies, megabytes * MEGABYTE)
  connection.setRest({ stalledMs: 0, blockedMs: 0, idleMs: 0, ...rest })
  return connection
}

// Guards against a caller that is inside the limits paying for those that are not.
test('makeRoom() closes those longest without progress first, then those that hold most, and never one that makes progress', () => {
  const account = createCallerAccount({ capacityBytes: 10 * MEGABYTE })
  const closed: string[] = []
  open(account, closed, { name: 'in progress', megabytes: 5.6 })
  open(account, closed, { name: 'short stall', megabytes: 2, rest: { stalledMs: 1200 } })
  open(account, closed, { name: 'long stall', megabytes: 1, rest: { stalledMs: 5000 } })
  open(account, closed, { name: 'long stall that holds more', megabytes: 1.2, rest: { stalledMs: 5400 } })
  open(account, closed, { name: 'idle', megabytes: 1, rest: { idleMs: 9000 } })
  account.makeRoom()
  assert.equal(closed, ['long stall that holds more', 'long stall'])
  open(account, closed, { name: 'blocked', megabytes: 3, rest: { blockedMs: 3000 } })
  account.makeRoom()
  assert.equal(closed.slice(2), ['short stall', 'blocked'])
  open(account, closed, { name: 'another in progress', megabytes: 9 })
  account.makeRoom()
  assert.is(closed.length, 4)
  assert.equal(account.describe().ended, { memory: 4 })
})

test('mayRead() leaves callers that hold little a reserve, and makeRoom() closes nothing, while there is room', () => {
  const account = createCallerAccount({ capacityBytes: 10 * MEGABYTE })
  const closed: string[] = []
  const large = open(account, closed, { name: 'large', megabytes: 9, rest: { stalledMs: 9000 } })
  const small = open(account, closed, { name: 'small', megabytes: 0.05 })
  account.makeRoom()
  assert.equal([large.mayRead(), small.mayRead(), closed.length], [true, true, 0])
  large.change(Held.bodies, 2 * MEGABYTE)
  assert.equal([large.mayRead(), small.mayRead()], [false, true])
  large.change(Held.bodies, 2 * MEGABYTE)
  assert.equal([large.mayRead(), small.mayRead()], [false, false])
  account.makeRoom()
  assert.equal([closed, small.mayRead()], [['large'], true])
})

// Guards against room that is lost for ever: what a connection holds is released by its requests only after it has been closed.
test('close() releases everything once, when changes follow it', () => {
  const account = createCallerAccount({ capacityBytes: 10 * MEGABYTE })
  const connection = open(account, [], { name: 'left', megabytes: 3 })
  connection.close()
  connection.change(Held.bodies, -3 * MEGABYTE)
  connection.close()
  assert.is(account.describe().heldBytes, 0)
})

test.run()
