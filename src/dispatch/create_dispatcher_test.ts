/** Property tests of the dispatcher: which requests run, how often, and what outcome the caller receives. */
import fc from 'fast-check'
import { randomUUID } from 'node:crypto'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { createFakeServers, type FakeServers, type ServerBehaviour } from '../../testing/fake_servers.ts'
import { createFakeTable, type CallBehaviour, type FakeTable } from '../../testing/fake_table.ts'
import { createClaimStore } from './claim_store.ts'
import { createDispatcher } from './create_dispatcher.ts'
import type { DispatchOutcome, DispatchRequest } from './dispatch_types.ts'
import type { Dispatcher } from './dispatcher.ts'
import type { Suspect } from './suspect_registry.ts'

const test = suite('createDispatcher')
const now = (): number => performance.now()
const SERVICE = {
  name: 'orders',
  match: { path: '/orders' },
  requests: { idempotent: ['GET' as const], deadline_ms: 400, idempotency_key: 'optional' as const },
  servers: { slots: 2, connections: 10, checks_grants: false }
}
const behaviour = fc.constantFrom<ServerBehaviour>('answer', 'refuse', 'shed', 'unsent', 'lose-before', 'lose-after', 'cross', 'unframed')
const callBehaviours = fc.array(fc.constantFrom<CallBehaviour>('works', 'down', 'lost'), { maxLength: 8 })

function createTestDispatcher (servers: FakeServers, options: { readonly table?: FakeTable, readonly publishSuspects?: (suspects: readonly Suspect[]) => void } = {}): Dispatcher {
  return createDispatcher({
    host: '127.0.0.1:7100',
    grantManager: servers.grantManager,
    client: servers.client,
    claims: createClaimStore({ table: options.table ?? createFakeTable(), now }),
    service: () => SERVICE,
    placement: () => ({ kind: 'here' }),
    publishSuspects: async (suspects) => { options.publishSuspects?.(suspects) },
    now
  })
}

function requestOf (path: string, isIdempotent: boolean, claimKey: string | null = null): DispatchRequest {
  return {
    id: randomUUID(),
    service: 'orders',
    slice: null,
    method: isIdempotent ? 'GET' : 'POST',
    path,
    headers: {},
    body: null,
    deadline: now() + SERVICE.requests.deadline_ms,
    isIdempotent,
    claimKey,
    signal: new AbortController().signal
  }
}

async function dispatchAndReadBody (dispatcher: Dispatcher, request: DispatchRequest): Promise<DispatchOutcome> {
  const outcome = await dispatcher.dispatch(request)
  if (outcome.kind === 'answer') for await (const chunk of outcome.body) assert.ok(chunk)
  return outcome
}

test('dispatch() runs a non-idempotent request at most once and returns not-run only if it did not run, when servers fail in any way', async () => {
  await fc.assert(fc.asyncProperty(fc.array(fc.array(behaviour, { minLength: 1, maxLength: 6 }), { minLength: 1, maxLength: 6 }), async (behavioursByRequest) => {
    const remainingBehaviours = new Map(behavioursByRequest.map((behaviours, index) => [`/orders/${index}`, [...behaviours]]))
    const servers = createFakeServers({ count: 2, chooseBehaviour: (request) => remainingBehaviours.get(request.path)?.shift() ?? 'answer' })
    const dispatcher = createTestDispatcher(servers)
    const outcomes = await Promise.all(behavioursByRequest.map(async (_, index) => await dispatchAndReadBody(dispatcher, requestOf(`/orders/${index}`, false))))
    for (const [index, outcome] of outcomes.entries()) {
      const count = servers.runs.filter((run) => run.path === `/orders/${index}`).length
      assert.ok(count <= 1, `/orders/${index} ran ${count} times`)
      if (outcome.kind === 'not-run') assert.is(count, 0, `/orders/${index} ran, but its caller received ${outcome.reason}`)
      if (outcome.kind === 'answer') assert.is(count, 1)
    }
  }), propertyParameters(30))
})

test('dispatch() runs an order with one idempotency key at most once, when its caller retries it through another host and the platform fails', async () => {
  await fc.assert(fc.asyncProperty(callBehaviours, fc.array(behaviour, { maxLength: 6 }), fc.integer({ min: 2, max: 4 }), async (tableBehaviours, serverBehaviours, repeats) => {
    const table = createFakeTable()
    table.setCallBehaviours(tableBehaviours)
    const remainingBehaviours = [...serverBehaviours]
    const servers = createFakeServers({ count: 2, chooseBehaviour: () => remainingBehaviours.shift() ?? 'answer' })
    const outcomes: DispatchOutcome[] = []
    for (let repeat = 0; repeat < repeats; repeat++) {
      outcomes.push(await dispatchAndReadBody(createTestDispatcher(servers, { table }), requestOf('/orders/1', false, 'key-1')))
    }
    assert.ok(servers.runs.length <= 1, `the order ran ${servers.runs.length} times: ${JSON.stringify(outcomes.map((outcome) => outcome.kind))}`)
    if (outcomes.every((outcome) => outcome.kind === 'not-run')) assert.is(servers.runs.length, 0)
  }), propertyParameters(30))
})

test('dispatch() runs an order at most once, when two hosts receive it concurrently with the same request identifier', async () => {
  const table = createFakeTable()
  const servers = createFakeServers({ count: 2, chooseBehaviour: () => 'answer' })
  const first = requestOf('/orders/1', false, 'key-1')
  await Promise.all([dispatchAndReadBody(createTestDispatcher(servers, { table }), first), dispatchAndReadBody(createTestDispatcher(servers, { table }), { ...first })])
  assert.is(servers.runs.length, 1)
})

test('dispatch() runs an order that is sent again, when the first attempt returned not-run', async () => {
  const table = createFakeTable()
  const remainingBehaviours: ServerBehaviour[] = Array.from({ length: 400 }, () => 'refuse')
  const servers = createFakeServers({ count: 1, chooseBehaviour: () => remainingBehaviours.shift() ?? 'answer' })
  const first = await dispatchAndReadBody(createTestDispatcher(servers, { table }), requestOf('/orders/1', false, 'key-1'))
  assert.is(first.kind, 'not-run')
  remainingBehaviours.length = 0
  const second = await dispatchAndReadBody(createTestDispatcher(servers, { table }), requestOf('/orders/1', false, 'key-1'))
  assert.is(second.kind, 'answer')
})

test('dispatch() returns an unknown outcome, when a response belongs to another request or is not framed', async () => {
  for (const broken of ['cross', 'unframed'] as const) {
    const servers = createFakeServers({ count: 1, chooseBehaviour: () => broken })
    const outcome = await dispatchAndReadBody(createTestDispatcher(servers), requestOf('/orders/1', false))
    assert.is(outcome.kind, 'unknown')
  }
})

test('dispatch() never exceeds the slots of a server, when many callers send requests concurrently', async () => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 30 }), fc.integer({ min: 1, max: 3 }), async (callers, count) => {
    const servers = createFakeServers({ count, chooseBehaviour: () => 'answer', workMs: 2 })
    const dispatcher = createTestDispatcher(servers)
    await Promise.all(Array.from({ length: callers }, async (_, index) => await dispatchAndReadBody(dispatcher, requestOf(`/orders/${index}`, true))))
    assert.ok(servers.maximumConcurrency() <= SERVICE.servers.slots)
    assert.is(dispatcher.inFlight(), 0)
  }), propertyParameters(15))
})

test('dispatch() lets one request crash at most two servers, when it is sent repeatedly through several hosts', async () => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 3 }), fc.integer({ min: 3, max: 6 }), async (hosts, tries) => {
    const servers = createFakeServers({ count: 8, chooseBehaviour: (request) => request.path === '/orders/crashing' ? 'crash' : 'answer', workMs: 3 })
    const dispatchers: Dispatcher[] = []
    const publishSuspects = (suspects: readonly Suspect[]): void => {
      for (const dispatcher of dispatchers) for (const { fingerprint, crashes } of suspects) dispatcher.suspects.merge(fingerprint, crashes, now())
    }
    for (let host = 0; host < hosts; host++) dispatchers.push(createTestDispatcher(servers, { publishSuspects }))
    let otherResponses = 0
    for (let attempt = 0; attempt < tries; attempt++) {
      const dispatcher = dispatchers[attempt % hosts]
      if (dispatcher === undefined) continue
      const otherRequests = [1, 2, 3].map(async (number) => await dispatchAndReadBody(dispatcher, requestOf(`/orders/${number}`, true)))
      const crashOutcome = await dispatchAndReadBody(dispatcher, requestOf('/orders/crashing', true))
      assert.is.not(crashOutcome.kind, 'answer')
      otherResponses += (await Promise.all(otherRequests)).filter((outcome) => outcome.kind === 'answer').length
    }
    assert.ok(servers.crashes.length <= 2, `${servers.crashes.length} servers crashed`)
    const last = dispatchers[0]
    if (last === undefined) return
    const finalOutcomes = await Promise.all([1, 2, 3].map(async (number) => await dispatchAndReadBody(last, requestOf(`/orders/${number}`, true))))
    assert.ok(finalOutcomes.every((outcome) => outcome.kind === 'answer'), JSON.stringify(finalOutcomes.map((outcome) => 'reason' in outcome ? outcome.reason : 'answer')))
    assert.ok(otherResponses > 0)
  }), propertyParameters(8))
})

test.run()
