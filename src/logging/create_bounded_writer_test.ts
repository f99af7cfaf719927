/** Tests of the bounded writer, with readers that stop reading. */
import { Writable } from 'node:stream'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createBoundedWriter } from './create_bounded_writer.ts'

const test = suite('createBoundedWriter')

test('createBoundedWriter() buffers a limited number of bytes and reports the number of dropped lines, when the reader stops for a while', () => {
  const written: string[] = []
  let callbacks: Array<() => void> = []
  const stream = new Writable({
    write (chunk: Buffer, _encoding, done) {
      written.push(chunk.toString())
      callbacks.push(done)
    }
  })
  const write = createBoundedWriter(stream)
  const line = `${'x'.repeat(1023)}\n`
  for (let count = 0; count < 5000; count++) write(line)
  assert.ok(stream.writableLength < 1.1 * 1024 * 1024)
  while (stream.writableLength > 0) {
    const pending = callbacks
    callbacks = []
    for (const done of pending) done()
  }
  write('last\n')
  assert.ok(written.concat().length > 1000)
  for (const done of callbacks) done()
  assert.match(written.join(''), /event=lines-left-out count=\d+/)
})

test.run()
