/** Tests of reading settings. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { formatFinding } from '../errors/mod.ts'
import { readSettings } from './read_settings.ts'
import { daemonSettings } from './setting_table.ts'

const test = suite('readSettings')
const VALID_FLAGS = {
  callerListen: '127.0.0.1:8080', peerListen: '127.0.0.1:7100', zone: 'zone-1', platform: 'http://127.0.0.1:9000', peerSecret: 'a-secret-of-16-or-more'
}

test('readSettings() prefers flags to environment variables, and both to defaults', () => {
  const outcome = readSettings(daemonSettings, { flags: VALID_FLAGS, environment: { GOOSEBERRYFOLD_ZONE: 'zone-9', GOOSEBERRYFOLD_CELL: '3' } })
  if (outcome.kind === 'findings') return assert.unreachable(outcome.findings.map(formatFinding).join())
  assert.is(outcome.values.zone, 'zone-1')
  assert.is(outcome.values.cell, 3)
  assert.is(outcome.values.headerBytes, 16384)
})

test('readSettings() reports all findings at once with the flag or environment variable, the value and what was expected', () => {
  const outcome = readSettings(daemonSettings, {
    flags: { ...VALID_FLAGS, peerListen: 'somewhere', nonsense: true }, environment: { GOOSEBERRYFOLD_CELL: '-1', GOOSEBERRYFOLD_LOG_LEVEL: 'loud' }
  })
  if (outcome.kind === 'settings') return assert.unreachable()
  const lines = outcome.findings.map(formatFinding)
  assert.equal(lines, [
    '--peer-listen: The value "somewhere" is not valid, expected an address such as 10.0.0.1:7100',
    'GOOSEBERRYFOLD_CELL: The value "-1" is not valid, expected a whole number from 1 to 4096',
    'GOOSEBERRYFOLD_LOG_LEVEL: The value "loud" is not valid, expected trace, debug, info, warn or error',
    '--nonsense: The flag is unknown'
  ])
})

test('readSettings() does not show the value of a secret, when it is not valid', () => {
  const outcome = readSettings(daemonSettings, { flags: { ...VALID_FLAGS, peerSecret: 'short' }, environment: {} })
  if (outcome.kind === 'settings') return assert.unreachable()
  assert.not(outcome.findings.map(formatFinding).join().includes('short'))
})

test.run()
