/** Tests of the failure detector: a zone is cut off while callers continue to send requests. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createGroupFailureDetector, type GroupFailureDetector } from './group_failure_detector.ts'

const test = suite('createGroupFailureDetector')
const WORK_MS = 100

interface World { now: number, readonly detector: GroupFailureDetector }

/** Sends a request to a server of each responsive zone every 20 ms. Returns the number of requests that are never answered. */
function sendRequests (world: World, lengthMs: number, isAnswering: (zone: string, server: number) => boolean): number {
  let lost = 0
  const answers: Array<{ readonly at: number, readonly end: (answered: boolean) => void }> = []
  for (const endsAt = world.now + lengthMs; world.now < endsAt; world.now += 20) {
    for (const zone of ['a', 'b', 'c']) {
      const server = world.now / 20 % 4
      if (world.detector.isUnresponsive(zone)) continue
      const end = world.detector.trackRequest({ id: `${zone}${server}`, group: zone }, WORK_MS)
      if (isAnswering(zone, server)) answers.push({ at: world.now + WORK_MS, end })
      else lost++
    }
    for (const answer of answers.filter(({ at }) => at === world.now)) answer.end(true)
  }
  return lost
}

function createWorld (): World {
  const world: { now: number, detector?: GroupFailureDetector } = { now: 0 }
  world.detector = createGroupFailureDetector(() => world.now)
  return world as World
}

test('isUnresponsive() is true within half a second and prevents the loss of most requests, when a zone is cut off', () => {
  const world = createWorld()
  sendRequests(world, 1000, () => true)
  const lost = sendRequests(world, 5000, (zone) => zone !== 'b')
  assert.ok(world.detector.isUnresponsive('b'))
  assert.not(world.detector.isUnresponsive('a'))
  assert.ok(lost < 5000 / 20 / 2, `${lost} requests`)
})

test('isUnresponsive() is false again, when a request to the zone is answered', () => {
  const world = createWorld()
  sendRequests(world, 1000, (zone) => zone !== 'b')
  assert.ok(world.detector.isUnresponsive('b'))
  world.detector.trackRequest({ id: 'b1', group: 'b' }, WORK_MS)(true)
  assert.not(world.detector.isUnresponsive('b'))
})

test('isUnresponsive() is false, when one server of a zone has crashed', () => {
  const world = createWorld()
  sendRequests(world, 3000, (zone, server) => zone !== 'b' || server !== 2)
  assert.not(world.detector.isUnresponsive('b'))
})

test.run()
