/** Tests of checking and parsing service files. */
import fc from 'fast-check'
import { readdirSync, readFileSync } from 'node:fs'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import { formatFinding } from '../errors/mod.ts'
import { checkFiles } from './check_files.ts'
import { MAXIMUM_FILE_BYTES, parseServiceFile } from './parse_service_file.ts'

const test = suite('checkFiles')
const encode = (text: string): Uint8Array => new TextEncoder().encode(text)
const GOOD = 'name = "fees"\n[match]\npath = "/fees"\n[servers]\nslots = 4\nconnections = 250\nchecks_grants = false\n'

function findingsOf (text: string): string[] {
  return checkFiles([{ name: 'fees.toml', content: encode(text) }]).findings.map(formatFinding)
}

test('checkFiles() accepts every example file', () => {
  for (const folder of ['examples/leiria', 'examples/luzon']) {
    const files = readdirSync(folder).map((name) => ({ name, content: readFileSync(`${folder}/${name}`) }))
    assert.equal(checkFiles(files).findings, [])
  }
})

test('checkFiles() reports file, line and field of every error, when a file has several', () => {
  const text = 'name = "Fees"\n[match]\npath = "fees"\n[servers]\nslots = -4\nconnections = 250\nchecks_grants = false\ncolour = "red"\n'
  const lines = findingsOf(text)
  assert.ok(lines.some((line) => line.startsWith('fees.toml:1: name: ')), lines.join('\n'))
  assert.ok(lines.some((line) => line.startsWith('fees.toml:3: match.path: ')), lines.join('\n'))
  assert.ok(lines.some((line) => line.startsWith('fees.toml:5: servers.slots: ')), lines.join('\n'))
  assert.ok(lines.some((line) => line.startsWith('fees.toml:8: servers.colour: ')), lines.join('\n'))
})

test('checkFiles() returns one finding and no service, when a file is empty, too large, binary or invalid TOML', () => {
  for (const content of [encode(''), new Uint8Array(MAXIMUM_FILE_BYTES + 1).fill(97), new Uint8Array([0xff, 0xfe, 0]), encode('name = ')]) {
    const checked = checkFiles([{ name: 'fees.toml', content }])
    assert.is(checked.findings.length, 1)
    assert.is(checked.services.length, 0)
  }
})

test('checkFiles() finds duplicate names, duplicate matches and too many slots', () => {
  const files = [{ name: 'a.toml', content: encode(GOOD) }, { name: 'b.toml', content: encode(GOOD) }, { name: 'c.toml', content: encode(GOOD.replace('"fees"', '"other"').replace('slots = 4', 'slots = 900')) }]
  const lines = checkFiles(files).findings.map(formatFinding)
  assert.ok(lines.some((line) => line.includes('b.toml: name: The service "fees" is also described by a.toml')))
  assert.ok(lines.some((line) => line.includes('c.toml: match: ')))
  assert.ok(lines.some((line) => line.includes('c.toml: servers.slots: The 900 slots need more than the 250 connections')))
})

test('parseServiceFile() never throws, when a file has arbitrary content', () => {
  const lines = fc.array(fc.constantFrom(...GOOD.split('\n'), '[key]', 'from = "path"', 'slots = 1e400', 'a.b = {}', '[[match]]', 'name = 9223372036854775807'), { maxLength: 12 })
  fc.assert(fc.property(fc.oneof(fc.uint8Array({ maxLength: 200 }), lines.map((parts) => encode(parts.join('\n')))), (content) => {
    const parsed = parseServiceFile({ name: 'fees.toml', content })
    assert.is(parsed.service === null, parsed.findings.length > 0)
  }), propertyParameters(300))
})

test.run()
