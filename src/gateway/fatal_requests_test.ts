/** Tests of requests that end the servers which run them: one caller must not take down one server after another. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { respondWithPath, type BackendHandler } from '../../testing/fake_backend.ts'
import { withGateway, type GatewaySetup } from '../../testing/with_gateway.ts'

const test = suite('fatal requests')

/** Time for which a server runs a fatal request before it ends, in milliseconds. */
const RUN_MS = 60

/** Time between two requests, in milliseconds: a host has found out by then that a server has ended. */
const INTERVAL_MS = 150

/** Path of requests that end their server; other paths are served. */
const FATAL_PATH = 'fatal'

/** Runs a test against servers that end when they run a request to {@link FATAL_PATH}; `countEnded` returns how many have. */
async function withServers (count: number, run: (setup: GatewaySetup, countEnded: () => number) => Promise<void>): Promise<void> {
  const ended = new Set<number>()
  let backends: GatewaySetup['backends'] = []
  const handlers = Array.from({ length: count }, (_, index): BackendHandler => (request, response) => {
    if (!request.path.includes(FATAL_PATH)) return respondWithPath(request, response)
    setTimeout(() => {
      ended.add(index)
      backends[index]?.close().catch(() => {})
    }, RUN_MS)
  })
  await withGateway(handlers, async (setup) => {
    backends = setup.backends
    await run(setup, () => ended.size)
  }, { retries: 100 })
}

async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

for (const [kind, prefix] of [['idempotent', '/lookups/'], ['not idempotent', '/once/']] as const) {
  test(`handle() sends a request to no further server, when three have ended while they ran it and it is ${kind}`, async () => {
    await withServers(9, async ({ call }, countEnded) => {
      const fatal: number[] = []
      const sound: number[] = []
      for (let attempt = 0; attempt < 8; attempt++) {
        fatal.push((await call(`${prefix}${FATAL_PATH}`, { id: `fatal-${attempt}`, method: 'POST', body: 'cast' })).status)
        await pause(INTERVAL_MS)
        sound.push((await call(`${prefix}sound`, { id: `sound-${attempt}` })).status)
      }
      assert.is(countEnded(), 3)
      assert.is(fatal.at(-1), 503)
      assert.equal(new Set(sound), new Set([200]))
    })
  })
}

test.run()
