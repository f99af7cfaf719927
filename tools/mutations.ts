/**
 * Applies one mutation of the decision code at a time, in a copy of the sources,
 * and runs the tests that should fail. Prints which mutations were caught.
 */
import { spawnSync } from 'node:child_process'
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { MUTATIONS, type Mutation } from './_mutation_list.ts'

const COPIED = ['src', 'testing', 'traces', 'standins', 'package.json', 'tsconfig.json']

/** Runs of each property test when `PROPERTY_RUNS` is not set. */
const DEFAULT_RUNS = '300'

interface MutationResult { readonly mutation: Mutation, readonly isCaught: boolean, readonly details: string }

function runMutation (mutation: Mutation): MutationResult {
  const folder = mkdtempSync(join(tmpdir(), 'mutation-'))
  try {
    for (const name of COPIED) cpSync(name, join(folder, name), { recursive: true })
    symlinkSync(join(process.cwd(), 'node_modules'), join(folder, 'node_modules'))
    const path = join(folder, mutation.file)
    const source = readFileSync(path, 'utf8')
    if (!source.includes(mutation.find)) return { mutation, isCaught: false, details: 'the text to replace was not found' }
    writeFileSync(path, source.replace(mutation.find, mutation.replace))
    const run = spawnSync(process.execPath, ['--import', 'tsx', mutation.test], {
      cwd: folder, encoding: 'utf8', env: { ...process.env, FORCE_COLOR: '0', PROPERTY_RUNS: process.env.PROPERTY_RUNS ?? DEFAULT_RUNS }
    })
    const output = `${run.stdout}${run.stderr}`
    const failed = [...output.matchAll(/FAIL\s+.*?"(.*)"/g)].map((match) => match[1])
    const example = /Counterexample: (.*)/.exec(output)?.[1] ?? ''
    return { mutation, isCaught: failed.length > 0, details: `${failed.join('; ')} ${example.slice(0, 300)}` }
  } finally {
    rmSync(folder, { recursive: true })
  }
}

const nameFilter = process.argv[2]
let missed = 0
for (const mutation of MUTATIONS.filter((candidate) => nameFilter === undefined || candidate.name.includes(nameFilter))) {
  const result = runMutation(mutation)
  if (!result.isCaught) missed++
  console.log(`${result.isCaught ? 'caught' : 'MISSED'}  ${mutation.name}\n        ${result.details}`)
}
console.log(`${missed} missed`)
process.exit(missed === 0 ? 0 : 1)
