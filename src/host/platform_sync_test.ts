/** Tests of reading the configuration from the table service. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createFakeObjectStore, createFakeTable } from '../../testing/fake_table.ts'
import { createConfigurationCache, publish, type ServiceConfiguration } from '../configuration/mod.ts'
import type { PlatformClient } from '../platform_client/mod.ts'
import type { HostListTracker } from './cell_input.ts'
import { createPlatformSync } from './platform_sync.ts'
import { createSharedRows } from './shared_rows.ts'

const test = suite('createPlatformSync')

function serviceOf (deadlineMs: number): ServiceConfiguration {
  return {
    name: 'a',
    match: { path: '/a' },
    requests: { idempotent: ['GET'], deadline_ms: deadlineMs, idempotency_key: 'optional' },
    servers: { slots: 1, connections: 1, checks_grants: true }
  }
}

// Guards against a confirmed publication that is never in force: its version and revision were those of one that the table service had lost.
test('poll() puts a publication in force, when the table service was restored and has lost earlier ones', async () => {
  for (const copied of [0, 1, 2]) {
    const table = createFakeTable()
    const objects = createFakeObjectStore()
    const configuration = createConfigurationCache()
    const sync = createPlatformSync({
      platform: { table, objects, hosts: { list: async () => ({ ok: true, value: { hosts: [], servers: [] } }) } } as unknown as PlatformClient,
      rows: createSharedRows(),
      configuration,
      tracker: { update () {} } as unknown as HostListTracker,
      peer: () => { throw new Error('There is no peer') },
      now: () => 0,
      onCall: () => {},
      onConfiguration: () => {}
    })
    for (const deadlineMs of [100, 200, 300]) {
      assert.is((await publish({ table, objects }, { services: [serviceOf(deadlineMs)], attemptId: `before-${deadlineMs}` })).kind, 'in-force')
      await sync.poll()
    }
    table.restore(copied)
    assert.is((await publish({ table, objects }, { services: [serviceOf(200)], attemptId: 'after' })).kind, 'in-force', `copy of revision ${copied}`)
    await sync.poll()
    assert.is(configuration.service('a')?.requests.deadline_ms, 200, `copy of revision ${copied}`)
  }
})

test.run()
