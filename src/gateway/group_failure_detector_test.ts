/** Tests of noticing that a zone is cut off, while callers go on asking. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createGroupFailureDetector, type GroupFailureDetector } from './group_failure_detector.ts'

const test = suite('createGroupSilence')
const WORK_MS = 100

interface World { now: number, readonly silence: GroupFailureDetector }

/** Sends a request to a server of each zone every 20 ms; those of silent zones are never answered. Returns how many such were sent. */
function sendFor (world: World, lengthMs: number, isAnswering: (zone: string, server: number) => boolean): number {
  let lost = 0
  const answers: Array<{ readonly at: number, readonly end: (answered: boolean) => void }> = []
  for (const endsAt = world.now + lengthMs; world.now < endsAt; world.now += 20) {
    for (const zone of ['a', 'b', 'c']) {
      const server = world.now / 20 % 4
      if (world.silence.isUnresponsive(zone)) continue
      const end = world.silence.trackRequest({ id: `${zone}${server}`, group: zone }, WORK_MS)
      if (isAnswering(zone, server)) answers.push({ at: world.now + WORK_MS, end })
      else lost++
    }
    for (const answer of answers.filter(({ at }) => at === world.now)) answer.end(true)
  }
  return lost
}

function createWorld (): World {
  const world: { now: number, silence?: GroupFailureDetector } = { now: 0 }
  world.silence = createGroupFailureDetector(() => world.now)
  return world as World
}

test('isSilent() is true within half a second, when a zone is cut off, and keeps most requests from being lost', () => {
  const world = createWorld()
  sendFor(world, 1000, () => true)
  const lost = sendFor(world, 5000, (zone) => zone !== 'b')
  assert.ok(world.silence.isUnresponsive('b'))
  assert.not(world.silence.isUnresponsive('a'))
  assert.ok(lost < 5000 / 20 / 2, `${lost} requests`)
})

test('isSilent() is false again, when a request to the zone is answered', () => {
  const world = createWorld()
  sendFor(world, 1000, (zone) => zone !== 'b')
  assert.ok(world.silence.isUnresponsive('b'))
  world.silence.trackRequest({ id: 'b1', group: 'b' }, WORK_MS)(true)
  assert.not(world.silence.isUnresponsive('b'))
})

test('isSilent() is false, when one server of a zone has crashed', () => {
  const world = createWorld()
  sendFor(world, 3000, (zone, server) => zone !== 'b' || server !== 2)
  assert.not(world.silence.isUnresponsive('b'))
})

test.run()
