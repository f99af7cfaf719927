/** Runs the soak test from the command line: `npm run soak -- --seeds 50 --from 1 --at-once 2`. */
import meow from 'meow'
import { runSoak } from './run_soak.ts'

/** Path of the bundled program, the same that the platform runs. */
const PROGRAM_PATH = 'target/gooseberryfold.cjs'

const cli = meow(`
  Usage
    $ npm run soak -- [flags]

  Flags
    --seeds    Number of seeds to run. Default: 1
    --from     First seed. Default: derived from the current time
    --hosts    Number of entry hosts. Default: 6
    --seconds  Duration of the phase with faults. Default: 20
    --earlier  Program of an earlier build, which every other host runs at first. Default: none
    --at-once  Number of simultaneous runs. Default: 1
`, {
  importMeta: import.meta,
  flags: {
    seeds: { type: 'number', default: 1 }, from: { type: 'number' }, hosts: { type: 'number', default: 6 }, seconds: { type: 'number', default: 20 }, earlier: { type: 'string' }, atOnce: { type: 'number', default: 1 }
  }
})

const firstSeed = cli.flags.from ?? Math.floor(Date.now() / 1000) % 1_000_000
let nextSeed = firstSeed
let failedSeeds = 0

async function runSeeds (): Promise<void> {
  while (nextSeed < firstSeed + cli.flags.seeds) {
    const seed = nextSeed++
    const result = await runSoak({ seed, hosts: cli.flags.hosts, faultMs: cli.flags.seconds * 1000, program: PROGRAM_PATH, ...(cli.flags.earlier === undefined ? {} : { earlierProgram: cli.flags.earlier }) })
    const { counts } = result
    console.log(`seed ${seed}: ${result.failures.length === 0 ? 'held' : 'BROKEN'}; ${counts.sent} sent, ${counts.served} served, ${counts.refused} refused, ${counts.left} left, ${counts.other} other; ${result.faults.length} faults; ${result.folder}`)
    if (result.failures.length === 0) continue
    failedSeeds++
    for (const line of [...result.faults, ...result.failures]) console.log(`  ${line}`)
  }
}

await Promise.all(Array.from({ length: cli.flags.atOnce }, runSeeds))
console.log(`${cli.flags.seeds - failedSeeds} seeds held, ${failedSeeds} broken`)
process.exit(failedSeeds === 0 ? 0 : 1)
