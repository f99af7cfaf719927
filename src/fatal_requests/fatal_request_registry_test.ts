/** Tests of the registry: a request that ends servers must be refused after the third end, and a request that was only lost with others must not. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { NO_EVIDENCE, type Evidence } from './evidence.ts'
import { createFatalRequestRegistry, type FatalRequestRegistry } from './fatal_request_registry.ts'
import type { ServerEnd } from './server_end.ts'

const test = suite('fatal request registry')

const PROPERTY_RUNS = Number(process.env.PROPERTY_RUNS ?? 300)

/** Time after the end of one server at which a request is sent to the next, and for which it runs there, in milliseconds. */
const PAUSE_MS = 200
const RUN_MS = 70

interface Setup {
  readonly registry: FatalRequestRegistry
  readonly refused: string[]
  readonly cleared: string[]
  time: number
}

function setUp (): Setup {
  const setup: Setup = {
    registry: createFatalRequestRegistry({ now: () => setup.time, onRefused ({ fingerprint }) { setup.refused.push(fingerprint) }, onCleared (fingerprint) { setup.cleared.push(fingerprint) } }),
    refused: [],
    cleared: [],
    time: 10_000
  }
  return setup
}

function end (server: string, endedAt: number, requests: Readonly<Record<string, number>>): Evidence {
  return { ...NO_EVIDENCE, ends: [{ server, bornAt: 1, endedAt, requests: Object.entries(requests).map(([fingerprint, sentAt]) => ({ fingerprint, sentAt })) }] }
}

/** The end number `index` of a sequence under the given requests. */
function sequentialEnd (index: number, fingerprints: readonly string[]): Evidence {
  const endedAt = 1000 + index * (PAUSE_MS + RUN_MS)
  return end(`s${index}`, endedAt, Object.fromEntries(fingerprints.map((fingerprint) => [fingerprint, endedAt - RUN_MS])))
}

test('merge() refuses a request, when three servers have ended one after another while they ran it', () => {
  const { registry, refused } = setUp()
  for (const index of [0, 1]) registry.merge(sequentialEnd(index, ['fatal', `sound-${index}`]))
  assert.equal([registry.refusalOf('fatal'), registry.isWatched('fatal')], [null, true])
  registry.merge(sequentialEnd(2, ['fatal', 'sound-2']))
  assert.is(registry.refusalOf('fatal')?.fingerprint, 'fatal')
  assert.equal(refused, ['fatal'])
})

test('merge() does not count servers that end at the same moment, when a request runs at all of them', () => {
  const { registry, refused } = setUp()
  for (let server = 0; server < 10; server++) registry.merge(end(`s${server}`, 1000 + server, { hot: 950 + server }))
  assert.is(registry.endsUnder('hot').count, 1)
  assert.equal(refused, [])
})

test('merge() never refuses a request, when any number of servers end at one moment and hosts notice it at different times', () => {
  const arbitraryRun = fc.record({ sentBeforeMs: fc.integer({ min: 0, max: 300 }), noticedAfterMs: fc.integer({ min: 0, max: 1000 }) })
  fc.assert(fc.property(fc.array(arbitraryRun, { minLength: 3, maxLength: 24 }), (runs) => {
    const { registry, refused } = setUp()
    for (const [index, run] of runs.entries()) registry.merge(end(`s${index}`, 1000 + run.noticedAfterMs, { hot: 1000 - run.sentBeforeMs }))
    assert.equal(refused, [])
  }), { numRuns: PROPERTY_RUNS })
})

test('merge() starts to count anew, when a server has completed the request in between', () => {
  const { registry, refused } = setUp()
  for (const index of [0, 1]) registry.merge(sequentialEnd(index, ['sound']))
  registry.merge({ ...NO_EVIDENCE, completions: [{ fingerprint: 'sound', at: 1400 }] })
  assert.is(registry.isWatched('sound'), false)
  registry.merge(sequentialEnd(2, ['sound']))
  assert.is(registry.endsUnder('sound').count, 1)
  assert.equal(refused, [])
})

test('merge() ends a refusal, when a server completes the request after all', () => {
  const setup = setUp()
  for (const index of [0, 1, 2]) setup.registry.merge(sequentialEnd(index, ['sound']))
  assert.equal(setup.refused, ['sound'])
  setup.registry.merge({ ...NO_EVIDENCE, completions: [{ fingerprint: 'sound', at: setup.time }] })
  assert.equal([setup.registry.refusalOf('sound'), setup.registry.isWatched('sound'), setup.cleared], [null, false, ['sound']])
  setup.time += 60_000
  assert.is(setup.registry.isWatching(), false)
})

test('merge() refuses no request, when several were lost with the same three servers, until their numbers of ends differ', () => {
  const { registry, refused } = setUp()
  for (const index of [0, 1, 2]) registry.merge(sequentialEnd(index, ['fatal', 'sound']))
  assert.equal(refused, [])
  registry.merge(sequentialEnd(3, ['fatal', 'other']))
  assert.equal(refused, ['fatal'])
  assert.equal([registry.endsUnder('sound').count, registry.endsUnder('other').count], [0, 0])
})

test('merge() refuses no request after three ends, when as many servers have ended without it at about the same time', () => {
  const { registry, refused } = setUp()
  for (const index of [0, 1, 2]) {
    registry.merge(sequentialEnd(index, ['sound']))
    registry.merge(end(`t${index}`, 1100 + index * 270, { other: 1050 }))
  }
  assert.equal(refused, [])
  for (const index of [3, 4]) registry.merge(sequentialEnd(index, ['sound']))
  assert.equal(refused, ['sound'])
})

test('merge() refuses a request after five ends, when another one was lost with all of these servers', () => {
  const { registry, refused } = setUp()
  for (const index of [0, 1, 2, 3]) registry.merge(sequentialEnd(index, ['first', 'second']))
  assert.equal(refused, [])
  registry.merge(sequentialEnd(4, ['first', 'second']))
  assert.is(refused.length, 1)
})

test('merge() attributes an end to the refused request alone, when others were lost with it, also if they become known later', () => {
  const { registry, refused } = setUp()
  for (const index of [0, 1, 2]) registry.merge(sequentialEnd(index, ['fatal']))
  for (const index of [0, 1, 2]) registry.merge(sequentialEnd(index, ['fatal', 'sound']))
  assert.equal([refused, registry.endsUnder('sound').count], [['fatal'], 0])
})

// Guards against hosts that lose their paths: they take live servers for ended, whose later ends must still count.
test('merge() counts the end of a server that was taken for ended before, when it has run requests since', () => {
  const { registry, refused } = setUp()
  for (const index of [0, 1, 2]) registry.merge(end(`s${index}`, 1000, { other: 950 }))
  for (const index of [0, 1, 2]) {
    registry.merge(end(`s${index}`, 5000 + index * 300, { fatal: 4930 + index * 300 }))
    // Another host may pass the earlier report on later.
    registry.merge(end(`s${index}`, 1000, { other: 950 }))
  }
  assert.equal(refused, ['fatal'])
  assert.is(registry.endsUnder('other').count, 0)
})

test('refusalOf() ends after its time, and the next end starts one that is twice as long', () => {
  const setup = setUp()
  for (const index of [0, 1, 2]) setup.registry.merge(sequentialEnd(index, ['fatal']))
  const first = setup.registry.refusalOf('fatal')
  setup.time = (first?.until ?? 0) + 1
  assert.is(setup.registry.refusalOf('fatal'), null)
  setup.registry.merge(end('s9', setup.time, { fatal: setup.time - RUN_MS }))
  const second = setup.registry.refusalOf('fatal')
  assert.is((second?.until ?? 0) - (second?.refusedAt ?? 0), 2 * ((first?.until ?? 0) - (first?.refusedAt ?? 0)))
})

test('merge() passes refusals and counts on, when the evidence of one registry is merged into a new one', () => {
  const [first, second] = [setUp(), setUp()]
  for (const index of [0, 1, 2]) first.registry.merge(sequentialEnd(index, ['fatal']))
  for (const index of [3, 4]) first.registry.merge(sequentialEnd(index, ['other']))
  second.registry.merge(first.registry.evidence())
  assert.is(second.registry.refusalOf('fatal')?.until, first.registry.refusalOf('fatal')?.until)
  assert.is(second.registry.endsUnder('other').count, 2)
  assert.equal(second.registry.merge(first.registry.evidence()), NO_EVIDENCE)
})

test('merge() keeps a refusal, when other requests end many servers and are refused, too', () => {
  const { registry } = setUp()
  for (const index of [0, 1, 2]) registry.merge(sequentialEnd(index, ['fatal']))
  for (let index = 3; index < 600; index++) registry.merge(sequentialEnd(index, [`invented-${Math.floor(index / 3)}`]))
  assert.is.not(registry.refusalOf('fatal'), null)
  assert.ok(registry.evidence().ends.length <= 128)
})

test('merge() refuses the fatal request and no other, in whatever order and however often evidence arrives', () => {
  const arbitrarySeed = fc.record({ count: fc.integer({ min: 3, max: 6 }), order: fc.array(fc.integer({ min: 0, max: 1000 }), { minLength: 12, maxLength: 12 }) })
  fc.assert(fc.property(arbitrarySeed, ({ count, order }) => {
    // Each sound request was lost with two of the servers.
    const ends: ServerEnd[] = Array.from({ length: count }, (_, index) => sequentialEnd(index, ['fatal', `sound-${index}`, `sound-${index + 1}`]).ends).flat()
    const messages = order.map((value) => ends[value % ends.length]).concat(ends).flatMap((message) => message ?? [])
    const { registry, refused } = setUp()
    for (const message of messages) registry.merge({ ...NO_EVIDENCE, ends: [message] })
    assert.equal(refused, ['fatal'])
  }), { numRuns: PROPERTY_RUNS })
})

test.run()
