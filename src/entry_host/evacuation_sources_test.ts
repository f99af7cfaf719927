/** Tests of the ways on which a host learns of evacuations, each with one failure. Load: none, two servers. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createEvacuationControl, type EvacuationControl } from '../evacuation/mod.ts'
import { createRoutingState, type RoutingState } from '../gateway/mod.ts'
import { createLogger } from '../logging/mod.ts'
import { fail, succeed } from '../ports/mod.ts'
import type { Update } from '../replication/mod.ts'
import { createStatePublisher, type StatePublisher, type StatePublisherOptions } from './create_state_publisher.ts'
import { createStoreReader, type StoreReader } from './store_reader.ts'
import { createUpdateHandler, type UpdateHandlerOptions } from './update_handler.ts'

const test = suite('evacuations, from the store and the leader')

/** A store with rows that order evacuations. */
interface Store { era: number, revision: number, readonly rows: Map<string, number>, isReachable: boolean }

interface Host {
  readonly routingState: RoutingState
  readonly reader: StoreReader
  readonly evacuations: EvacuationControl
  readonly publisher: StatePublisher
  /** Messages that this host has published as the leader. */
  readonly published: Update[]
  receive (update: Update): void
  /** Zones of the servers that requests may be sent to. */
  zones (): string
  /** What {@link Host.zones} was when the list of servers or the evacuations changed. */
  readonly seen: string[]
}

function put (store: Store, zone: string, isOrdered = true): void {
  store.revision++
  if (isOrdered) store.rows.set(zone, store.revision)
  else store.rows.delete(zone)
}

function createHost (store: Store): Host {
  const now = (): number => performance.now()
  const logger = createLogger({ name: 'test', write: () => {} })
  const routingState = createRoutingState({ now })
  const zones = (): string => routingState.availableServers('orders').map(({ zone }) => zone).join()
  const seen: string[] = []
  const evacuations = createEvacuationControl({ routingState, loads: { inFlight: () => 0 }, logger, now, onChanged () { seen.push(zones()) } })
  const reader = createStoreReader({
    zone: 'a',
    published: {
      readConfiguration: async () => store.isReachable
        ? succeed({ era: store.era, revision: store.revision, value: null, evacuations: [...store.rows].map(([zone, revision]) => ({ zone, row: { era: store.era, revision } })) })
        : fail({ kind: 'unavailable', detail: 'The store does not respond' }),
      readServers: async () => succeed({ era: store.era, value: ['a', 'b'].map((zone) => ({ id: `i-${zone}`, bornAt: 1, service: 'orders', address: `${zone}:80`, zone, slots: 4, leaving: false, warmUpLeftMs: 0 })) })
    },
    routingState,
    evacuations,
    logger,
    now,
    isLeading: () => false,
    onConfigurationChanged: () => {},
    onServersRead () {},
    onServersChanged () { seen.push(zones()) }
  } as unknown as Parameters<typeof createStoreReader>[0])
  const published: Update[] = []
  const publisher = createStatePublisher({
    routingState,
    evacuations,
    now,
    isLeading: () => true,
    host: 'h1',
    zone: 'a',
    loads: { takeSamples: () => new Map(), applyViews: () => {} },
    queues: { waitingByServer: () => new Map() },
    zoneShares: { update () {} },
    limits: { observations: () => new Map() },
    coordinator: { onReport: () => {}, adjustShares: () => {}, views: () => new Map(), changedViews: () => [] },
    leadership: { observedLease: () => null, isLeading: () => true },
    peerServer: { hosts: () => [], relays: () => [], publish (update: Update) { published.push(update) } },
    reader,
    relays: { setHosts: () => {} },
    evidence: { publishAll: () => {} },
    budgets: { recordHosts: () => {} },
    hostCount: { known: () => 1 },
    leaderMonitor: { setIntervalMs: () => {}, intervalMs: () => 0 }
  } as unknown as StatePublisherOptions)
  const receive = createUpdateHandler({ routingState, evacuations, logger, now, leadershipController: () => ({ isLeading: () => false }) } as unknown as UpdateHandlerOptions)
  return { routingState, reader, evacuations, publisher, published, zones, seen, receive (update) { receive(update, 'h1:1') } }
}

function createStore (): Store {
  return { era: 1, revision: 10, rows: new Map(), isReachable: true }
}

// Guards against requests in the moment between the list of servers and the evacuations.
test('readPublished() never makes a server of an evacuated zone available, when a host starts without a leader', async () => {
  const store = createStore()
  put(store, 'a')
  const host = createHost(store)
  await host.reader.readPublished()
  assert.equal(host.seen, ['', 'b'])
})

test('readPublished() keeps the last known evacuations, when the store does not respond, and ends them once it does', async () => {
  const store = createStore()
  put(store, 'a')
  const host = createHost(store)
  await host.reader.readPublished()
  put(store, 'a', false)
  store.isReachable = false
  await host.reader.readPublished()
  assert.is(host.zones(), 'b')
  store.isReachable = true
  await host.reader.readPublished()
  assert.is(host.zones(), 'a,b')
})

test('a host evacuates a zone that the leader does not know of and keeps to that, when a leader without the store sends what it has read before', async () => {
  const store = createStore()
  const [leader, host] = [createHost(store), createHost(store)]
  await Promise.all([leader.reader.readPublished(), host.reader.readPublished()])
  put(store, 'b')
  await host.reader.readPublished()
  for (const update of leader.publisher.evacuationsUpdates()) host.receive(update)
  assert.is(host.zones(), 'a')
})

// Guards against an evacuation without end: the leader has no change to publish, since it has never read the row.
test('a host that has read an evacuation itself ends it, when it follows a leader again that has never seen the row', async () => {
  const store = createStore()
  const [leader, host] = [createHost(store), createHost(store)]
  await leader.reader.readPublished()
  leader.publisher.publishChanges()
  put(store, 'b')
  await host.reader.readPublished()
  assert.is(host.zones(), 'a')
  put(store, 'b', false)
  await leader.reader.readPublished()
  leader.publisher.publishChanges()
  for (let heartbeat = 0; heartbeat < 10; heartbeat++) leader.publisher.sendLoads()
  for (const update of leader.published) if (update.kind === 'evacuations') host.receive(update)
  assert.is(host.zones(), 'a,b')
})

test('the next leader publishes the evacuations first, when the last one was lost before it had published them to all hosts', async () => {
  const store = createStore()
  const [lost, next, host] = [createHost(store), createHost(store), createHost(store)]
  await Promise.all([next.reader.readPublished(), host.reader.readPublished()])
  put(store, 'a')
  await lost.reader.readPublished()
  lost.publisher.publishChanges()
  for (const update of lost.published) if (update.kind === 'evacuations') next.receive(update)
  assert.is(next.zones(), 'b')
  next.publisher.reset()
  next.publisher.publishChanges()
  assert.equal(next.published.map(({ kind }) => kind), ['evacuations', 'servers'])
  for (const update of next.published.slice(0, 1)) host.receive(update)
  assert.is(host.zones(), 'b')
})

test.run()
