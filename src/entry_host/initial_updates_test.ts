/** Tests of the updates for newly connected hosts: encoded once for many hosts, and never older than a published change. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createRoutingState, type RoutingState } from '../gateway/mod.ts'
import type { Update } from '../replication/mod.ts'
import { createInitialUpdates } from './initial_updates.ts'

const test = suite('createInitialUpdates')

function createState (): RoutingState {
  const routingState = createRoutingState()
  routingState.applyConfiguration({ version: 3, limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }, routes: [], services: [] })
  routingState.setServers([{ id: 'i-1', bornAt: 1, service: 'lookups', address: '10.0.0.1:80', zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }])
  return routingState
}

function ownedBy (server: string): () => Update[] {
  return () => [{ kind: 'owners', service: 'lookups', changes: [[0, 65_535, server]] }]
}

test('forHost() returns the same objects for all hosts, when 200 hosts connect to a new leader', () => {
  const updates = createInitialUpdates(createState())
  const first = updates.forHost({ version: 0, servers: '' }, { ownersUpdates: ownedBy('i-1'), now: 0 })
  assert.equal(first.map((update) => update.kind), ['configuration', 'servers', 'owners'])
  for (let host = 0; host < 200; host++) {
    const next = updates.forHost({ version: 0, servers: '' }, { ownersUpdates: ownedBy('i-1'), now: host / 4 })
    for (const [index, update] of next.entries()) assert.is(update, first[index])
  }
})

test('forHost() returns the new owner, when it changed after another host had connected in the same millisecond', () => {
  const updates = createInitialUpdates(createState())
  updates.forHost({ version: 0, servers: '' }, { ownersUpdates: ownedBy('i-1'), now: 0 })
  updates.invalidateOwners()
  const [owners] = updates.forHost({ version: 3, servers: createState().serversDigest() }, { ownersUpdates: ownedBy('i-2'), now: 0 })
  assert.equal(owners, { kind: 'owners', service: 'lookups', changes: [[0, 65_535, 'i-2']] })
})

test('forHost() returns new configuration and servers, when these have changed, and only owners to a host that has both', () => {
  const routingState = createState()
  const updates = createInitialUpdates(routingState)
  const before = updates.forHost({ version: 0, servers: '' }, { ownersUpdates: ownedBy('i-1'), now: 0 })
  routingState.applyConfiguration({ version: 4, limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }, routes: [], services: [] })
  routingState.setServers([])
  const after = updates.forHost({ version: 3, servers: 'other' }, { ownersUpdates: ownedBy('i-1'), now: 1 })
  assert.is.not(after[0], before[0])
  assert.equal(after[1], { kind: 'servers', servers: [] })
  assert.equal(updates.forHost({ version: 4, servers: routingState.serversDigest() }, { ownersUpdates: ownedBy('i-1'), now: 1 }).map((update) => update.kind), ['owners'])
})

test.run()
