/** Tests of the leader's updates of configuration and servers in a large deployment. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createRoutingState, type RoutingState } from '../gateway/mod.ts'
import type { Update } from '../replication/mod.ts'
import { RequestKind, type Route, type RoutedServer } from '../routing/mod.ts'
import { createPublishedUpdates, applyPublishedUpdate, type PublishedUpdate } from './published_updates.ts'

const test = suite('createPublishedUpdates')
const servers: RoutedServer[] = Array.from({ length: 300 }, (_, index) => ({
  id: `i-${index}`, bornAt: 5, service: 'lookups', address: `10.0.1.${index}:80`, zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0
}))

function configure (routingState: RoutingState, version: number, routes: number): void {
  routingState.applyConfiguration({
    version,
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    routes: Array.from({ length: routes }, (_, index): Route => ({
      name: `r-${index}`, host: 'one.example', prefix: `/p${index}/`, kind: RequestKind.once, latencyGoalMs: 300, timeoutMs: 600, maximumAttempts: 2, priority: 0, targets: [{ service: 'lookups', weight: 1 }]
    })),
    services: []
  })
}

function apply (update: Update | null, routingState: RoutingState): boolean {
  assert.ok(update !== null)
  return applyPublishedUpdate(update as PublishedUpdate, routingState)
}

test('nextServers() is short, when one of 300 servers leaves, and gives another host the same list', () => {
  const leader = createRoutingState()
  const follower = createRoutingState()
  const updates = createPublishedUpdates(leader)
  leader.setServers(servers)
  assert.ok(apply(updates.nextServers(), follower))
  leader.setServers(servers.map((server) => server.id === 'i-7' ? { ...server, leaving: true } : server).filter((server) => server.id !== 'i-9'))
  const update = updates.nextServers()
  assert.ok(JSON.stringify(update).length < 600)
  assert.ok(apply(update, follower))
  assert.is(follower.serversDigest(), leader.serversDigest())
  assert.not(follower.availableServers('lookups').some((server) => server.id === 'i-7' || server.id === 'i-9'))
  assert.is(updates.nextServers(), null)
})

test('nextConfiguration() is short, when a configuration of 2000 routes gets one more', () => {
  const leader = createRoutingState()
  const follower = createRoutingState()
  const updates = createPublishedUpdates(leader)
  configure(leader, 1, 2000)
  assert.ok(apply(updates.nextConfiguration(), follower))
  configure(leader, 4, 2001)
  const update = updates.nextConfiguration()
  assert.ok(JSON.stringify(update).length < 1000)
  assert.ok(apply(update, follower))
  assert.is(follower.configuration()?.version, 4)
  assert.is(follower.routes()?.match('one.example', '/p2000/x')?.name, 'r-2000')
})

test('applyPublishedUpdate() returns false, when a host has missed a change', () => {
  const leader = createRoutingState()
  const follower = createRoutingState()
  const updates = createPublishedUpdates(leader)
  for (const version of [1, 2, 3]) {
    configure(leader, version, version)
    leader.setServers(servers.slice(version))
    const [configuration, list] = [updates.nextConfiguration(), updates.nextServers()]
    if (version === 2) continue
    assert.is(apply(configuration, follower), version === 1)
    assert.is(apply(list, follower), version === 1)
  }
})

test('applyPublishedUpdate() changes nothing, when a host has a later configuration', () => {
  const leader = createRoutingState()
  const follower = createRoutingState()
  const updates = createPublishedUpdates(leader)
  configure(leader, 1, 1)
  updates.nextConfiguration()
  configure(leader, 2, 2)
  configure(follower, 9, 9)
  assert.ok(apply(updates.nextConfiguration(), follower))
  assert.is(follower.configuration()?.version, 9)
})

test.run()
