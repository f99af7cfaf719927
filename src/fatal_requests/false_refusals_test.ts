/**
 * Simulates a service whose servers end: under a fatal request, or for causes
 * of their own. Guards against both faults of attribution: a fatal request that
 * goes on, and a sound request that is refused for what another one has done.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { NO_EVIDENCE, type Completion } from './evidence.ts'
import { createFatalRequestRegistry } from './fatal_request_registry.ts'
import type { ServerEnd } from './server_end.ts'

const test = suite('false refusals')

const RUNS = Number(process.env.PROPERTY_RUNS ?? 60)

const SERVERS = 12
const STEP_MS = 5
const DURATION_MS = 20_000

/** Time until evidence of one host has reached all, and the most by which hosts notice the end of a server later, in milliseconds. */
const DELIVERY_MS = 60
const NOTICE_MS = 25

/** Time after which another run of a server starts, in milliseconds. */
const RESTART_MS = 3500

interface Situation {
  readonly name: string
  /** Time between two fatal requests, in milliseconds; `Infinity` if there are none. */
  readonly fatalEveryMs: number
  /** Sound requests a second, and the number of different ones; few different ones are lost with many servers. */
  readonly perSecond: number
  readonly different: number
  /** Ends servers for other causes: the number of servers that end at a time. */
  readonly endsAt: (time: number) => number
  /** Number of times that a request is sent again by the router and its caller. */
  readonly retries: number
  /** Number of servers that may end under the fatal request. */
  readonly maximumFatalEnds: number
}

interface Run { readonly fingerprint: string, readonly server: number, readonly sentAt: number, readonly endsAt: number, readonly retries: number }

interface Outcome { readonly fatalEnds: number, readonly wronglyRefused: readonly string[], readonly isFatalRefused: boolean }

function simulate (situation: Situation, seed: number): Outcome {
  const generator = xoroshiro128plus(seed)
  const random = (): number => uniformInt(generator, 0, 2 ** 30) / 2 ** 30
  let time = 0
  const wronglyRefused = new Set<string>()
  const registry = createFatalRequestRegistry({ now: () => time, onRefused ({ fingerprint }) { if (fingerprint !== 'fatal') wronglyRefused.add(fingerprint) } })
  const upAt = Array.from({ length: SERVERS }, () => 0)
  const bornAt = Array.from({ length: SERVERS }, () => 1)
  let runs: Run[] = []
  const deliveries: Array<{ readonly at: number, readonly deliver: () => void }> = []
  const unpublished = new Map<string, Completion>()
  let fatalEnds = 0

  function start (fingerprint: string, retries: number): void {
    if (registry.refusalOf(fingerprint) !== null) return
    const up = upAt.flatMap((at, server) => at <= time ? [server] : [])
    const server = up[Math.floor(random() * up.length)]
    if (server !== undefined) runs.push({ fingerprint, server, sentAt: time, endsAt: time + (fingerprint === 'fatal' ? 70 : 40 + random() * 160), retries })
  }

  function publish (completion: Completion): void {
    deliveries.push({ at: time + DELIVERY_MS, deliver: () => { registry.merge({ ...NO_EVIDENCE, completions: [completion] }) } })
  }

  /** Hosts pass a completion on when its request is lost with another server. */
  function deliverEnd (end: ServerEnd): void {
    registry.merge({ ...NO_EVIDENCE, ends: [end] })
    for (const { fingerprint } of end.requests) {
      const completion = unpublished.get(fingerprint)
      if (completion !== undefined) publish(completion)
      unpublished.delete(fingerprint)
    }
  }

  function endServer (server: number): void {
    const lost = runs.filter((run) => run.server === server)
    runs = runs.filter((run) => run.server !== server)
    const end = { server: `s${server}`, bornAt: bornAt[server] ?? 1, endedAt: time + random() * NOTICE_MS, requests: lost.map(({ fingerprint, sentAt }) => ({ fingerprint, sentAt })) }
    if (lost.length > 0) deliveries.push({ at: time + DELIVERY_MS, deliver: () => { deliverEnd(end) } })
    upAt[server] = time + RESTART_MS
    bornAt[server] = (bornAt[server] ?? 1) + 1
    for (const { fingerprint, retries } of lost) {
      // The router sends it again at once, the caller some time later.
      // The caller of the fatal request sends it at its own pace; two at once would end two servers before anyone could know.
      if (retries > 0 && registry.endsUnder(fingerprint).count === 0) deliveries.push({ at: time + (fingerprint === 'fatal' || random() < 0.5 ? NOTICE_MS : 300), deliver: () => { start(fingerprint, retries - 1) } })
    }
  }

  for (; time < DURATION_MS; time += STEP_MS) {
    for (const delivery of deliveries.filter(({ at }) => at <= time)) {
      deliveries.splice(deliveries.indexOf(delivery), 1)
      delivery.deliver()
    }
    for (const run of runs.filter(({ endsAt }) => endsAt <= time)) {
      if (!runs.includes(run)) continue
      if (run.fingerprint === 'fatal') {
        fatalEnds++
        endServer(run.server)
      } else {
        runs.splice(runs.indexOf(run), 1)
        const completion = { fingerprint: run.fingerprint, at: time }
        if (registry.isWatched(run.fingerprint)) publish(completion)
        else if (registry.endsUnder(run.fingerprint).count > 0) unpublished.set(run.fingerprint, completion)
      }
    }
    const up = upAt.flatMap((at, server) => at <= time ? [server] : [])
    for (let count = situation.endsAt(time); count > 0 && up.length > 0; count--) endServer(up.splice(Math.floor(random() * up.length), 1)[0] ?? 0)
    if (random() < situation.perSecond * STEP_MS / 1000) start(`sound-${Math.floor(random() ** 2 * situation.different)}`, situation.retries)
    if (situation.fatalEveryMs !== Infinity && time % situation.fatalEveryMs < STEP_MS) start('fatal', 1)
  }
  return { fatalEnds, wronglyRefused: [...wronglyRefused], isFatalRefused: registry.refusalOf('fatal') !== null }
}

const none = (): number => 0

const SITUATIONS: readonly Situation[] = [
  { name: 'a fatal request comes often', fatalEveryMs: 350, perSecond: 120, different: 5000, endsAt: none, retries: 2, maximumFatalEnds: 3 },
  { name: 'a fatal request comes seldom', fatalEveryMs: 3400, perSecond: 120, different: 5000, endsAt: none, retries: 2, maximumFatalEnds: 3 },
  { name: 'a fatal request comes beside few different ones', fatalEveryMs: 350, perSecond: 120, different: 10, endsAt: none, retries: 2, maximumFatalEnds: 3 },
  // Five ends settle it whatever else happens.
  { name: 'a fatal request comes while other servers end by themselves', fatalEveryMs: 700, perSecond: 120, different: 5000, endsAt: (time) => time % 1500 === 0 ? 1 : 0, retries: 2, maximumFatalEnds: 5 },
  { name: 'one server after another ends by itself', fatalEveryMs: Infinity, perSecond: 120, different: 5000, endsAt: (time) => time % 600 === 0 ? 1 : 0, retries: 3, maximumFatalEnds: 0 },
  { name: 'one server after another ends by itself beside few different requests', fatalEveryMs: Infinity, perSecond: 120, different: 10, endsAt: (time) => time % 600 === 0 ? 1 : 0, retries: 3, maximumFatalEnds: 0 },
  { name: 'half of the servers end at once, again and again', fatalEveryMs: Infinity, perSecond: 300, different: 50, endsAt: (time) => time % 4000 === 0 ? SERVERS / 2 : 0, retries: 3, maximumFatalEnds: 0 },
  { name: 'all servers end within a second', fatalEveryMs: Infinity, perSecond: 300, different: 5000, endsAt: (time) => time % 5000 < 1200 && time % 100 === 0 ? 1 : 0, retries: 3, maximumFatalEnds: 0 }
]

for (const situation of SITUATIONS) {
  test(`merge() refuses no sound request${situation.fatalEveryMs === Infinity ? '' : ', and the fatal one after few ends'}, when ${situation.name}`, () => {
    const outcomes = Array.from({ length: RUNS }, (_, seed) => simulate(situation, seed + 1))
    assert.equal(outcomes.flatMap(({ wronglyRefused }) => wronglyRefused), [])
    if (situation.fatalEveryMs === Infinity) return
    assert.ok(outcomes.every(({ isFatalRefused }) => isFatalRefused))
    assert.ok(outcomes.every(({ fatalEnds }) => fatalEnds <= situation.maximumFatalEnds), `${Math.max(...outcomes.map(({ fatalEnds }) => fatalEnds))} servers have ended`)
  })
}

test.run()
