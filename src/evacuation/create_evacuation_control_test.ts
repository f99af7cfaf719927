/** Tests of the effects of an evacuation on one host: routing state, log, callbacks and messages. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createRoutingState, type RoutingState } from '../gateway/mod.ts'
import { createLogger } from '../logging/mod.ts'
import { createEvacuationControl, type EvacuationControl } from './create_evacuation_control.ts'

const test = suite('createEvacuationControl')

interface Setup { readonly routingState: RoutingState, readonly control: EvacuationControl, readonly lines: string[], readonly events: string[], advance (elapsedMs: number): void }

function createSetup (): Setup {
  let at = 0
  const now = (): number => at
  const routingState = createRoutingState({ now })
  routingState.setServers(['a', 'b'].map((zone, index) => ({ id: `i-${zone}`, bornAt: 1, service: 'orders', address: `10.0.0.${index}:80`, zone, slots: 4, leaving: false, warmUpLeftMs: 0 })))
  const lines: string[] = []
  const events: string[] = []
  const control = createEvacuationControl({
    routingState,
    loads: { inFlight: (id) => id === 'i-a' ? 3 : 0 },
    logger: createLogger({ name: 'test', write: (line) => { if (line.includes('evacuation')) lines.push(line) } }),
    now,
    onZoneReturned (zone) { events.push(`returned ${zone}, available: ${routingState.availableServers('orders').map(({ id }) => id).join()}`) },
    onChanged () { events.push(`changed, available: ${routingState.availableServers('orders').map(({ id }) => id).join()}`) }
  })
  return { routingState, control, lines, events, advance (elapsedMs) { at += elapsedMs } }
}

// Guards against requests to a cold zone: the tracker of cold servers has to know before the servers can be chosen.
test('onRead() reports the return of a zone before its servers are available, and logs one line at the start and one at the end', () => {
  const { control, lines, events, advance } = createSetup()
  for (const revision of [7, 9]) control.onRead({ readAt: { era: 1, revision }, evacuations: [{ zone: 'a', row: { era: 1, revision: 6 } }] })
  assert.equal(control.describe(), [{ zone: 'a', row: { era: 1, revision: 6 }, source: 'store', forMs: 0, inFlight: 3 }])
  advance(2500)
  for (const revision of [11, 12]) control.onMessage({ kind: 'evacuations', era: 1, revision, zones: [] })
  assert.equal(events, ['changed, available: i-b', 'returned a, available: i-b', 'changed, available: i-a,i-b'])
  assert.is(lines.length, 2)
  for (const field of ['evacuation-started', 'zone=a', 'revision=6', 'source=store', 'servers=1', 'inFlight=3']) assert.match(lines[0] ?? '', field)
  for (const field of ['evacuation-ended', 'zone=a', 'revision=6', 'source=leader', 'forMs=2500']) assert.match(lines[1] ?? '', field)
})

test('onMessage() changes nothing but the log, when no server is in the zone', () => {
  const { control, routingState, lines } = createSetup()
  control.onMessage({ kind: 'evacuations', era: 1, revision: 3, zones: [['nowhere', 1, 2]] })
  assert.is(routingState.availableServers('orders').length, 2)
  assert.match(lines[0] ?? '', 'servers=0')
})

test('changedUpdates() returns the list once for each change, and updates() the same object until the next read', () => {
  const { control } = createSetup()
  assert.equal(control.updates(), [])
  control.onRead({ readAt: { era: 1, revision: 3 }, evacuations: [{ zone: 'a', row: { era: 1, revision: 2 } }] })
  assert.equal(control.changedUpdates(), [{ kind: 'evacuations', era: 1, revision: 3, zones: [['a', 1, 2]] }])
  assert.is(control.updates()[0], control.updates()[0])
  control.onRead({ readAt: { era: 1, revision: 5 }, evacuations: [{ zone: 'a', row: { era: 1, revision: 2 } }] })
  assert.equal(control.changedUpdates(), [])
  control.reset()
  assert.is(control.changedUpdates()[0]?.revision, 5)
})

test.run()
