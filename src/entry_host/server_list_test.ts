/** Tests of which servers are considered present around store outages. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { RoutedServer } from '../routing/mod.ts'
import { createServerList } from './server_list.ts'

const test = suite('createServerList')

function server (id: string, address = `10.0.0.${id.slice(1)}:80`): RoutedServer {
  return { id, bornAt: 1, service: 'orders', address, zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }
}

function ids (servers: readonly RoutedServer[]): string[] {
  return servers.map((entry) => entry.id).sort()
}

test('onRead() drops a missing server at once, when the store has been responding', () => {
  const list = createServerList()
  list.onRead([server('s1'), server('s2')], 0)
  assert.equal(ids(list.onRead([server('s1')], 5000)), ['s1'])
})

test('onRead() keeps a missing server until it had time to be listed again, when the store was unavailable', () => {
  const list = createServerList()
  list.onRead([server('s1'), server('s2')], 0)
  list.onFailure(10_000)
  assert.equal(ids(list.onRead([server('s1')], 11_000)), ['s1', 's2'])
  assert.equal(ids(list.onRead([server('s1')], 12_600)), ['s1'])
})

test('onRead() drops a missing server whose address another server uses, when the store was unavailable', () => {
  const list = createServerList()
  list.onRead([server('s1'), server('s2')], 0)
  list.onFailure(10_000)
  assert.equal(ids(list.onRead([server('s1'), server('s3', '10.0.0.2:80')], 11_000)), ['s1', 's3'])
})

test.run()
