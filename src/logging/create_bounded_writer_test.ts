/** Tests of the writer of lines, with readers that stop reading. */
import { Writable } from 'node:stream'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createBoundedWriter } from './create_bounded_writer.ts'

const test = suite('createBoundedWriter')

test('createBoundedWriter() keeps a bounded number of bytes and says what it left out, when nobody reads for a while', () => {
  const written: string[] = []
  let release: Array<() => void> = []
  const stream = new Writable({
    write (chunk: Buffer, _encoding, done) {
      written.push(chunk.toString())
      release.push(done)
    }
  })
  const write = createBoundedWriter(stream)
  const line = `${'x'.repeat(1023)}\n`
  for (let count = 0; count < 5000; count++) write(line)
  assert.ok(stream.writableLength < 1.1 * 1024 * 1024)
  while (stream.writableLength > 0) {
    const due = release
    release = []
    for (const done of due) done()
  }
  write('last\n')
  assert.ok(written.concat().length > 1000)
  for (const done of release) done()
  assert.match(written.join(''), /event=lines-left-out count=\d+/)
})

test.run()
