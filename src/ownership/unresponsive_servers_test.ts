/** Tests of which servers the leader gives no ranges because they do not respond to it. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLogger } from '../logging/mod.ts'
import { createUnresponsiveServers } from './_unresponsive_servers.ts'

const test = suite('createUnresponsiveServers')
const logger = createLogger({ name: 'test', write: () => {} })

// Guards against a leader that moves keys from one healthy server to another because it has lost its own paths to them.
test('suspects() returns no server while this host reaches none, and after that only servers that still do not respond', () => {
  let now = 0
  let reachesServersSince = -Infinity
  const servers = createUnresponsiveServers({ service: 'orders', logger, now: () => now, probeIntervalMs: 250, reachesServersSince: () => reachesServersSince })
  for (const id of ['s1', 's2']) servers.recordOutcome(id, { kind: 'silent', detail: 'No response' })
  now = 500
  assert.equal([...servers.suspects()], ['s1', 's2'])
  reachesServersSince = Infinity
  assert.equal([...servers.suspects()], [])
  now = 5000
  reachesServersSince = 5000
  assert.equal([...servers.suspects()], [])
  servers.recordOutcome('s1', { kind: 'done', handover: null })
  now = 5500
  assert.equal([...servers.suspects()], ['s2'])
})

test.run()
