/** Runs the soak from the command line: `npm run soak -- --seeds 50 --from 1 --at-once 2`. */
import meow from 'meow'
import { runSoak } from './run_soak.ts'

/** Bundle of the program that the platform runs. */
const PROGRAM = 'target/gooseberryfold.mjs'

const cli = meow(`
  Usage
    $ npm run soak -- [flags]

  Flags
    --seeds    Number of seeds that are run. Default: 1
    --from     First seed. Default: drawn from the time
    --hosts    Entry hosts of a run. Default: 6
    --seconds  Length of the time with faults. Default: 20
    --at-once  Runs at the same time. Default: 1
`, {
  importMeta: import.meta,
  flags: {
    seeds: { type: 'number', default: 1 }, from: { type: 'number' }, hosts: { type: 'number', default: 6 }, seconds: { type: 'number', default: 20 }, atOnce: { type: 'number', default: 1 }
  }
})

const first = cli.flags.from ?? Math.floor(Date.now() / 1000) % 1_000_000
let next = first
let failed = 0

async function work (): Promise<void> {
  while (next < first + cli.flags.seeds) {
    const seed = next++
    const result = await runSoak({ seed, hosts: cli.flags.hosts, faultMs: cli.flags.seconds * 1000, program: PROGRAM })
    const { counts } = result
    console.log(`seed ${seed}: ${result.failures.length === 0 ? 'held' : 'BROKEN'}; ${counts.sent} sent, ${counts.served} served, ${counts.refused} refused, ${counts.other} other; ${result.faults.length} faults; ${result.folder}`)
    if (result.failures.length === 0) continue
    failed++
    for (const line of [...result.faults, ...result.failures]) console.log(`  ${line}`)
  }
}

await Promise.all(Array.from({ length: cli.flags.atOnce }, work))
console.log(`${cli.flags.seeds - failed} seeds held, ${failed} broken`)
process.exit(failed === 0 ? 0 : 1)
