/**
 * Runs the tests and prints the counts. Failures listed in KNOWN-RED.txt are
 * printed and do not fail the run; any other failure does, and so does a
 * listed test that passes.
 */
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'

const KNOWN_RED_FILE = 'KNOWN-RED.txt'

/** Matches terminal control sequences, such as colours. */
// eslint-disable-next-line no-control-regex
const CONTROL_SEQUENCE = /\u001b\[[0-9;]*m/g

/** Reads the names of tests that are known to fail: the text in double quotes after `test:`. */
function readKnownRed (): string[] {
  if (!existsSync(KNOWN_RED_FILE)) return []
  return [...readFileSync(KNOWN_RED_FILE, 'utf8').matchAll(/^test: "(.*)"$/gm)].map((match) => match[1] ?? '')
}

const run = spawnSync(process.execPath, ['--import', 'tsx', 'node_modules/uvu/bin.js', '.', '_test\\.ts$', '-i', 'node_modules', '-i', 'dist'], {
  encoding: 'utf8', maxBuffer: 64 * 1024 * 1024, env: { ...process.env, FORCE_COLOR: '0' }
})
const output = `${run.stdout}${run.stderr}`.replace(CONTROL_SEQUENCE, '')
process.stdout.write(output)

const total = Number(/Total:\s+(\d+)/.exec(output)?.[1] ?? 0)
const passed = Number(/Passed:\s+(\d+)/.exec(output)?.[1] ?? 0)
const failedNames = [...output.matchAll(/FAIL\s+.*?"(.*)"/g)].map((match) => match[1] ?? '')
const knownRed = readKnownRed()
const unexpectedFailures = failedNames.filter((name) => !knownRed.includes(name))
const unexpectedlyPassed = knownRed.filter((name) => !failedNames.includes(name))
for (const name of knownRed) console.log(`known red: ${name}`)
for (const name of unexpectedlyPassed) console.log(`listed in ${KNOWN_RED_FILE} but passing: ${name}`)

const failed = total - passed
const isGreen = total > 0 && failed === failedNames.length && unexpectedFailures.length === 0 && unexpectedlyPassed.length === 0 &&
  (run.status === 0 || failed > 0)
console.log(`${passed} passed, ${failed} failed`)
process.exit(isGreen ? 0 : 1)
