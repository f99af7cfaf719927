/** Tests of relay selection in a deployment with many hosts and servers. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Relay } from '../gateway/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import { createRelayDirectory, type RelayDirectory, type RelayHost } from './relay_directory.ts'

const test = suite('createRelayDirectory')
const ZONES = ['a', 'b', 'c', 'd']
const hosts: RelayHost[] = Array.from({ length: 136 }, (_, index) => ({ host: `h${index}`, zone: ZONES[index % 4] ?? 'a', address: `10.0.0.${index}:7001`, weight: index % 8 === 0 ? 0.2 : 1 }))
const servers: RoutedServer[] = Array.from({ length: 183 }, (_, index) => ({ id: `i-${index}`, bornAt: 1, service: 'lookups', address: `10.0.1.${index}:80`, zone: ZONES[index % 4] ?? 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }))

/** The relay of a server; `null` if requests go to it directly. */
function relayOf (directory: RelayDirectory, server: RoutedServer): Relay | null {
  const path = directory.select(server, { bodyBytes: 0, isLimited: false, triedRelays: new Set(), triedDirectly: false })
  assert.is.not(path.kind, 'none')
  return path.kind === 'relay' ? path.relay : null
}

function createDirectory (host: string, now: () => number = () => 0): RelayDirectory {
  const directory = createRelayDirectory({ host, now, isolation: () => null, onRelayLost: () => {} })
  directory.setHosts(hosts)
  return directory
}

test('select() returns the same relay on every host, in the zone of the server', () => {
  const [one, other] = [createDirectory('x'), createDirectory('y')]
  for (const server of servers) {
    const relay = relayOf(one, server)
    assert.is(relay?.host, relayOf(other, server)?.host)
    assert.is(hosts.find(({ host }) => host === relay?.host)?.zone, server.zone)
  }
})

test('select() assigns few servers to each host, and fewer to small hosts', () => {
  const directory = createDirectory('x')
  const counts = new Map<string, number>()
  for (const server of servers) {
    const host = relayOf(directory, server)?.host ?? ''
    counts.set(host, (counts.get(host) ?? 0) + 1)
  }
  assert.ok(Math.max(...counts.values()) <= 8)
  const small = [...counts].filter(([host]) => hosts.find((candidate) => candidate.host === host)?.weight === 0.2).reduce((sum, [, count]) => sum + count, 0)
  assert.ok(small < 183 / 8, `${small} servers`)
})

test('select() changes the relay of few servers, when a host leaves', () => {
  const directory = createDirectory('x')
  const before = servers.map((server) => relayOf(directory, server)?.host)
  directory.setHosts(hosts.slice(1))
  const changed = servers.filter((server, index) => relayOf(directory, server)?.host !== before[index])
  assert.ok(changed.length <= 8, `${changed.length} servers`)
})

test('select() returns null, when the relay is this host, or no host is in the zone', () => {
  const [server] = servers
  if (server === undefined) return assert.unreachable()
  const relay = relayOf(createDirectory('x'), server)?.host ?? ''
  assert.is(relayOf(createDirectory(relay), server), null)
  const empty = createDirectory('x')
  empty.setHosts(hosts.filter(({ zone }) => zone !== server.zone))
  assert.is(relayOf(empty, server), null)
})

test('select() skips a relay, when requests through it time out, and uses it again later', () => {
  let now = 0
  const directory = createDirectory('x', () => now)
  const [server] = servers
  if (server === undefined) return assert.unreachable()
  const relay = relayOf(directory, server)
  const ends = ['r1', 'r2'].map((request) => relay?.trackRequest(request, 100))
  now = 400
  assert.is(relayOf(directory, server), null)
  for (const end of ends) end?.(false)
  now = 1500
  assert.is(relayOf(directory, server)?.host, relay?.host)
})

test('select() sends each request of a host that reaches no server through the relay of the server, and through further hosts that it has not tried', () => {
  const directory = createRelayDirectory({ host: 'h4', now: () => 0, isolation: () => ({ isSilent: true }), onRelayLost: () => {} })
  directory.setHosts(hosts.filter(({ host }) => host !== 'h4'))
  const other = createDirectory('x')
  other.setHosts(hosts.filter(({ host }) => host !== 'h4'))
  for (const server of servers) {
    const triedRelays = new Set<string>()
    for (let attempt = 0; attempt < 3; attempt++) {
      // A long body takes the same way: there is no other.
      const path = directory.select(server, { bodyBytes: 60_000, isLimited: false, triedRelays, triedDirectly: false })
      if (path.kind !== 'relay') return assert.unreachable()
      if (attempt === 0) assert.is(path.relay.host, relayOf(other, server)?.host)
      assert.is(triedRelays.has(path.relay.host), false)
      triedRelays.add(path.relay.host)
    }
    assert.is(directory.select(server, { bodyBytes: 0, isLimited: false, triedRelays, triedDirectly: false }).kind, 'none')
  }
})

test('select() sends the requests of a host that reaches no server through other zones, when no host of the server\'s zone can relay', () => {
  const directory = createRelayDirectory({ host: 'x', now: () => 0, isolation: () => ({ isSilent: true }), onRelayLost: () => {} })
  directory.setHosts(hosts.filter(({ zone }) => zone === 'b'))
  for (const server of servers) assert.is(directory.select(server, { bodyBytes: 0, isLimited: false, triedRelays: new Set(), triedDirectly: false }).kind, 'relay')
})

test('select() returns no path, or the direct one while only new connections fail, when no host relays for one that reaches no server', () => {
  let isSilent = true
  const directory = createRelayDirectory({ host: 'x', now: () => 0, isolation: () => ({ isSilent }), onRelayLost: () => {} })
  const [server] = servers
  if (server === undefined) return assert.unreachable()
  assert.is(directory.select(server, { bodyBytes: 0, isLimited: false, triedRelays: new Set(), triedDirectly: false }).kind, 'none')
  isSilent = false
  assert.is(directory.select(server, { bodyBytes: 0, isLimited: false, triedRelays: new Set(), triedDirectly: false }).kind, 'direct')
  assert.is(directory.select(server, { bodyBytes: 0, isLimited: false, triedRelays: new Set(), triedDirectly: true }).kind, 'none')
})

test('select() uses another host of the zone for a while, when a relay reaches no server', () => {
  let now = 0
  const lost: string[] = []
  const directory = createRelayDirectory({ host: 'x', now: () => now, isolation: () => null, onRelayLost (host) { lost.push(host) } })
  directory.setHosts(hosts)
  const [server] = servers
  if (server === undefined) return assert.unreachable()
  const relay = relayOf(directory, server)?.host ?? ''
  directory.recordIsolated(relay)
  assert.equal(lost, [relay])
  const next = relayOf(directory, server)?.host
  assert.is.not(next, relay)
  assert.is(hosts.find(({ host }) => host === next)?.zone, server.zone)
  now = 1500
  assert.is(relayOf(directory, server)?.host, relay)
})

test.run()
