/** Tests that keys leave the servers of evacuated zones, on the leading host. Load: four servers with all keys, releases that are never answered. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createFakeTable, type FakeTable } from '../../testing/fake_table.ts'
import { createRoutingState, type RoutingState } from '../gateway/mod.ts'
import { createLeadership, LEASE_KEY, LeaseTiming } from '../leadership/mod.ts'
import { createLogger } from '../logging/mod.ts'
import type { ControlOutcome } from '../ownership/mod.ts'
import { createCoordinator, type Coordinator } from './create_coordinator.ts'

const test = suite('createCoordinator, evacuated zones')
const logger = createLogger({ name: 'test', write: () => {} })
const ZONES = ['a', 'b', 'c', 'c']

/** Bound of an evacuation less the time for reading the store (600 ms) and for spreading the order, in milliseconds. */
const MOVE_BOUND_MS = 4000

interface Setup {
  readonly routingState: RoutingState
  readonly coordinator: Coordinator
  /** Server of each grant since the last call. */
  takeGrants (): string[]
  evacuate (...zones: string[]): void
  run (forMs: number): Promise<void>
  /** Zones whose servers own keys; `none` stands for keys without an owner. */
  owningZones (): string[]
}

async function createSetup (table: FakeTable = createFakeTable(), { holder = 'h1', evacuated = [], answersReleases = false }: { holder?: string, evacuated?: string[], answersReleases?: boolean } = {}): Promise<Setup> {
  let at = 0
  const now = (): number => at
  const routingState = createRoutingState({ now })
  routingState.applyConfiguration({ version: 1, limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }, routes: [], services: [{ name: 'lookups', keyed: true, maximumConnections: 10, coldKeyMs: 0 }] })
  routingState.setServers(ZONES.map((zone, index) => ({ id: `${zone}${index}`, bornAt: 1, service: 'lookups', address: `10.0.0.${index}:80`, zone, slots: 4, leaving: false, warmUpLeftMs: 0 })))
  routingState.setEvacuations(evacuated)
  const leadership = createLeadership({ table, logger, holder, address: `${holder}:1`, now, wallClock: now })
  let grants: string[] = []
  const coordinator = createCoordinator({
    routingState,
    leadership,
    table,
    control: {
      async grant (server) {
        grants.push(server.id)
        return { kind: 'done', handover: null }
      },
      release: async (): Promise<ControlOutcome> => answersReleases ? { kind: 'done', handover: null } : await new Promise(() => {}),
      probe: async () => ({ kind: 'done', handover: null })
    },
    logger,
    now,
    maximumGrantDurationMs: 10_000,
    isMajorityReporting: () => true,
    publish: () => {},
    onOwnerChanges: routingState.setOwners
  })
  const lease = await table.changes(LEASE_KEY, 0)
  if (lease.ok) leadership.observeLease(lease.value.rows[0] ?? { ...lease.value, revision: 0, value: null })
  if (!leadership.mayClaim()) at += LeaseTiming.durationMs + LeaseTiming.claimMarginMs + 100
  assert.ok(await leadership.claim())
  assert.ok(await coordinator.takeOver())
  return {
    routingState,
    coordinator,
    takeGrants () {
      const taken = grants
      grants = []
      return taken
    },
    evacuate (...zones) {
      routingState.setEvacuations(zones)
      coordinator.onServersChanged()
    },
    async run (forMs) {
      for (const endsAt = at + forMs; at < endsAt; at += 50) {
        if (at % 800 === 0) await leadership.renew()
        if (at % 400 === 0) await coordinator.plan()
        coordinator.tick()
        await new Promise((resolve) => { setImmediate(resolve) })
      }
    },
    owningZones: () => [...new Set(Array.from({ length: 512 }, (_, index) => {
      const owner = routingState.ownerOf('lookups', index * 128)
      return owner.kind === 'owned' ? owner.server.charAt(0) : 'none'
    }))].sort()
  }
}

test('tick() has moved all keys of a zone within the bound, when its servers answer no release', async () => {
  const { coordinator, evacuate, run, takeGrants, owningZones } = await createSetup()
  await run(2000)
  assert.equal(owningZones(), ['a', 'b', 'c'])
  takeGrants()
  evacuate('a')
  await coordinator.plan()
  await run(MOVE_BOUND_MS)
  assert.equal(owningZones(), ['b', 'c'])
  assert.not(takeGrants().some((server) => server.startsWith('a')))
})

test('plan() moves keys of zones that are evacuated in turn, and may use the first one once it has returned', async () => {
  const { evacuate, run, owningZones } = await createSetup(undefined, { answersReleases: true })
  await run(2000)
  evacuate('a')
  await run(800)
  evacuate('a', 'b')
  await run(800)
  assert.equal(owningZones(), ['c'])
  evacuate('b', 'c')
  await run(800)
  assert.equal(owningZones(), ['a'])
})

test('tick() grants nothing, when all servers are in evacuated zones, until one of them returns', async () => {
  const { evacuate, run, takeGrants, owningZones } = await createSetup()
  await run(2000)
  evacuate('a', 'b', 'c')
  takeGrants()
  await run(6000)
  assert.equal(takeGrants(), [])
  assert.equal(owningZones(), ['none'])
  evacuate('a', 'c')
  await run(1000)
  assert.equal(owningZones(), ['b'])
})

// Guards against keys that stay without owner until the next plan is due, because the last one was computed before the order.
test('plan() is repeated at once, when a zone is evacuated while a plan is being stored', async () => {
  let finishCall = (): void => {}
  let isSlow = false
  const table = createFakeTable(async () => { if (isSlow) await new Promise<void>((resolve) => { finishCall = resolve }) })
  const { coordinator, evacuate, run, owningZones } = await createSetup(table, { answersReleases: true })
  // The next plan of `run` is due 350 ms later.
  await run(2050)
  isSlow = true
  evacuate('a')
  const planned = coordinator.plan()
  evacuate('a', 'b')
  isSlow = false
  finishCall()
  await planned
  await run(300)
  assert.equal(owningZones(), ['c'])
})

test('takeOver() grants nothing in an evacuated zone and moves its keys, when the leader is lost halfway', async () => {
  const table = createFakeTable()
  const first = await createSetup(table)
  await first.run(2000)
  first.evacuate('a')
  await first.coordinator.plan()
  const second = await createSetup(table, { holder: 'h2', evacuated: ['a'] })
  second.coordinator.onServersChanged()
  // Releases are never answered, and grants of a leader that is lost may last for 10.5 s.
  await second.run(11_000)
  assert.equal(second.owningZones(), ['b', 'c'])
  assert.not(second.takeGrants().some((server) => server.startsWith('a')))
})

test.run()
