/** Property tests of publishing and of the configuration cache. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { createFakeObjectStore, createFakeTable, type CallBehaviour } from '../../testing/fake_table.ts'
import { decodeBundle } from './bundle.ts'
import { createConfigurationCache } from './configuration_cache.ts'
import { publish, POINTER_KEY } from './publish.ts'
import type { Bundle, Pointer, ServiceConfiguration } from './service_configuration.ts'

const test = suite('publish')

function serviceOf (name: string, deadline: number): ServiceConfiguration {
  return {
    name,
    match: { path: `/${name}` },
    requests: { idempotent: ['GET'], deadline_ms: deadline, idempotency_key: 'optional' },
    servers: { slots: 1, connections: 1, checks_grants: true }
  }
}

test('publish() neither loses nor reverts an accepted change, when operators publish concurrently', async () => {
  const operators = fc.array(fc.uniqueArray(fc.constantFrom('a', 'b', 'c'), { minLength: 1 }), { minLength: 2, maxLength: 5 })
  await fc.assert(fc.asyncProperty(fc.scheduler(), operators, async (scheduler, servicesByOperator) => {
    const table = createFakeTable(async () => { await scheduler.schedule(Promise.resolve()) })
    const objects = createFakeObjectStore()
    const running = servicesByOperator.map(async (names, index) => await publish({ table, objects }, {
      services: names.map((name) => serviceOf(name, 100 + index)), base: 0, attemptId: `attempt-${index}`
    }))
    const outcomes = await scheduler.waitFor(Promise.all(running))
    const versions = await readVersions(table.history(POINTER_KEY).map((row) => row.value as Pointer), objects)
    assert.equal(versions.map((bundle) => bundle.version), versions.map((_, index) => index + 1))
    for (const [index, outcome] of outcomes.entries()) {
      const accepted = outcome.kind === 'in-force'
      const last = versions[versions.length - 1]
      for (const name of servicesByOperator[index] ?? []) {
        const inForce = last?.services.find((entry) => entry.service.name === name)?.service.requests.deadline_ms
        if (accepted) assert.is(inForce, 100 + index, `the change of ${name} by operator ${index} was reverted`)
        else assert.is.not(inForce, 100 + index, `operator ${index} received ${outcome.kind}, but the change of ${name} is in force`)
      }
    }
    assert.ok(outcomes.some((outcome) => outcome.kind === 'in-force'))
  }), propertyParameters(60))
})

test('publish() returns the actual outcome and is safe to repeat, when responses are lost', async () => {
  const callBehaviours = fc.array(fc.constantFrom<CallBehaviour>('works', 'down', 'lost'), { maxLength: 10 })
  await fc.assert(fc.asyncProperty(callBehaviours, async (behaviours) => {
    const table = createFakeTable()
    const objects = createFakeObjectStore()
    table.setCallBehaviours(behaviours)
    const first = await publish({ table, objects }, { services: [serviceOf('a', 100)], attemptId: 'first' })
    const writeCount = table.history(POINTER_KEY).length
    assert.ok(writeCount <= 1)
    if (first.kind === 'in-force') assert.is(writeCount, 1)
    if (first.kind === 'not-published') assert.is(writeCount, 0)
    table.setCallBehaviours([])
    const again = await publish({ table, objects }, { services: [serviceOf('a', 100)], attemptId: 'again' })
    assert.is(again.kind, writeCount === 1 ? 'unchanged' : 'in-force')
    assert.is(table.history(POINTER_KEY).length, 1)
  }), propertyParameters(60))
})

test('publish() rejects changes of the key and of checks_grants, when the service is in force', async () => {
  const ports = { table: createFakeTable(), objects: createFakeObjectStore() }
  const keyed: ServiceConfiguration = { ...serviceOf('a', 100), key: { from: 'path', segment: 1, slices: 64 } }
  const changes: ServiceConfiguration[] = [
    { ...keyed, key: { from: 'path', segment: 1, slices: 128 } },
    { ...keyed, key: { from: 'query', name: 'id', slices: 64 } },
    { ...keyed, key: undefined },
    { ...keyed, servers: { ...keyed.servers, checks_grants: false } }
  ]
  await publish(ports, { services: [keyed], attemptId: 'first' })
  for (const [index, service] of changes.entries()) {
    assert.is((await publish(ports, { services: [service], attemptId: `change-${index}` })).kind, 'conflict')
  }
  assert.is((await publish(ports, { services: [{ ...keyed, match: { path: '/b' } }], attemptId: 'last' })).kind, 'in-force')
})

test('apply() never returns to a lower version, when bundles arrive in any order', () => {
  fc.assert(fc.property(fc.array(fc.nat({ max: 9 })), (versions) => {
    const cache = createConfigurationCache()
    let highest = 0
    for (const version of versions) {
      cache.apply({ version, services: [] })
      highest = Math.max(highest, version)
      assert.is(cache.bundle().version, highest)
    }
  }), propertyParameters(60))
})

async function readVersions (pointers: readonly Pointer[], objects: ReturnType<typeof createFakeObjectStore>): Promise<Bundle[]> {
  const bundles: Bundle[] = []
  for (const { digest } of pointers) {
    const text = await objects.get(digest)
    const bundle = text.ok ? decodeBundle(text.value, digest) : null
    if (bundle !== null) bundles.push(bundle)
  }
  return bundles
}

test.run()
