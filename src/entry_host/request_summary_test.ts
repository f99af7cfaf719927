/** Tests of the counts that show how many requests of callers a host serves. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { RequestRecord } from '../gateway/mod.ts'
import { createLogger } from '../logging/mod.ts'
import { createRequestSummary } from './request_summary.ts'

const test = suite('createRequestSummary')

function recordOf (status: number, isFirstAttempt: boolean): RequestRecord {
  return { id: 'r1', route: 'lookups', service: 'orders', key: null, status, reason: 'served', durationMs: 1, attempts: [], isCallerConnected: true, isFirstAttempt }
}

test('record() logs requests and first attempts by second, when a request of a later second ends', () => {
  const lines: string[] = []
  let now = 0
  const summary = createRequestSummary(createLogger({ name: 'test', write (line) { lines.push(line) } }), () => now)
  for (const [status, isFirstAttempt] of [[200, true], [503, true], [404, false], [0, true]] as const) summary.record(recordOf(status, isFirstAttempt))
  assert.is(lines.length, 0)
  now = 3100
  summary.record(recordOf(200, true))
  assert.is(lines.length, 1)
  assert.match(lines[0] ?? '', /event=requests-summary requests=4 served=2 firstAttempts=3 firstAttemptsServed=1/)
})

test.run()
