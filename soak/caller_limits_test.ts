/** Tests of a host process with the memory of the smallest machine, against callers that are outside of our control. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SMALLEST_MACHINE_MB, withHostProcess, type CrowdOptions } from '../testing/with_host_process.ts'
import { HOST_DESCRIPTORS } from './hosts.ts'

const test = suite('callers outside our control')

const MEGABYTE = 1024 * 1024

/** Fails if the process ends, holds more than its machine has, or serves nothing after the crowd has sent what it could. */
async function expectBounded (crowd: CrowdOptions): Promise<void> {
  await withHostProcess(async (setup) => {
    await setup.crowd(crowd)
    const status = await setup.requestOnce()
    assert.ok(setup.host.isRunning(), 'the process has ended')
    const peakMb = Math.round(setup.host.peakMemoryBytes() / MEGABYTE)
    assert.ok(peakMb <= SMALLEST_MACHINE_MB, `the process has held ${peakMb} MB`)
    assert.ok(setup.peakDescriptors() <= HOST_DESCRIPTORS, `${setup.peakDescriptors()} descriptors were open`)
    assert.is(status, 200)
  })
}

const CHUNKED_HEAD = 'POST /crowd/1 HTTP/1.1\r\nHost: soak.example\r\nTransfer-Encoding: chunked\r\n\r\n'

/** Head of a request, and the same part a number of times. */
function * repeat (head: string, part: Buffer, count: number): Iterable<Buffer> {
  if (head !== '') yield Buffer.from(head)
  for (let index = 0; index < count; index++) yield part
}

// Guards against a cost per chunk that the bytes of a body do not show: 20 such callers ended hosts of 272 MB.
test('a host stays within its memory, when 20 callers send bodies in one-byte chunks and stop short of the end', async () => {
  const thousandChunks = Buffer.from('1\r\nx\r\n'.repeat(1000))
  await expectBounded({ connections: 20, parts: () => repeat(CHUNKED_HEAD, thousandChunks, 150) })
})

// Guards against read-ahead and buffers of each connection that no common bound covers: 600 such callers took 484 MB.
test('a host stays within its memory, when 600 callers send bodies of 4 MB in large chunks and stop short of the end', async () => {
  const size = 256 * 1024
  const chunk = Buffer.from(`${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`)
  await expectBounded({ connections: 600, parts: () => repeat(CHUNKED_HEAD, chunk, 16) })
})

// Guards against requests that cost far more than their bytes while they wait behind unread responses: 20 such callers reached the heap limit.
test('a host stays within its memory, when 20 callers send 20,000 requests each ahead and read no response', async () => {
  const hundredRequests = Buffer.from('GET /crowd/1 HTTP/1.1\r\nHost: soak.example\r\n\r\n'.repeat(100))
  await expectBounded({ connections: 20, parts: () => repeat('', hundredRequests, 200), isReading: false })
})

// Guards against heads that are not complete: short header lines take many times their bytes, and nothing answers them.
test('a host stays within its memory, when 2,000 callers send a head of short lines and stop short of its end', async () => {
  const lines = Buffer.from('a:\r\n'.repeat(1900))
  await expectBounded({ connections: 2000, parts: () => repeat('GET /crowd/1 HTTP/1.1\r\nHost: soak.example\r\n', lines, 1) })
})

// Guards against a listener without limits: relays get bodies from other hosts.
test('a host stays within its memory, when 20 connections of other hosts bring bodies in one-byte chunks and stop short of the end', async () => {
  const thousandChunks = Buffer.from('1\r\nx\r\n'.repeat(1000))
  const head = 'POST /crowd/1 HTTP/1.1\r\nHost: x\r\nGooseberryfold-Target-Instance: i-crowd\r\nGooseberryfold-Attempt-Id: r\r\nGooseberryfold-Deadline-Ms: 15000\r\nTransfer-Encoding: chunked\r\n\r\n'
  await expectBounded({ connections: 20, isHost: true, parts: () => repeat(head, thousandChunks, 150) })
})

test.run()
