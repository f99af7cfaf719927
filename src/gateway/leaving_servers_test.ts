/** Tests of which servers count as leaving: what any source has said of a run holds for that run, and for no other. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { RoutedServer } from '../routing/mod.ts'
import { createLeavingServers } from './leaving_servers.ts'
import { createRoutingState } from './routing_state.ts'

const test = suite('createLeavingServers')

function serverOf (id: string, bornAt: number, leaving = false): RoutedServer {
  return { id, bornAt, service: 'orders', address: `${id}:80`, zone: 'a', slots: 4, leaving, warmUpLeftMs: 0 }
}

test('server() stays leaving for its run and not for the next, in any order of lists and responses', () => {
  const steps = fc.array(fc.record({ id: fc.constantFrom('s1', 's2', 's3'), bornAt: fc.integer({ min: 1, max: 3 }), leaving: fc.boolean(), isResponse: fc.boolean() }), { maxLength: 30 })
  fc.assert(fc.property(steps, (sequence) => {
    const routingState = createRoutingState()
    const leaving = new Set<string>()
    const listed = new Map<string, RoutedServer>()
    for (const step of sequence) {
      const run = `${step.id}/${step.bornAt}`
      if (step.isResponse) {
        leaving.add(run)
        routingState.recordLeaving(step)
      } else {
        if (step.leaving) leaving.add(run)
        listed.set(step.id, serverOf(step.id, step.bornAt, step.leaving))
        routingState.setServers([...listed.values()])
      }
      const available = new Set(routingState.availableServers('orders').map((server) => server.id))
      for (const server of listed.values()) {
        const isLeaving = leaving.has(`${server.id}/${server.bornAt}`)
        assert.is(routingState.server(server.id)?.leaving, isLeaving)
        assert.is(available.has(server.id), !isLeaving)
      }
    }
  }), { seed: 1, numRuns: 300 })
})

test('serversDigest() is that of the list as it was published, until what responses have shown is adopted', () => {
  const notified: string[] = []
  const routingState = createRoutingState({ onLeaving (server) { notified.push(server.id) } })
  const servers = [serverOf('s1', 1), serverOf('s2', 1)]
  routingState.setServers(servers)
  const digest = routingState.serversDigest()
  for (let response = 0; response < 3; response++) routingState.recordLeaving({ id: 's1', bornAt: 1 })
  assert.equal(notified, ['s1'])
  assert.is(routingState.serversDigest(), digest)
  assert.equal(routingState.servers(), servers)
  assert.equal(routingState.unlistedLeaving(), [{ id: 's1', bornAt: 1 }])
  assert.is(routingState.adoptLeaving(), true)
  assert.is(routingState.adoptLeaving(), false)
  assert.equal(routingState.unlistedLeaving(), [])
  const listed = createRoutingState()
  listed.setServers([serverOf('s1', 1, true), serverOf('s2', 1)])
  assert.is(routingState.serversDigest(), listed.serversDigest())
})

test('recordLeaving() does not call onLeaving, when the response is of a run that is not listed', () => {
  const notified: string[] = []
  const routingState = createRoutingState({ onLeaving (server) { notified.push(server.id) } })
  routingState.setServers([serverOf('s1', 2)])
  routingState.recordLeaving({ id: 's1', bornAt: 1 })
  assert.equal(notified, [])
  assert.is(routingState.server('s1')?.leaving, false)
})

test('onListed() forgets runs, when they have not been listed for a minute, and keeps those that are back sooner', () => {
  let now = 0
  const leaving = createLeavingServers(() => now)
  for (let run = 0; run < 500; run++) leaving.record({ id: `s${run}`, bornAt: 1 })
  now = 50_000
  assert.is(leaving.sinceMs({ id: 's1', bornAt: 1 }), 50_000)
  leaving.onListed([{ id: 's1', bornAt: 1 }])
  now = 100_000
  leaving.onListed([])
  assert.is(leaving.has({ id: 's1', bornAt: 1 }), true)
  assert.is(leaving.has({ id: 's2', bornAt: 1 }), false)
  now = 120_000
  leaving.onListed([])
  assert.is(leaving.has({ id: 's1', bornAt: 1 }), false)
})

test.run()
