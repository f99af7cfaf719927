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
  list.onRead({ era: 1, value: [server('s1'), server('s2')] }, 0)
  assert.equal(ids(list.onRead({ era: 1, value: [server('s1')] }, 5000)), ['s1'])
})

test('onRead() keeps a missing server until it had time to be listed again, when the store was unavailable', () => {
  const list = createServerList()
  list.onRead({ era: 1, value: [server('s1'), server('s2')] }, 0)
  list.onFailure(10_000)
  assert.equal(ids(list.onRead({ era: 1, value: [server('s1')] }, 11_000)), ['s1', 's2'])
  assert.equal(ids(list.onRead({ era: 1, value: [server('s1')] }, 12_600)), ['s1'])
})

test('onRead() drops a missing server whose address another server uses, when the store was unavailable', () => {
  const list = createServerList()
  list.onRead({ era: 1, value: [server('s1'), server('s2')] }, 0)
  list.onFailure(10_000)
  assert.equal(ids(list.onRead({ era: 1, value: [server('s1'), server('s3', '10.0.0.2:80')] }, 11_000)), ['s1', 's3'])
})

// Guards against a server that is sent requests again although it was leaving: the copy lists it as it was before.
test('onRead() keeps a server leaving, when the store is restored to before it was', () => {
  const list = createServerList()
  list.onRead({ era: 1, value: [server('s1'), server('s2')] }, 0)
  list.onRead({ era: 1, value: [{ ...server('s1'), leaving: true }, server('s2')] }, 5000)
  const present = list.onRead({ era: 2, value: [server('s1'), server('s2')] }, 9000)
  assert.equal(present.filter((entry) => entry.leaving).map((entry) => entry.id), ['s1'])
  const restarted = list.onRead({ era: 2, value: [{ ...server('s1'), bornAt: 2 }, server('s2')] }, 9500)
  assert.equal(restarted.filter((entry) => entry.leaving), [])
})

// Guards against a server that is used again after it has left.
test('onRead() does not list a server again that had left, when the store is restored to before it left', () => {
  const list = createServerList()
  list.onRead({ era: 1, value: [server('s1'), server('s2')] }, 0)
  list.onRead({ era: 1, value: [server('s2')] }, 5000)
  assert.equal(ids(list.onRead({ era: 2, value: [server('s1'), server('s2')] }, 9000)), ['s2'])
  assert.equal(ids(list.onRead({ era: 2, value: [server('s1'), server('s2')] }, 12_000)), ['s2'])
  assert.equal(ids(list.onRead({ era: 2, value: [{ ...server('s1'), bornAt: 2 }, server('s2')] }, 12_000)), ['s1', 's2'])
})

// Guards against the loss of a server that the copy does not list yet.
test('onRead() keeps a new server until it had time to be listed again, when the store is restored to before it joined', () => {
  const list = createServerList()
  list.onRead({ era: 1, value: [server('s1')] }, 0)
  list.record([server('s1'), server('s2')], 5000)
  assert.equal(ids(list.onRead({ era: 2, value: [server('s1')] }, 6000)), ['s1', 's2'])
  assert.equal(ids(list.onRead({ era: 2, value: [server('s1')] }, 9000)), ['s1'])
})

// Guards against two owners of a key: an entry of an earlier run was taken for a restart, although the present run still held its keys.
test('onRead() keeps the present run of a server, when the store is restored to before its last start', () => {
  const list = createServerList()
  list.onRead({ era: 1, value: [server('s1'), server('s2')] }, 0)
  list.onRead({ era: 1, value: [{ ...server('s1'), bornAt: 7 }, server('s2')] }, 5000)
  for (const at of [9000, 12_000]) {
    const present = list.onRead({ era: 2, value: [{ ...server('s1'), leaving: true }, server('s2')] }, at)
    assert.equal(present.filter((entry) => entry.id === 's1').map((entry) => [entry.bornAt, entry.leaving]), [[7, false]], `at ${at}`)
  }
})

test('onRead() ignores a list of an earlier era, when its response is late', () => {
  const list = createServerList()
  list.onRead({ era: 2, value: [server('s1')] }, 0)
  assert.equal(ids(list.onRead({ era: 1, value: [server('s2')] }, 100)), ['s1'])
})

test.run()
