/**
 * Lists the arrivals beyond the first of each request to a service, and what
 * paid for each, from the logs of all hosts; it reads files only:
 * `node --import tsx tools/list_repeats.ts --service orders host-1.log host-2.log`.
 */
import { readFileSync } from 'node:fs'
import { basename } from 'node:path'
import meow from 'meow'
import { findRepeats, worstWindow, type LoggedAttempt } from './_repeats.ts'

const cli = meow(`
  Usage
    $ node --import tsx tools/list_repeats.ts --service NAME [flags] LOG...

  Flags
    --service  Service that the requests are for
    --from     Begin of the window, as in the lines: 2026-01-31T12:00:00.000Z. Default: the first line
    --to       End of the window. Default: the last line
    --seconds  Length of the window in which most repeats are counted. Default: 10
`, {
  importMeta: import.meta,
  flags: { service: { type: 'string', isRequired: true }, from: { type: 'string' }, to: { type: 'string' }, seconds: { type: 'number', default: 10 } }
})

function describe ({ server, outcome, reach, cost, relay }: LoggedAttempt): string {
  return `${server}:${outcome}${relay === undefined ? '' : `:via=${relay}`}:reach=${reach}:cost=${cost ?? ''}`
}

function timeOf (text: string | undefined, otherwiseMs: number): number {
  const timeMs = text === undefined ? otherwiseMs : Date.parse(text)
  if (!Number.isNaN(timeMs)) return timeMs
  console.error(`${text ?? ''} is not a time`)
  process.exit(2)
}

const logs = new Map(cli.input.map((path) => [basename(path, '.log'), readFileSync(path, 'utf8').split('\n')]))
const { repeats, droppedLines } = findRepeats(logs, { service: cli.flags.service, fromMs: timeOf(cli.flags.from, -Infinity), toMs: timeOf(cli.flags.to, Infinity) })
for (const { atMs, host, request, earlier, attempt } of repeats) {
  console.log(`${new Date(atMs).toISOString()} ${host} request=${request} ${describe(attempt)} after ${earlier.map(describe).join(',')}`)
}
const counts = new Map<string, number>()
for (const { attempt } of repeats) {
  const group = `cost=${attempt.cost ?? ''} reach=${attempt.reach}`
  counts.set(group, (counts.get(group) ?? 0) + 1)
}
const worst = worstWindow(repeats, cli.flags.seconds * 1000)
console.log(`${repeats.length} repeats${[...counts].map(([group, count]) => `; ${count} ${group}`).join('')}`)
if (worst.count > 0) console.log(`${worst.count} in the ${cli.flags.seconds} s from ${new Date(worst.fromMs).toISOString()}`)
if (droppedLines > 0) console.log(`${droppedLines} lines were left out by hosts: the list is not complete; see gooseberryfold_attempt_reach_total`)
