/** Properties of publishing and of the configuration in force. */
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

test('publish() gives one order in which no accepted change is lost or reverted, when operators race', async () => {
  const operators = fc.array(fc.uniqueArray(fc.constantFrom('a', 'b', 'c'), { minLength: 1 }), { minLength: 2, maxLength: 5 })
  await fc.assert(fc.asyncProperty(fc.scheduler(), operators, async (scheduler, plans) => {
    const table = createFakeTable(async () => { await scheduler.schedule(Promise.resolve()) })
    const objects = createFakeObjectStore()
    const running = plans.map(async (names, index) => await publish({ table, objects }, {
      services: names.map((name) => serviceOf(name, 100 + index)), base: 0, attemptId: `attempt-${index}`
    }))
    const outcomes = await scheduler.waitFor(Promise.all(running))
    const versions = await readVersions(table.history(POINTER_KEY).map((row) => row.value as Pointer), objects)
    assert.equal(versions.map((bundle) => bundle.version), versions.map((_, index) => index + 1))
    for (const [index, outcome] of outcomes.entries()) {
      const accepted = outcome.kind === 'in-force'
      const last = versions[versions.length - 1]
      for (const name of plans[index] ?? []) {
        const inForce = last?.services.find((entry) => entry.service.name === name)?.service.requests.deadline_ms
        if (accepted) assert.is(inForce, 100 + index, `the change of ${name} by operator ${index} was reverted`)
        else assert.is.not(inForce, 100 + index, `operator ${index} was told ${outcome.kind}, and ${name} is in force`)
      }
    }
    assert.ok(outcomes.some((outcome) => outcome.kind === 'in-force'))
  }), propertyParameters(60))
})

test('publish() tells the truth and is safe to repeat, when answers are lost', async () => {
  const fates = fc.array(fc.constantFrom<CallBehaviour>('works', 'down', 'lost'), { maxLength: 10 })
  await fc.assert(fc.asyncProperty(fates, async (plan) => {
    const table = createFakeTable()
    const objects = createFakeObjectStore()
    table.setCallBehaviours(plan)
    const first = await publish({ table, objects }, { services: [serviceOf('a', 100)], attemptId: 'first' })
    const effects = table.history(POINTER_KEY).length
    assert.ok(effects <= 1)
    if (first.kind === 'in-force') assert.is(effects, 1)
    if (first.kind === 'not-published') assert.is(effects, 0)
    table.setCallBehaviours([])
    const again = await publish({ table, objects }, { services: [serviceOf('a', 100)], attemptId: 'again' })
    assert.is(again.kind, effects === 1 ? 'unchanged' : 'in-force')
    assert.is(table.history(POINTER_KEY).length, 1)
  }), propertyParameters(60))
})

test('publish() refuses a change of how keys are found, when the service is in force', async () => {
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

test('offer() never goes back, in whatever order bundles arrive', () => {
  fc.assert(fc.property(fc.array(fc.nat({ max: 9 })), (versions) => {
    const holder = createConfigurationCache()
    let highest = 0
    for (const version of versions) {
      holder.apply({ version, services: [] })
      highest = Math.max(highest, version)
      assert.is(holder.bundle().version, highest)
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
