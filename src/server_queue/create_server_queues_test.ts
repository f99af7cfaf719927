/** Tests of queues with a clock that the test advances: a slot that is lost, or a request that is forgotten, would stay so until the host restarts. */
import FakeTimers from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { RoutedServer } from '../routing/mod.ts'
import { createServerQueues, type QueuedRequest, type ServerQueues, type ServerQueuesOptions, type Turn } from './create_server_queues.ts'

const test = suite('createServerQueues')

function createServer (id: string): RoutedServer {
  return { id, bornAt: 1, service: 'lookups', address: `${id}:80`, zone: 'a', slots: 2, leaving: false, warmUpLeftMs: 0 }
}

const SERVERS = [createServer('i-1'), createServer('i-2')]

function createQueues (clock: FakeTimers.Clock, options: Partial<ServerQueuesOptions> = {}): ServerQueues {
  return createServerQueues({
    now: () => clock.now, groupOf: () => 'group', members: () => SERVERS, workMs: () => 100, slowdown: () => 1, failureShare: () => 0, isAvoided: () => false, foreignRequests: () => 0, maximumRate: () => Infinity, takePermission: () => null, ...options
  })
}

function createRequest (clock: FakeTimers.Clock, terms: Partial<QueuedRequest> = {}): QueuedRequest {
  return { server: SERVERS[0] as RoutedServer, tried: new Set(), priority: 1, key: null, goalMs: 500, goalAt: clock.now + 500, deadlineAt: clock.now + 1000, callerRemainingMs: 1200, signal: new AbortController().signal, ...terms }
}

/** Runs a test with timers that it advances. */
async function withClock (run: (clock: FakeTimers.Clock) => Promise<void>): Promise<void> {
  const clock = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout'] })
  try {
    await run(clock)
  } finally {
    clock.uninstall()
  }
}

/** Sends requests until all slots are taken. */
async function fill (clock: FakeTimers.Clock, queues: ServerQueues, terms: Partial<QueuedRequest> = {}): Promise<Array<Extract<Turn, { kind: 'send' }>>> {
  const turns: Array<Extract<Turn, { kind: 'send' }>> = []
  for (let count = 0; count < 4; count++) {
    const turn = await queues.enter(createRequest(clock, terms))
    if (turn.kind === 'send') turns.push(turn)
  }
  return turns
}

test('enter() uses the slots of all servers of a group, when the request names one of them', async () => {
  await withClock(async (clock) => {
    const turns = await fill(clock, createQueues(clock))
    assert.equal(turns.map(({ server }) => server.id).sort(), ['i-1', 'i-1', 'i-2', 'i-2'])
  })
})

test('enter() gives a freed slot to the most urgent waiting request', async () => {
  await withClock(async (clock) => {
    const queues = createQueues(clock)
    const [first] = await fill(clock, queues)
    const order: string[] = []
    queues.enter(createRequest(clock, { priority: 2 })).then(() => { order.push('pull') }, assert.unreachable)
    queues.enter(createRequest(clock, { priority: 0 })).then(({ kind }) => { order.push(`urgent ${kind}`) }, assert.unreachable)
    await Promise.resolve()
    first?.end()
    await new Promise(setImmediate)
    assert.equal(order, ['urgent send'])
    assert.is(queues.describe()[0]?.waiting, 1)
  })
})

test('enter() does not give a slot twice, when its end is reported twice', async () => {
  await withClock(async (clock) => {
    const queues = createQueues(clock)
    const [first] = await fill(clock, queues)
    first?.end()
    first?.end()
    assert.is((await queues.enter(createRequest(clock))).kind, 'send')
    let settled = false
    queues.enter(createRequest(clock)).then(() => { settled = true }, assert.unreachable)
    await new Promise(setImmediate)
    assert.not(settled)
  })
})

test('enter() refuses at once and at different times, when more requests wait than can be served in time', async () => {
  await withClock(async (clock) => {
    const queues = createQueues(clock)
    await fill(clock, queues)
    const refusals: Array<Extract<Turn, { kind: 'refuse' }>> = []
    for (let count = 0; count < 60; count++) queues.enter(createRequest(clock, { goalAt: clock.now + 5000 })).then((turn) => { if (turn.kind === 'refuse') refusals.push(turn) }, assert.unreachable)
    await new Promise(setImmediate)
    // Four slots of 100 ms complete 35 requests in the 875 ms after which a turn would be too late.
    assert.is(refusals.length, 60 - 35)
    assert.ok(new Set(refusals.map(({ returnAfterMs }) => returnAfterMs)).size > 10)
    assert.ok(refusals.every(({ returnAfterMs }) => returnAfterMs <= 400))
  })
})

test('enter() completes waiting requests well before their goal, when twice as many arrive as the servers complete', async () => {
  await withClock(async (clock) => {
    const queues = createQueues(clock)
    const latencies: number[] = []
    // Load: a request each 12.5 ms with a goal of 500 ms, where four slots of 100 ms complete one each 25 ms.
    for (let step = 0; step < 400; step++) {
      const sentAt = clock.now
      queues.enter(createRequest(clock)).then((turn) => {
        if (turn.kind !== 'send') return
        setTimeout(() => {
          latencies.push(clock.now - sentAt)
          turn.end()
        }, 100)
      }, assert.unreachable)
      await new Promise(setImmediate)
      clock.tick(12.5)
    }
    const timely = latencies.filter((latency) => latency <= 450)
    assert.ok(timely.length >= latencies.length * 0.9, `${timely.length} of ${latencies.length}`)
    assert.ok(latencies.length >= 160, `${latencies.length}`)
  })
})

test('enter() refuses a waiting request, when no slot becomes free before its deadline', async () => {
  await withClock(async (clock) => {
    const queues = createQueues(clock)
    await fill(clock, queues)
    let turn: Turn | null = null
    queues.enter(createRequest(clock)).then((result) => { turn = result }, assert.unreachable)
    await new Promise(setImmediate)
    clock.tick(1000)
    await new Promise(setImmediate)
    assert.is((turn as Turn | null)?.kind, 'refuse')
    assert.equal(queues.describe(), [])
  })
})

test('enter() reports that no server takes requests, when the last one leaves while a request waits', async () => {
  await withClock(async (clock) => {
    let members: readonly RoutedServer[] = SERVERS
    const queues = createQueues(clock, { members: () => members })
    await fill(clock, queues)
    const waiting = queues.enter(createRequest(clock))
    await new Promise(setImmediate)
    members = []
    clock.tick(50)
    assert.equal(await waiting, { kind: 'unavailable' })
  })
})

test('enter() removes a request, when its caller leaves while it waits', async () => {
  await withClock(async (clock) => {
    const queues = createQueues(clock)
    await fill(clock, queues)
    const abort = new AbortController()
    const waiting = queues.enter(createRequest(clock, { signal: abort.signal }))
    await new Promise(setImmediate)
    abort.abort()
    assert.equal(await waiting, { kind: 'aborted' })
    assert.equal(queues.describe(), [])
  })
})

test('enter() waits for permission of a server with free slots, and uses it once it is given', async () => {
  await withClock(async (clock) => {
    const queues = createQueues(clock, { takePermission: () => clock.now < 100 ? 100 - clock.now : null })
    const waiting = queues.enter(createRequest(clock))
    await new Promise(setImmediate)
    clock.tick(120)
    assert.is((await waiting).kind, 'send')
  })
})

test('enter() chooses a server that has not got the request yet', async () => {
  await withClock(async (clock) => {
    const turn = await createQueues(clock).enter(createRequest(clock, { tried: new Set(['i-1']) }))
    assert.is(turn.kind === 'send' ? turn.server.id : '', 'i-2')
  })
})

test('enter() leaves a slot to the other keys, when one key gets most of the requests', async () => {
  await withClock(async (clock) => {
    const [server] = SERVERS as [RoutedServer]
    const queues = createQueues(clock, { groupOf: () => null, members: () => [server] })
    const first = await queues.enter(createRequest(clock, { key: 1 }))
    await queues.enter(createRequest(clock, { key: 1 }))
    const order: string[] = []
    queues.enter(createRequest(clock, { key: 1 })).then(() => { order.push('hot') }, assert.unreachable)
    queues.enter(createRequest(clock, { key: 2, goalAt: clock.now + 600 })).then(() => { order.push('other') }, assert.unreachable)
    await new Promise(setImmediate)
    if (first.kind === 'send') first.end()
    await new Promise(setImmediate)
    assert.equal(order, ['other'])
  })
})

test.run()
