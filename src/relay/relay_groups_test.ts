/** Tests of server groups: hosts that form different groups would send to different relays, and no relay would know all requests. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { RoutedServer } from '../routing/mod.ts'
import { createRelayDirectory } from './relay_directory.ts'
import { createRelayGroups, type RelayGroups } from './relay_groups.ts'

const test = suite('createRelayGroups')
const ZONES = ['a', 'b', 'c']

function createServers (count: number, service: string): RoutedServer[] {
  return Array.from({ length: count }, (_, index) => ({ id: `${service}-${index}`, bornAt: 1, service, address: `10.0.1.${index}:80`, zone: ZONES[index % 3] ?? 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }))
}

function createGroups (servers: readonly RoutedServer[]): RelayGroups {
  return createRelayGroups({ servers: () => servers, service: (name) => ({ name, keyed: name === 'keyed', maximumConnections: 100, coldKeyMs: 0, ...(name === 'unlimited' ? {} : { warmUp: { durationMs: 3000, requestsPerSecond: 5 } }) }) })
}

test('groupOf() groups the servers of a zone of a large service, each with some others', () => {
  const servers = createServers(79, 'lookups')
  const groups = createGroups(servers)
  const sizes = new Map<string, number>()
  for (const server of servers) {
    const group = groups.groupOf(server)
    assert.ok(group?.startsWith(`lookups/${server.zone}/`))
    sizes.set(group ?? '', (sizes.get(group ?? '') ?? 0) + 1)
  }
  assert.ok(sizes.size <= 12, `${sizes.size} groups`)
})

test('groupOf() returns null, when the service has keys or few servers', () => {
  const servers = [...createServers(79, 'keyed'), ...createServers(18, 'small')]
  const groups = createGroups(servers)
  assert.ok(servers.every((server) => groups.groupOf(server) === null))
})

test('groupOf() returns null, when the service states no request rate for cold servers', () => {
  const servers = createServers(79, 'unlimited')
  const groups = createGroups(servers)
  assert.ok(servers.every((server) => groups.groupOf(server) === null))
})

test('groupOf() keeps the groups, when a few servers leave', () => {
  const servers = createServers(79, 'lookups')
  const [before, after] = [createGroups(servers), createGroups(servers.slice(6))]
  assert.ok(servers.slice(6).every((server) => before.groupOf(server) === after.groupOf(server)))
})

test('select() returns one relay for a group, mostly one of the largest hosts of the zone', () => {
  const servers = createServers(79, 'lookups')
  const groups = createGroups(servers)
  const directory = createRelayDirectory({ host: 'x', now: () => 0, isolation: () => null, groupOf: groups.groupOf, onRelayLost: () => {} })
  directory.setHosts(ZONES.flatMap((zone) => Array.from({ length: 36 }, (_, index) => ({ host: `${zone}-${index}`, zone, address: `10.0.0.${index}:7001`, weight: index < 2 ? 1.35 : 0.189 }))))
  const relays = new Map<string, Set<string>>()
  for (const server of servers) {
    const path = directory.select(server, { bodyBytes: 0, isLimited: false, triedRelays: new Set(), triedDirectly: false })
    const group = groups.groupOf(server) ?? ''
    relays.set(group, (relays.get(group) ?? new Set()).add(path.kind === 'relay' ? path.relay.host : ''))
  }
  assert.ok([...relays.values()].every((hosts) => hosts.size === 1))
  const large = [...relays.values()].filter((hosts) => [...hosts].every((host) => /-[01]$/.test(host)))
  assert.ok(large.length >= relays.size * 0.75, `${large.length} of ${relays.size}`)
})

test.run()
