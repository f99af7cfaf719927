/** Tests of the failure detector: a zone is cut off while callers continue to send requests. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createGroupFailureDetector, type GroupFailureDetector } from './group_failure_detector.ts'

const test = suite('createGroupFailureDetector')
const WORK_MS = 100

interface Simulation { now: number, readonly detector: GroupFailureDetector }

/** Sends a request to a server of each responsive zone every 20 ms. Returns the number of requests that never receive a response. */
function sendRequests (simulation: Simulation, lengthMs: number, isResponding: (zone: string, server: number) => boolean): number {
  let lost = 0
  const responses: Array<{ readonly at: number, readonly end: (responded: boolean) => void }> = []
  for (const endsAt = simulation.now + lengthMs; simulation.now < endsAt; simulation.now += 20) {
    for (const zone of ['a', 'b', 'c']) {
      const server = simulation.now / 20 % 4
      if (simulation.detector.isUnresponsive(zone)) continue
      const end = simulation.detector.trackRequest({ id: `${zone}${server}`, group: zone }, WORK_MS)
      if (isResponding(zone, server)) responses.push({ at: simulation.now + WORK_MS, end })
      else lost++
    }
    for (const response of responses.filter(({ at }) => at === simulation.now)) response.end(true)
  }
  return lost
}

function createSimulation (): Simulation {
  const simulation: { now: number, detector?: GroupFailureDetector } = { now: 0 }
  simulation.detector = createGroupFailureDetector(() => simulation.now)
  return simulation as Simulation
}

test('isUnresponsive() is true within half a second and prevents the loss of most requests, when a zone is cut off', () => {
  const simulation = createSimulation()
  sendRequests(simulation, 1000, () => true)
  const lost = sendRequests(simulation, 5000, (zone) => zone !== 'b')
  assert.ok(simulation.detector.isUnresponsive('b'))
  assert.not(simulation.detector.isUnresponsive('a'))
  assert.ok(lost < 5000 / 20 / 2, `${lost} requests`)
})

test('isUnresponsive() is false again, when the zone responds to a request', () => {
  const simulation = createSimulation()
  sendRequests(simulation, 1000, (zone) => zone !== 'b')
  assert.ok(simulation.detector.isUnresponsive('b'))
  simulation.detector.trackRequest({ id: 'b1', group: 'b' }, WORK_MS)(true)
  assert.not(simulation.detector.isUnresponsive('b'))
})

test('isUnresponsive() is false, when one server of a zone has crashed', () => {
  const simulation = createSimulation()
  sendRequests(simulation, 3000, (zone, server) => zone !== 'b' || server !== 2)
  assert.not(simulation.detector.isUnresponsive('b'))
})

test('isUnresponsive() returns false for a zone, when the requests without a response went through a relay that reaches no server', () => {
  let now = 0
  const detector = createGroupFailureDetector(() => now)
  const ends = ['s1', 's2', 's3'].map((id) => detector.trackRequest({ id, group: 'a', path: 'relay-1' }, WORK_MS))
  now = 400
  assert.is(detector.isUnresponsive('a'), true)
  detector.discardPath('relay-1')
  assert.is(detector.isUnresponsive('a'), false)
  now = 2000
  assert.is(detector.isUnresponsive('a'), false)
  for (const end of ends) end(false)
  assert.is(detector.isUnresponsive('a'), false)
})

test.run()
