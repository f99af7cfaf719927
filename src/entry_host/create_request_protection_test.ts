/** Tests of the protection of a host: an operator must be able to end a refusal on all hosts. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createFakeTable } from '../../testing/fake_table.ts'
import { NO_EVIDENCE } from '../fatal_requests/mod.ts'
import { createLeadership } from '../leadership/mod.ts'
import { createLogger } from '../logging/mod.ts'
import { ProbeResult } from '../reachability/mod.ts'
import type { EvidenceMessage } from '../replication/mod.ts'
import { createRequestProtection } from './create_request_protection.ts'

const test = suite('request protection')

test('lift() ends a refusal and passes that on, and returns false for a request that is not refused', async () => {
  const now = (): number => performance.now()
  const table = createFakeTable()
  const logger = createLogger({ name: 'test', write: () => {} })
  const sent: EvidenceMessage[] = []
  const protection = createRequestProtection({
    routingState: { server: () => undefined },
    probe: async () => await Promise.resolve(ProbeResult.connected),
    verifyReachability: async () => await Promise.resolve(true),
    table,
    leadership: createLeadership({ table, logger, holder: 'h1', address: 'h1:1', now, wallClock: now }),
    isLeading: () => false,
    publish: () => {},
    send (message) { sent.push(message) },
    onServerRefusing: () => {},
    logger,
    now
  })
  protection.guard.merge({ ...NO_EVIDENCE, refusals: [{ fingerprint: 'fatal', refusedAt: now() - 1, until: now() + 60_000, times: 1 }] })
  assert.equal(protection.describe().map(({ fingerprint, times }) => [fingerprint, times]), [['fatal', 1]])
  assert.equal([protection.lift('other'), protection.lift('fatal'), protection.lift('fatal')], [false, true, false])
  await new Promise((resolve) => { setTimeout(resolve, 30) })
  assert.equal(sent.map(({ completions }) => completions[0]?.[0]), ['fatal'])
})

test.run()
