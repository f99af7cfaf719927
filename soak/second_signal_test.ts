/** Tests of signals that come in series, with a host as a process. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { withHostProcess } from '../testing/with_host_process.ts'
import { pause } from './environment.ts'
import { createRawCaller } from './raw_caller.ts'

const test = suite('signals in series')

// Guards against requests in progress that end without a response: the second SIGTERM ended the process at once.
test('a host answers the requests in progress, when SIGTERM comes twice', async () => {
  await withHostProcess(async ({ host }) => {
    const caller = createRawCaller({ host: host.ip, port: host.callerPort, onUnaskedBytes: () => {} })
    const outcome = caller.send({ method: 'GET', path: '/orders/slow', headers: { Host: 'soak.example', 'Gooseberryfold-Attempt-Id': 'slow', 'Gooseberryfold-Deadline-Ms': '5000' }, body: null, isChunked: false, partPauseMs: 0, readPauseMs: 0, deadlineMs: 5000 })
    await pause(300)
    host.sendSignal('SIGTERM')
    await pause(500)
    host.sendSignal('SIGTERM')
    const { kind, ...rest } = await outcome
    assert.equal([kind, 'status' in rest ? rest.status : 0], ['complete', 200])
    assert.is(await host.waitForExit(), 0)
    caller.close()
  })
})

test.run()
