/** Tests of the soak's own processes: a run always knows the one that listens. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createHosts } from './hosts.ts'

const test = suite('createHosts')

test('start() leaves the process that runs alone, when faults in a series ask for two starts', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'soak-hosts-'))
  const program = join(folder, 'program.mjs')
  // As an entry host does, it ends when its address is in use.
  writeFileSync(program, "import { createServer } from 'node:net'\ncreateServer().listen(20300, '127.0.252.1')\n")
  const [host] = await createHosts({ count: 1, zones: ['a'], storeHost: '127.0.252.250', storePort: 20339, basePort: 20300, network: 252, folder, program })
  if (host === undefined) return assert.unreachable()
  try {
    await new Promise((resolve) => { setTimeout(resolve, 400) })
    host.start()
    await new Promise((resolve) => { setTimeout(resolve, 400) })
    assert.ok(host.isRunning())
  } finally {
    await host.stop()
    rmSync(folder, { recursive: true, force: true })
  }
})

test.run()
