/** Runs the soak test from the command line: `npm run soak -- --seeds 50 --from 1 --at-once 2`. */
import meow from 'meow'
import { runExchanges } from './run_exchanges.ts'
import { runSoak, type SoakOptions, type SoakResult } from './run_soak.ts'

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
    --program  Program that the hosts run. Default: ${PROGRAM_PATH}
    --earlier  Program of an earlier build, which every other host runs at first. Default: none
    --at-once  Number of simultaneous runs. Default: 1
    --play     "faults", "exchanges" (long bodies and repeats) or "all". Default: all
`, {
  importMeta: import.meta,
  flags: {
    seeds: { type: 'number', default: 1 }, from: { type: 'number' }, hosts: { type: 'number', default: 6 }, seconds: { type: 'number', default: 20 }, program: { type: 'string', default: PROGRAM_PATH }, earlier: { type: 'string' }, play: { type: 'string', default: 'all', choices: ['faults', 'exchanges', 'all'] }, atOnce: { type: 'number', default: 1 }
  }
})

const firstSeed = cli.flags.from ?? Math.floor(Date.now() / 1000) % 1_000_000
let nextSeed = firstSeed
let failedSeeds = 0

async function runSeeds (): Promise<void> {
  while (nextSeed < firstSeed + cli.flags.seeds) {
    const seed = nextSeed++
    const options = { seed, hosts: cli.flags.hosts, faultMs: cli.flags.seconds * 1000, program: cli.flags.program, ...(cli.flags.earlier === undefined ? {} : { earlierProgram: cli.flags.earlier }) }
    const failures = [...cli.flags.play === 'exchanges' ? [] : await runFaults(options), ...cli.flags.play === 'faults' ? [] : await runExchangesOnce(options)]
    if (failures.length > 0) failedSeeds++
  }
}

async function runFaults (options: SoakOptions): Promise<readonly string[]> {
  const { counts, ...result } = await runSoak(options)
  report(`seed ${options.seed}`, `${counts.sent} sent, ${counts.served} served, ${counts.refused} refused, ${counts.left} left, ${counts.other} other`, result)
  return result.failures
}

async function runExchangesOnce (options: SoakOptions): Promise<readonly string[]> {
  const { counts, closestWindows, ...result } = await runExchanges(options)
  report(`seed ${options.seed}, exchanges`, `${counts.sent} sent, ${counts.served} served, ${counts.refused} refused, ${counts.other} other, ${counts.untellable} untellable`, result)
  for (const text of closestWindows) console.log(`  ${text}`)
  return result.failures
}

function report (name: string, counts: string, { failures, faults, folder }: Pick<SoakResult, 'failures' | 'faults' | 'folder'>): void {
  console.log(`${name}: ${failures.length === 0 ? 'held' : 'BROKEN'}; ${counts}; ${faults.length} faults; ${folder}`)
  if (failures.length > 0) for (const line of [...faults, ...failures]) console.log(`  ${line}`)
}

await Promise.all(Array.from({ length: cli.flags.atOnce }, runSeeds))
console.log(`${cli.flags.seeds - failedSeeds} seeds held, ${failedSeeds} broken`)
process.exit(failedSeeds === 0 ? 0 : 1)
