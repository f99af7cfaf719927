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
import { isStoreReader } from './is_store_reader.ts'
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
  /** Kinds of the messages that were sent to the leader, and published as the leader. */
  readonly sent: string[]
  readonly published: string[]
  /** Sets whether this host reaches no server. */
  setIsolated (isIsolated: boolean): void
  /** Makes the store refuse the writes of this host from now on. */
  failWrites (): void
  /** Sets the age of what this host has read from the store, in milliseconds. */
  setStoreAge (ageMs: number): void
}

function createTable (rows: Map<string, TableRow>, failsWrites: () => boolean): TableService {
  let revision = Math.max(0, ...[...rows.values()].map((row) => row.revision))
  return {
    read: async (key) => succeed(rows.get(key) ?? null),
    changes: async () => succeed({ era: 1, revision, rows: [...rows.values()] }),
    async write (writes: readonly RowWrite[]) {
      if (failsWrites()) return fail({ kind: 'unavailable', detail: 'The store refused the write' })
      if (writes.some((write) => (rows.get(write.key)?.revision ?? 0) !== write.expectedRevision)) return fail({ kind: 'conflict', era: 1, current: [...rows.values()] })
      revision++
      for (const write of writes) rows.set(write.key, { key: write.key, era: 1, revision, value: write.value })
      return succeed({ era: 1, revision })
    }
  }
}

function createHost (rows: Map<string, TableRow>, options: { readonly isSmall?: boolean, readonly isFirstStart?: boolean, readonly hostsInZone?: readonly string[], readonly storeAgeMs?: number, readonly reachableHosts?: readonly string[], readonly isCut?: boolean } = {}): Host {
  let isIsolated = false
  let failsWrites = false
  let storeAgeMs = options.storeAgeMs ?? 0
  const table = createTable(rows, () => failsWrites)
  const now = (): number => performance.now()
  const leadership = createLeadership({ table, logger, holder: 'h1/1', address: 'h1:1', now, wallClock: () => Date.now() })
  const leaderMonitor = createLeaderMonitor(now)
  const reads: string[] = []
  const followed: Array<string | null> = []
  const sent: string[] = []
  const published: string[] = []
  const reader: StoreReader = {
    async readPublished () {
      reads.push('published')
      return true
    },
    async readLease (withPlans) {
      reads.push(withPlans ? 'plans' : 'lease')
      const row = await table.read(LEASE_KEY)
      leadership.recordRead(row.ok)
      if (row.ok) leadership.observeLease(row.value ?? { era: 1, revision: 0, value: null })
      return row.ok
    },
    recordServers: () => {},
    ageMs: () => storeAgeMs
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
    peerServer: { disconnect: () => {}, publish (update) { published.push(update.kind) }, relays: () => (options.reachableHosts ?? []).map((name) => ({ host: name, zone: 'a', address: `${name}:2`, weight: 1 })) },
    leaderConnection: {
      follow (address) {
        followed.push(address)
        return true
      },
      send (report) { sent.push(report.kind) }
    },
    reader,
    leaderMonitor,
    host: 'h1',
    zone: 'a',
    relays: { hostsIn: () => (options.hostsInZone ?? []).map((host) => ({ host, zone: 'a', address: `${host}:2`, weight: 1 })) },
    logger,
    isLeaving: () => false,
    isIsolated: () => isIsolated,
    async verifyReachability () {
      if (options.isCut === true) isIsolated = true
      return !isIsolated
    },
    now
  })
  return { leadershipController, leaderMonitor, reads, followed, sent, published, failWrites () { failsWrites = true }, setIsolated (value) { isIsolated = value }, setStoreAge (ageMs) { storeAgeMs = ageMs } }
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
  const rows = new Map([[LEASE_KEY, { key: LEASE_KEY, era: 1, revision: 3, value: { holder: 'h2/1', address: 'h2:1', released: false } }]])
  const host = createHost(rows)
  const heartbeats = setInterval(() => {
    host.leaderMonitor.recordHeartbeat({ kind: 'beat', storeAgeMs: 10, lease: { era: 1, revision: 3, value: null }, leading: true, complete: false, intervalMs: 120, hosts: 2, views: [] }, 'h2:1')
  }, 50)
  await runFor(host, 700)
  clearInterval(heartbeats)
  assert.not(host.leadershipController.isLeading())
  assert.equal(host.followed, ['h2:1'])
  assert.equal(host.reads, ['lease'])
})

test('run() reads the lease once and nothing else, when a whole deployment starts and the leader takes a second to send its first heartbeat', async () => {
  const rows = new Map([[LEASE_KEY, { key: LEASE_KEY, era: 1, revision: 3, value: { holder: 'h2/1', address: 'h2:1', released: false } }]])
  const host = createHost(rows, { isFirstStart: true, isSmall: true })
  let heartbeats: NodeJS.Timeout | undefined
  setTimeout(() => {
    heartbeats = setInterval(() => {
      host.leaderMonitor.recordHeartbeat({ kind: 'beat', storeAgeMs: 10, lease: { era: 1, revision: 3, value: null }, leading: true, complete: false, intervalMs: 120, hosts: 2, views: [] }, 'h2:1')
    }, 50)
  }, 1600)
  await runFor(host, 2000)
  clearInterval(heartbeats)
  assert.equal(host.reads, ['lease'])
})

test('run() reads configuration, servers and plans at once, when its process restarts and the leader sends no heartbeat', async () => {
  const rows = new Map([[LEASE_KEY, { key: LEASE_KEY, era: 1, revision: 3, value: { holder: 'h2/1', address: 'h2:1', released: false } }]])
  const host = createHost(rows)
  await runFor(host, 500)
  assert.equal(host.reads.slice(0, 3), ['lease', 'published', 'plans'])
})

test('run() claims the lease, when its holder has released it', async () => {
  const rows = new Map([[LEASE_KEY, { key: LEASE_KEY, era: 1, revision: 3, value: { holder: 'h2/1', address: 'h2:1', released: true } }]])
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
  assert.equal(rows.get(LEASE_KEY)?.value, { holder: 'h1/1', address: 'h1:1', released: true, holdsMs: { 'i-1': 900 }, era: 1 })
})

const LEASE_OF_H2 = { holder: 'h2/1', address: 'h2:1', released: false }
const HOSTS_IN_ZONE = ['h1', 'h3', 'h4', 'h5', 'h6', 'h7', 'h8', 'h9']

/** Whether h1 reads the store first among {@link HOSTS_IN_ZONE} while `holder` leads. */
function isReader (holder: string): boolean {
  return isStoreReader('h1', { candidates: HOSTS_IN_ZONE, subject: holder })
}

/** Name of a holder for which h1 is, or is not, one of the readers of its zone. */
function holderWith (reads: boolean): string {
  return Array.from({ length: 100 }, (_, index) => `h2/${index}`).find((holder) => isReader(holder) === reads) ?? ''
}

/** Sends heartbeats of a leader that cannot reach the store. */
function sendStaleHeartbeats (host: Host): NodeJS.Timeout {
  const startedAt = performance.now()
  return setInterval(() => {
    host.leaderMonitor.recordHeartbeat({ kind: 'beat', storeAgeMs: performance.now() - startedAt, lease: { era: 1, revision: 3, value: null }, leading: true, complete: false, intervalMs: 120, hosts: 9, views: [] }, 'h2:1')
  }, 40)
}

test('run() leaves reading to two hosts of the zone for 0.7 s, when the store turns the leader away', async () => {
  const holder = holderWith(false)
  const rows = new Map([[LEASE_KEY, { key: LEASE_KEY, era: 1, revision: 3, value: { ...LEASE_OF_H2, holder } }]])
  const host = createHost(rows, { hostsInZone: HOSTS_IN_ZONE })
  const heartbeats = sendStaleHeartbeats(host)
  await runFor(host, 1500)
  assert.equal(host.reads, ['lease'])
  await runFor(host, 900)
  clearInterval(heartbeats)
  assert.ok(host.reads.includes('published'))
})

test('run() reads without plans and notifies the leader, when the store turns the leader away and this host reads first', async () => {
  const holder = holderWith(true)
  const rows = new Map([[LEASE_KEY, { key: LEASE_KEY, era: 1, revision: 3, value: { ...LEASE_OF_H2, holder } }]])
  const host = createHost(rows, { hostsInZone: HOSTS_IN_ZONE })
  const heartbeats = sendStaleHeartbeats(host)
  await runFor(host, 1500)
  clearInterval(heartbeats)
  assert.ok(host.reads.includes('published'))
  assert.not(host.reads.includes('plans'))
  assert.ok(host.sent.includes('store-reachable'))
})

test('onStoreReachable() resigns, when the store turns only this host away, and leads on when the store responds', async () => {
  const rows = new Map<string, TableRow>()
  const host = createHost(rows, { storeAgeMs: 1500 })
  await runFor(host, 50)
  await host.leadershipController.onStoreReachable()
  assert.ok(host.leadershipController.isLeading())
  host.failWrites()
  await host.leadershipController.onStoreReachable()
  assert.not(host.leadershipController.isLeading())
  assert.equal(host.published, ['resigned'])
})

// Guards against a leader that resigns although it reaches the store: one of its writes went unanswered just after the store came back.
test('onStoreReachable() leads on, when its write goes unanswered and the store has been read meanwhile', async () => {
  const host = createHost(new Map(), { storeAgeMs: 1500 })
  await runFor(host, 50)
  host.failWrites()
  const handled = host.leadershipController.onStoreReachable()
  host.setStoreAge(300)
  await handled
  assert.ok(host.leadershipController.isLeading())
  assert.equal(host.published, [])
})

test('onStoreReachable() leads on, when the data from the store is recent', async () => {
  const host = createHost(new Map(), { storeAgeMs: 300 })
  await runFor(host, 50)
  await host.leadershipController.onStoreReachable()
  assert.ok(host.leadershipController.isLeading())
})

test('onResigned() makes a reader claim the lease at once, and another host follow the successor without a read', async () => {
  for (const reads of [true, false]) {
    const holder = holderWith(reads)
    const rows = new Map([[LEASE_KEY, { key: LEASE_KEY, era: 1, revision: 3, value: { ...LEASE_OF_H2, holder } }]])
    const host = createHost(rows, { hostsInZone: HOSTS_IN_ZONE })
    const heartbeats = setInterval(() => {
      host.leaderMonitor.recordHeartbeat({ kind: 'beat', storeAgeMs: 10, lease: { era: 1, revision: 3, value: null }, leading: true, complete: false, intervalMs: 120, hosts: 9, views: [] }, 'h2:1')
    }, 40)
    setTimeout(() => {
      clearInterval(heartbeats)
      host.leadershipController.onResigned(holder)
      if (!reads) setTimeout(() => { host.leadershipController.onSuccessor({ era: 1, revision: 4, value: { holder: 'h3/1', address: 'h3:1', released: false } }) }, 100)
    }, 300)
    await runFor(host, 800)
    assert.is(host.leadershipController.isLeading(), reads)
    assert.equal(host.sent, reads ? ['claimed'] : [])
    assert.equal(host.followed, reads ? ['h2:1', null] : ['h2:1', 'h3:1'])
    if (!reads) assert.equal(host.reads, ['lease'])
  }
})

test('onLeaseClaimed() passes the next lease on and follows it, when another host has claimed the lease of this one', async () => {
  const host = createHost(new Map())
  await runFor(host, 50)
  host.leadershipController.onLeaseClaimed({ era: 1, revision: 50, value: LEASE_OF_H2 })
  assert.not(host.leadershipController.isLeading())
  assert.equal(host.published, ['successor'])
  assert.is(host.followed.at(-1), 'h2:1')
})

// Guards against a leader that goes on leading although its grants reach no server: keys lose their owners.
test('releaseIfIsolated() hands leadership over at once, when this host reaches no server and another one does', async () => {
  const rows = new Map<string, TableRow>()
  const host = createHost(rows, { reachableHosts: ['h2'] })
  await runFor(host, 50)
  await host.leadershipController.releaseIfIsolated()
  assert.ok(host.leadershipController.isLeading())
  host.setIsolated(true)
  await host.leadershipController.releaseIfIsolated()
  assert.not(host.leadershipController.isLeading())
  assert.equal(host.published, ['resigned'])
  assert.equal(rows.get(LEASE_KEY)?.value, { holder: 'h1/1', address: 'h1:1', released: true, holdsMs: { 'i-1': 900 }, era: 1 })
})

test('releaseIfIsolated() leads on, when no other host reaches servers either', async () => {
  const host = createHost(new Map())
  await runFor(host, 50)
  host.setIsolated(true)
  await host.leadershipController.releaseIfIsolated()
  assert.ok(host.leadershipController.isLeading())
})

for (const [knows, isCut] of [['knows that it', false], ['finds out only now that it', true]] as const) {
  test(`run() claims a free lease only when no other host has claimed it for some time, when this host ${knows} reaches no server`, async () => {
    const host = createHost(new Map([[LEASE_KEY, { key: LEASE_KEY, era: 1, revision: 3, value: { ...LEASE_OF_H2, released: true } }]]), { isCut })
    host.setIsolated(!isCut)
    await runFor(host, 1000)
    assert.not(host.leadershipController.isLeading())
    await runFor(host, 2000)
    assert.ok(host.leadershipController.isLeading())
  })
}

test('isStoreReader() chooses two hosts of each zone, and others for another leader', () => {
  const readers = (subject: string): string[] => HOSTS_IN_ZONE.filter((host) => isStoreReader(host, { candidates: HOSTS_IN_ZONE, subject }))
  const chosen = new Set<string>()
  for (let leader = 0; leader < 40; leader++) {
    assert.is(readers(`h${leader}/1`).length, 2)
    for (const host of readers(`h${leader}/1`)) chosen.add(host)
  }
  assert.is(chosen.size, HOSTS_IN_ZONE.length)
  assert.ok(isStoreReader('unlisted', { candidates: HOSTS_IN_ZONE, subject: 'h2/1' }))
})

test.run()
