/** Tests of the sums of a service's servers. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { RoutedServer } from '../routing/mod.ts'
import { sumZoneLoads } from './sum_zone_loads.ts'

const test = suite('sumZoneLoads')

interface Observed { readonly zone: string, readonly inFlight?: number, readonly workMs?: number, readonly isUnresponsive?: boolean }

function sumOf (observed: readonly Observed[], latencyGoalMs = 300): ReturnType<typeof sumZoneLoads> {
  const servers = observed.map(({ zone }, index): RoutedServer => ({ id: String(index), bornAt: 1, service: 'orders', address: '10.0.0.1:80', zone, slots: 4, leaving: false, warmUpLeftMs: 0 }))
  const of = (id: string): Observed | undefined => observed[Number(id)]
  return sumZoneLoads(servers, {
    loads: { inFlight: (id) => of(id)?.inFlight ?? 0, workMs: ({ id }) => of(id)?.workMs ?? 100, isUnresponsive: ({ id }) => of(id)?.isUnresponsive ?? false }, latencyGoalMs
  })
}

test('sumZoneLoads() leaves out servers that do not respond or miss the latency goal, so that their free slots do not hide that the others are full', () => {
  assert.equal(sumOf([{ zone: 'b' }, { zone: 'a', inFlight: 4 }, { zone: 'a', isUnresponsive: true, inFlight: 9 }, { zone: 'a', workMs: 900 }]), [
    { zone: 'a', servers: 1, slots: 4, inFlight: 4, waiting: 0, workMs: 100, isUnresponsive: false },
    { zone: 'b', servers: 1, slots: 4, inFlight: 0, waiting: 0, workMs: 100, isUnresponsive: false }
  ])
})

test('sumZoneLoads() counts slow servers, when a zone has no others, and says so when none responds', () => {
  assert.equal(sumOf([{ zone: 'a', workMs: 900, inFlight: 2 }, { zone: 'b', isUnresponsive: true }]).map(({ slots, workMs, isUnresponsive }) => [slots, workMs, isUnresponsive]), [[4, 900, false], [4, 100, true]])
})

test('sumZoneLoads() weighs the work time by throughput, when servers differ in speed', () => {
  assert.ok(Math.abs((sumOf([{ zone: 'a', workMs: 50 }, { zone: 'a', workMs: 200 }])[0]?.workMs ?? 0) - 80) < 0.001)
})

test.run()
