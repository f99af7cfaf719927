/** Properties of the dispatcher: what is run, how often, and what its caller is told. */
import fc from 'fast-check'
import { randomUUID } from 'node:crypto'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { createFakeServers, type FakeServers, type Treatment } from '../../testing/fake_servers.ts'
import { createFakeTable, type CallFate, type FakeTable } from '../../testing/fake_table.ts'
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
const treatment = fc.constantFrom<Treatment>('answer', 'refuse', 'shed', 'unsent', 'lose-before', 'lose-after', 'cross', 'unframed')
const fates = fc.array(fc.constantFrom<CallFate>('works', 'down', 'lost'), { maxLength: 8 })

function createOne (servers: FakeServers, options: { readonly table?: FakeTable, readonly share?: (suspects: readonly Suspect[]) => void } = {}): Dispatcher {
  return createDispatcher({
    host: '127.0.0.1:7100',
    grantManager: servers.keeper,
    client: servers.client,
    claims: createClaimStore({ table: options.table ?? createFakeTable(), now }),
    service: () => SERVICE,
    placement: () => ({ kind: 'here' }),
    publishSuspects: async (suspects) => { options.share?.(suspects) },
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

async function dispatchWhole (dispatcher: Dispatcher, request: DispatchRequest): Promise<DispatchOutcome> {
  const outcome = await dispatcher.dispatch(request)
  if (outcome.kind === 'answer') for await (const chunk of outcome.body) assert.ok(chunk)
  return outcome
}

test('dispatch() runs what may not be repeated at most once and says not-run only when it was not, whatever the servers do', async () => {
  await fc.assert(fc.asyncProperty(fc.array(fc.array(treatment, { minLength: 1, maxLength: 6 }), { minLength: 1, maxLength: 6 }), async (plans) => {
    const left = new Map(plans.map((plan, index) => [`/orders/${index}`, [...plan]]))
    const servers = createFakeServers({ count: 2, treat: (request) => left.get(request.path)?.shift() ?? 'answer' })
    const dispatcher = createOne(servers)
    const outcomes = await Promise.all(plans.map(async (_, index) => await dispatchWhole(dispatcher, requestOf(`/orders/${index}`, false))))
    for (const [index, outcome] of outcomes.entries()) {
      const count = servers.runs.filter((run) => run.path === `/orders/${index}`).length
      assert.ok(count <= 1, `/orders/${index} ran ${count} times`)
      if (outcome.kind === 'not-run') assert.is(count, 0, `/orders/${index} ran, and its caller was told ${outcome.reason}`)
      if (outcome.kind === 'answer') assert.is(count, 1)
    }
  }), propertyParameters(30))
})

test('dispatch() runs an order with one idempotency key at most once, when its caller repeats it through another host and the platform fails', async () => {
  await fc.assert(fc.asyncProperty(fates, fc.array(treatment, { maxLength: 6 }), fc.integer({ min: 2, max: 4 }), async (plan, treatments, repeats) => {
    const table = createFakeTable()
    table.setFates(plan)
    const left = [...treatments]
    const servers = createFakeServers({ count: 2, treat: () => left.shift() ?? 'answer' })
    const outcomes: DispatchOutcome[] = []
    for (let repeat = 0; repeat < repeats; repeat++) {
      outcomes.push(await dispatchWhole(createOne(servers, { table }), requestOf('/orders/1', false, 'key-1')))
    }
    assert.ok(servers.runs.length <= 1, `the order ran ${servers.runs.length} times: ${JSON.stringify(outcomes.map((outcome) => outcome.kind))}`)
    if (outcomes.every((outcome) => outcome.kind === 'not-run')) assert.is(servers.runs.length, 0)
  }), propertyParameters(30))
})

test('dispatch() runs an order sent twice at once through two hosts at most once, when its callers use one request identifier', async () => {
  const table = createFakeTable()
  const servers = createFakeServers({ count: 2, treat: () => 'answer' })
  const first = requestOf('/orders/1', false, 'key-1')
  await Promise.all([dispatchWhole(createOne(servers, { table }), first), dispatchWhole(createOne(servers, { table }), { ...first })])
  assert.is(servers.runs.length, 1)
})

test('dispatch() lets a caller send an order again, when it was told that the first try was not run', async () => {
  const table = createFakeTable()
  const left: Treatment[] = Array.from({ length: 400 }, () => 'refuse')
  const servers = createFakeServers({ count: 1, treat: () => left.shift() ?? 'answer' })
  const first = await dispatchWhole(createOne(servers, { table }), requestOf('/orders/1', false, 'key-1'))
  assert.is(first.kind, 'not-run')
  left.length = 0
  const second = await dispatchWhole(createOne(servers, { table }), requestOf('/orders/1', false, 'key-1'))
  assert.is(second.kind, 'answer')
})

test('dispatch() gives each caller its own answer or an error, when answers are crossed or have no end', async () => {
  for (const broken of ['cross', 'unframed'] as const) {
    const servers = createFakeServers({ count: 1, treat: () => broken })
    const outcome = await dispatchWhole(createOne(servers), requestOf('/orders/1', false))
    assert.is(outcome.kind, 'unknown')
  }
})

test('dispatch() never exceeds the slots of a server, when many callers come at once', async () => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 30 }), fc.integer({ min: 1, max: 3 }), async (callers, count) => {
    const servers = createFakeServers({ count, treat: () => 'answer', workMs: 2 })
    const dispatcher = createOne(servers)
    await Promise.all(Array.from({ length: callers }, async (_, index) => await dispatchWhole(dispatcher, requestOf(`/orders/${index}`, true))))
    assert.ok(servers.mostAtOnce() <= SERVICE.servers.slots)
    assert.is(dispatcher.inFlight(), 0)
  }), propertyParameters(15))
})

test('dispatch() loses at most two servers to one request, when it is sent again and again through several hosts', async () => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 3 }), fc.integer({ min: 3, max: 6 }), async (hosts, tries) => {
    const servers = createFakeServers({ count: 8, treat: (request) => request.path === '/orders/killer' ? 'crash' : 'answer', workMs: 3 })
    const dispatchers: Dispatcher[] = []
    const share = (suspects: readonly Suspect[]): void => {
      for (const dispatcher of dispatchers) for (const { fingerprint, crashes } of suspects) dispatcher.suspects.merge(fingerprint, crashes, now())
    }
    for (let host = 0; host < hosts; host++) dispatchers.push(createOne(servers, { share }))
    let innocentAnswers = 0
    for (let attempt = 0; attempt < tries; attempt++) {
      const dispatcher = dispatchers[attempt % hosts]
      if (dispatcher === undefined) continue
      const innocents = [1, 2, 3].map(async (number) => await dispatchWhole(dispatcher, requestOf(`/orders/${number}`, true)))
      const killer = await dispatchWhole(dispatcher, requestOf('/orders/killer', true))
      assert.is.not(killer.kind, 'answer')
      innocentAnswers += (await Promise.all(innocents)).filter((outcome) => outcome.kind === 'answer').length
    }
    assert.ok(servers.crashes.length <= 2, `${servers.crashes.length} servers were lost`)
    const last = dispatchers[0]
    if (last === undefined) return
    const again = await Promise.all([1, 2, 3].map(async (number) => await dispatchWhole(last, requestOf(`/orders/${number}`, true))))
    assert.ok(again.every((outcome) => outcome.kind === 'answer'), JSON.stringify(again.map((outcome) => 'reason' in outcome ? outcome.reason : 'answer')))
    assert.ok(innocentAnswers > 0)
  }), propertyParameters(8))
})

test.run()
