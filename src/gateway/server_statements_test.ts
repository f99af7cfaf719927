/** Tests of load statements: an outdated one would keep requests from a server, or send them there, for no reason. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { RoutedServer } from '../routing/mod.ts'
import { createServerStatements, parseServerStatement } from './server_statements.ts'

const test = suite('createServerStatements')
const server: RoutedServer = { id: 'i-1', bornAt: 1, service: 'lookups', address: '10.0.0.1:80', zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }

test('parseServerStatement() reads three or four figures', () => {
  assert.equal(parseServerStatement('3,0,8'), { running: 3, waiting: 0, slots: 8, slowdown: 1 })
  assert.equal(parseServerStatement('3, 1, 8, 300'), { running: 3, waiting: 1, slots: 8, slowdown: 3 })
})

test('parseServerStatement() returns null, when the value is no statement', () => {
  for (const value of ['', '3,0', '3,0,8,1,1', 'a,b,c', '-1,0,8', '3,0,0', '3,0,8,0', '3.5,0,8', '3,0,8,', '9999999,0,8']) assert.is(parseServerStatement(value), null, value)
})

test('slowdown() counts for less the older the statement is', () => {
  let now = 0
  const statements = createServerStatements(() => now)
  statements.record(server, '4,0,4,300')
  assert.is(statements.slowdown(server), 3)
  now = 200
  assert.is(statements.slowdown(server), 2)
  now = 500
  assert.is(statements.slowdown(server), 1)
})

test('slowdown() returns 1, when the statement is of an earlier run of the server', () => {
  const statements = createServerStatements(() => 0)
  statements.record(server, '4,0,4,300')
  assert.is(statements.slowdown({ ...server, bornAt: 2 }), 1)
})

test('foreignRequests() returns the requests that others have sent, while the statement is recent', () => {
  let now = 0
  const statements = createServerStatements(() => now)
  statements.record(server, '4,3,4')
  assert.is(statements.foreignRequests(server, 2), 4)
  assert.is(statements.foreignRequests(server, 9), 0)
  now = 300
  assert.is(statements.foreignRequests(server, 2), 0)
})

test.run()
