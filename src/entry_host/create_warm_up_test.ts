/** Tests of the messages between hosts about cold servers, and of the log. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createRoutingState, type RoutingState } from '../gateway/mod.ts'
import { createLogger } from '../logging/mod.ts'
import type { Update } from '../replication/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import { createWarmUp, type WarmUp } from './create_warm_up.ts'
import { createInitialUpdates } from './initial_updates.ts'

const test = suite('createWarmUp')
const server: RoutedServer = { id: 'i-1', bornAt: 1, service: 'orders', address: '10.0.0.1:80', zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 }

interface TestHost { readonly warmUp: WarmUp, readonly routingState: RoutingState, readonly published: Update[], readonly lines: string[], read (warmUpLeftMs: number): void }

function createHost ({ isLeading = false, isRelay = true } = {}): TestHost {
  const routingState = createRoutingState()
  routingState.applyConfiguration({ version: 1, limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }, routes: [], services: [{ name: 'orders', keyed: false, maximumConnections: 9, coldKeyMs: 0, warmUp: { durationMs: 3000, requestsPerSecond: 5 } }] })
  const published: Update[] = []
  const lines: string[] = []
  const logger = createLogger({ name: 'test', write (line) { lines.push(line) } })
  const warmUp = createWarmUp({ routingState, relays: () => ({ isRelay: () => isRelay }), bound: null, isLeading: () => isLeading, publish (update) { published.push(update) }, logger, now: () => 0 })
  return {
    warmUp,
    routingState,
    published,
    lines,
    read (warmUpLeftMs) {
      routingState.setServers([{ ...server, warmUpLeftMs }])
      warmUp.onServersRead()
    }
  }
}

test('onServersRead() notifies hosts as the leader, when only the warm-up of an entry has changed', () => {
  const [leader, reader] = [createHost({ isLeading: true }), createHost()]
  for (const host of [leader, reader]) {
    host.read(0)
    const digest = host.routingState.serversDigest()
    host.read(2500)
    assert.is(host.routingState.serversDigest(), digest)
    assert.ok(host.warmUp.tracker.isCold(server))
  }
  assert.equal(leader.published, [{ kind: 'cold-servers', servers: [['i-1', 1, 2500]] }])
  assert.equal(reader.published, [])
  assert.equal(leader.warmUp.initialUpdates(), leader.published)
})

// Guards against servers that a host limits although they have long been warm, because the leader had kept an old list to send.
test('initial updates contain the warm-up of the last read, when the digest of the list is that of an earlier one', () => {
  const leader = createHost({ isLeading: true })
  const initialUpdates = createInitialUpdates(leader.routingState)
  for (const warmUpLeftMs of [3000, 0]) {
    leader.read(warmUpLeftMs)
    const updates = initialUpdates.forHost({ version: 1, servers: '' }, { ownersUpdates: () => [], now: 0 })
    assert.equal(updates, [{ kind: 'servers', servers: [{ ...server, warmUpLeftMs }] }])
  }
})

test('a server that becomes cold has one line with the cause at its relay, and none at other hosts', () => {
  for (const isRelay of [true, false]) {
    const host = createHost({ isRelay })
    host.read(2500)
    host.warmUp.tracker.recordRefusedConnection(server)
    host.warmUp.tracker.tick()
    assert.equal(host.lines.filter((line) => /server-cold.*server=i-1.*reason=stated/.test(line)).length, isRelay ? 1 : 0)
    assert.is(host.lines.length, isRelay ? 1 : 0)
  }
})

test.run()
