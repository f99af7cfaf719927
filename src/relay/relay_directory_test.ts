/** Tests of relay selection in a deployment with many hosts and servers. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { RoutedServer } from '../routing/mod.ts'
import { createRelayDirectory, type RelayDirectory, type RelayHost } from './relay_directory.ts'

const test = suite('createRelayDirectory')
const ZONES = ['a', 'b', 'c', 'd']
const hosts: RelayHost[] = Array.from({ length: 136 }, (_, index) => ({ host: `h${index}`, zone: ZONES[index % 4] ?? 'a', address: `10.0.0.${index}:7001`, weight: index % 8 === 0 ? 0.2 : 1 }))
const servers: RoutedServer[] = Array.from({ length: 183 }, (_, index) => ({ id: `i-${index}`, bornAt: 1, service: 'lookups', address: `10.0.1.${index}:80`, zone: ZONES[index % 4] ?? 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }))

function createDirectory (host: string, now: () => number = () => 0): RelayDirectory {
  const directory = createRelayDirectory({ host, now })
  directory.setHosts(hosts)
  return directory
}

test('select() returns the same relay on every host, in the zone of the server', () => {
  const [one, other] = [createDirectory('x'), createDirectory('y')]
  for (const server of servers) {
    const relay = one.select(server)
    assert.is(relay?.host, other.select(server)?.host)
    assert.is(hosts.find(({ host }) => host === relay?.host)?.zone, server.zone)
  }
})

test('select() assigns few servers to each host, and fewer to small hosts', () => {
  const directory = createDirectory('x')
  const counts = new Map<string, number>()
  for (const server of servers) {
    const host = directory.select(server)?.host ?? ''
    counts.set(host, (counts.get(host) ?? 0) + 1)
  }
  assert.ok(Math.max(...counts.values()) <= 8)
  const small = [...counts].filter(([host]) => hosts.find((candidate) => candidate.host === host)?.weight === 0.2).reduce((sum, [, count]) => sum + count, 0)
  assert.ok(small < 183 / 8, `${small} servers`)
})

test('select() changes the relay of few servers, when a host leaves', () => {
  const directory = createDirectory('x')
  const before = servers.map((server) => directory.select(server)?.host)
  directory.setHosts(hosts.slice(1))
  const changed = servers.filter((server, index) => directory.select(server)?.host !== before[index])
  assert.ok(changed.length <= 8, `${changed.length} servers`)
})

test('select() returns null, when the relay is this host, or no host is in the zone', () => {
  const [server] = servers
  if (server === undefined) return assert.unreachable()
  const relay = createDirectory('x').select(server)?.host ?? ''
  assert.is(createDirectory(relay).select(server), null)
  const empty = createDirectory('x')
  empty.setHosts(hosts.filter(({ zone }) => zone !== server.zone))
  assert.is(empty.select(server), null)
})

test('select() skips a relay, when requests through it time out, and uses it again later', () => {
  let now = 0
  const directory = createDirectory('x', () => now)
  const [server] = servers
  if (server === undefined) return assert.unreachable()
  const relay = directory.select(server)
  const ends = ['r1', 'r2'].map((request) => relay?.trackRequest(request, 100))
  now = 400
  assert.is(directory.select(server), null)
  for (const end of ends) end?.(false)
  now = 1500
  assert.is(directory.select(server)?.host, relay?.host)
})

test.run()
