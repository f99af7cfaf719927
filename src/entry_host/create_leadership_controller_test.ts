/** Tests of claiming leadership and of reading the store without a leader. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createRoutingState } from '../gateway/mod.ts'
import { createLeadership, LEASE_KEY } from '../leadership/mod.ts'
import { createLogger } from '../logging/mod.ts'
import { fail, succeed, type RowWrite, type TableRow, type TableService } from '../ports/mod.ts'
import { createLeadershipController, type LeadershipController } from './create_leadership_controller.ts'
import type { Coordinator } from './create_coordinator.ts'
import type { StatePublisher } from './create_state_publisher.ts'
import { createLeaderMonitor, type LeaderMonitor } from './leader_monitor.ts'
import type { StoreReader } from './store_reader.ts'

const test = suite('createLeadershipController')
const logger = createLogger({ name: 'test', write: () => {} })

interface Host {
  readonly leadershipController: LeadershipController
  readonly leaderMonitor: LeaderMonitor
  /** Reads of the store, in order. */
  readonly reads: string[]
  readonly followed: Array<string | null>
}

function createTable (rows: Map<string, TableRow>): TableService {
  let revision = Math.max(0, ...[...rows.values()].map((row) => row.revision))
  return {
    read: async (key) => succeed(rows.get(key) ?? null),
    changes: async () => succeed({ revision, rows: [...rows.values()] }),
    async write (writes: readonly RowWrite[]) {
      if (writes.some((write) => (rows.get(write.key)?.revision ?? 0) !== write.expectedRevision)) return fail({ kind: 'conflict', current: [...rows.values()] })
      revision++
      for (const write of writes) rows.set(write.key, { key: write.key, revision, value: write.value })
      return succeed(revision)
    }
  }
}

function createHost (rows: Map<string, TableRow>, options: { readonly isSmall?: boolean, readonly isFirstStart?: boolean } = {}): Host {
  const table = createTable(rows)
  const now = (): number => performance.now()
  const leadership = createLeadership({ table, logger, holder: 'h1/1', address: 'h1:1', now, wallClock: () => Date.now() })
  const leaderMonitor = createLeaderMonitor(now)
  const reads: string[] = []
  const followed: Array<string | null> = []
  const reader: StoreReader = {
    async readPublished () {
      reads.push('published')
      return true
    },
    async readLease (withPlans) {
      reads.push(withPlans ? 'plans' : 'lease')
      const row = await table.read(LEASE_KEY)
      leadership.recordRead(row.ok)
      if (row.ok) leadership.observeLease(row.value)
      return row.ok
    },
    ageMs: () => 0
  }
  const coordinator = { takeOver: async () => true, onServersChanged: () => {}, plan: async () => {}, ownersUpdates: () => [], stop: () => {}, remainingGrantDurationsMs: () => ({ 'i-1': 900 }) } as unknown as Coordinator
  const statePublisher = { reset: () => {}, publishChanges: () => {} } as unknown as StatePublisher
  const leadershipController = createLeadershipController({
    holder: 'h1/1',
    address: 'h1:1',
    isSmall: options.isSmall ?? false,
    isFirstStart: options.isFirstStart ?? false,
    routingState: createRoutingState(),
    leadership,
    coordinator,
    statePublisher,
    peerServer: { disconnect: () => {}, publish: () => {} },
    leaderConnection: {
      follow (address) {
        followed.push(address)
        return true
      }
    },
    reader,
    leaderMonitor,
    logger,
    isLeaving: () => false,
    now
  })
  return { leadershipController, leaderMonitor, reads, followed }
}

async function runFor (host: Host, lengthMs: number): Promise<void> {
  const stop = new AbortController()
  const running = host.leadershipController.run(stop.signal)
  await new Promise((resolve) => { setTimeout(resolve, lengthMs) })
  stop.abort()
  await running
}

test('run() claims a free lease before reading anything but the lease, when a deployment starts', async () => {
  const host = createHost(new Map())
  await runFor(host, 50)
  assert.ok(host.leadershipController.isLeading())
  assert.equal(host.reads.slice(0, 2), ['lease', 'published'])
})

test('run() reads only the lease, when a small host waits for a larger one to lead', async () => {
  const host = createHost(new Map(), { isSmall: true })
  await runFor(host, 600)
  assert.not(host.leadershipController.isLeading())
  assert.equal([...new Set(host.reads)], ['lease'])
})

test('run() follows the holder and reads nothing more, when heartbeats of the holder arrive', async () => {
  const rows = new Map([[LEASE_KEY, { key: LEASE_KEY, revision: 3, value: { holder: 'h2/1', address: 'h2:1', released: false } }]])
  const host = createHost(rows)
  const heartbeats = setInterval(() => {
    host.leaderMonitor.recordHeartbeat({ kind: 'beat', storeAgeMs: 10, lease: { revision: 3, value: null }, leading: true, complete: false, intervalMs: 120, hosts: 2, views: [] }, 'h2:1')
  }, 50)
  await runFor(host, 700)
  clearInterval(heartbeats)
  assert.not(host.leadershipController.isLeading())
  assert.equal(host.followed, ['h2:1'])
  assert.equal(host.reads, ['lease'])
})

test('run() reads the lease once and nothing else, when a whole deployment starts and the leader takes a second to send its first heartbeat', async () => {
  const rows = new Map([[LEASE_KEY, { key: LEASE_KEY, revision: 3, value: { holder: 'h2/1', address: 'h2:1', released: false } }]])
  const host = createHost(rows, { isFirstStart: true, isSmall: true })
  let heartbeats: NodeJS.Timeout | undefined
  setTimeout(() => {
    heartbeats = setInterval(() => {
      host.leaderMonitor.recordHeartbeat({ kind: 'beat', storeAgeMs: 10, lease: { revision: 3, value: null }, leading: true, complete: false, intervalMs: 120, hosts: 2, views: [] }, 'h2:1')
    }, 50)
  }, 1600)
  await runFor(host, 2000)
  clearInterval(heartbeats)
  assert.equal(host.reads, ['lease'])
})

test('run() reads configuration, servers and plans at once, when its process restarts and the leader sends no heartbeat', async () => {
  const rows = new Map([[LEASE_KEY, { key: LEASE_KEY, revision: 3, value: { holder: 'h2/1', address: 'h2:1', released: false } }]])
  const host = createHost(rows)
  await runFor(host, 500)
  assert.equal(host.reads.slice(0, 3), ['lease', 'published', 'plans'])
})

test('run() claims the lease, when its holder has released it', async () => {
  const rows = new Map([[LEASE_KEY, { key: LEASE_KEY, revision: 3, value: { holder: 'h2/1', address: 'h2:1', released: true } }]])
  const host = createHost(rows)
  await runFor(host, 50)
  assert.ok(host.leadershipController.isLeading())
})

test('release() stores how long servers may still hold keys', async () => {
  const rows = new Map<string, TableRow>()
  const host = createHost(rows)
  await runFor(host, 50)
  await host.leadershipController.release()
  assert.not(host.leadershipController.isLeading())
  assert.equal(rows.get(LEASE_KEY)?.value, { holder: 'h1/1', address: 'h1:1', released: true, holdsMs: { 'i-1': 900 } })
})

test.run()
