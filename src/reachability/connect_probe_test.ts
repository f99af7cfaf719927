/** Tests of probing an address with a connection. */
import { createServer, type AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createConnectProbe, ProbeResult } from './connect_probe.ts'

const test = suite('createConnectProbe')

test('createConnectProbe() shows whether an address accepts connections, and sends nothing', async () => {
  let received = 0
  const server = createServer((socket) => { socket.on('data', () => { received++ }) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const probe = createConnectProbe(500)
  assert.is(await probe(address), ProbeResult.connected)
  await new Promise((resolve) => { server.close(resolve) })
  assert.is(await probe(address), ProbeResult.refused)
  assert.is(received, 0)
})

test('createConnectProbe() counts a connection that was established in time, when this process had no processor time meanwhile', async () => {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const result = createConnectProbe(50)(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  for (const until = performance.now() + 150; performance.now() < until;);
  const outcome = await result
  server.close()
  assert.is(outcome, ProbeResult.connected)
})

test('createConnectProbe() counts an address as refused, when its port is out of range', async () => {
  for (const address of ['127.0.0.1:99999', '127.0.0.1:0', '127.0.0.1:x', '127.0.0.1']) assert.is(await createConnectProbe(100)(address), ProbeResult.refused)
})

test.run()
