/** Tests of an entry host over its real listeners, with stand-ins in this process. */
import { randomUUID } from 'node:crypto'
import { connect } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import type { FastifyInstance } from 'fastify'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { request } from 'undici'
import { createBackendServer, type BackendServer } from '../../standins/backend_server.ts'
import { createPlatform } from '../../standins/platform.ts'
import { publish, serviceSchema } from '../configuration/mod.ts'
import { createLogger } from '../logging/mod.ts'
import { createPlatformClient } from '../platform_client/mod.ts'
import { readSettings, daemonSettings, type DaemonSettings } from '../settings/mod.ts'
import { createHost, type Host } from './create_host.ts'

const test = suite('createHost')
const CALLER = '127.0.0.1:16180'
const PEER = '127.0.0.1:16171'
const OPERATOR = '127.0.0.1:16172'
const SHUTDOWN_MS = 200
let platform: FastifyInstance
let host: Host
const backends: BackendServer[] = []
const output: string[] = []

function settings (url: string): DaemonSettings {
  const read = readSettings(daemonSettings, {
    flags: { callerListen: CALLER, peerListen: PEER, operatorListen: OPERATOR, zone: 'zone-1', platform: url, peerSecret: 'a-secret-for-this-test', bodyBytes: '1000000', shutdownTimeoutMs: String(SHUTDOWN_MS) },
    environment: {}
  })
  if (read.kind === 'findings') throw new Error(JSON.stringify(read.findings))
  return read.values
}

async function call (path: string, options: Parameters<typeof request>[1] = {}): Promise<{ readonly status: number, readonly headers: Record<string, unknown>, readonly body: Record<string, unknown> }> {
  const response = await request(`http://${CALLER}${path}`, options)
  const text = await response.body.text()
  return { status: response.statusCode, headers: response.headers, body: text === '' ? {} : JSON.parse(text) }
}

async function waitForService (): Promise<void> {
  for (let tries = 0; tries < 200; tries++) {
    const answer = await call('/keys/probe').catch(() => null)
    if (answer?.status === 200) return
    await delay(50)
  }
  throw new Error('The host did not begin to serve')
}

test.before(async () => {
  platform = createPlatform({ lagMs: 0 })
  const url = await platform.listen({ host: '127.0.0.1', port: 0 })
  const servers = []
  for (const id of ['keys-1', 'keys-2']) {
    const backend = createBackendServer({ id, behaviour: { workMs: 1, cutOn: 'cut-me' }, crash: () => {} })
    await new Promise<void>((resolve) => { backend.server.listen(0, '127.0.0.1', resolve) })
    const address = backend.server.address()
    servers.push({ id, service: 'keys', address: `127.0.0.1:${typeof address === 'object' ? address?.port : 0}`, zone: 'zone-1', state: 'live' })
    backends.push(backend)
  }
  await platform.inject({ method: 'POST', url: '/standin/hosts', payload: { hosts: [{ host: PEER, zone: 'zone-1', state: 'live' }], servers } })
  const client = createPlatformClient({ url })
  await publish({ table: client.table, objects: client.objects }, {
    attemptId: randomUUID(),
    services: [serviceSchema.parse({
      name: 'keys', match: { path: '/keys' }, key: { from: 'path', slices: 16 }, servers: { slots: 6, connections: 20, checks_grants: true }
    })]
  })
  await client.close()
  host = await createHost(settings(url), createLogger({ name: 'test', level: 'info', write: (line) => { output.push(line) } }))
  await waitForService()
})

test.after(async () => {
  for (const backend of backends) {
    backend.server.closeAllConnections()
    backend.server.close()
  }
  await platform.close()
})

test('a host answers with the whole answer of the owner, and always of the same one', async () => {
  const answers = await Promise.all(Array.from({ length: 20 }, async () => await call('/keys/ammonite')))
  assert.ok(answers.every((answer) => answer.status === 200 && answer.body.path === '/keys/ammonite'))
  assert.is(new Set(answers.map((answer) => answer.body.server)).size, 1)
})

test('a host says not-run with a problem document, when no service matches or no key is named', async () => {
  const none = await call('/elsewhere')
  assert.is(none.status, 404)
  assert.is(none.body.outcome, 'not-run')
  assert.is(none.headers['content-type'], 'application/problem+json')
  assert.is((await call('/keys')).body.reason, 'no-key')
})

test('a host passes on no header that the system itself uses, when a caller sends one', async () => {
  const id = randomUUID()
  const answer = await call('/keys/smuggler', { headers: { 'x-request-id': id, 'gooseberryfold-token': '99', 'gooseberryfold-slice': '3' } })
  assert.is(answer.status, 200)
  const record = backends.flatMap((backend) => backend.records).find((candidate) => candidate.id === id)
  assert.is.not(record?.token, '99')
})

test('a host streams a body that is larger than it holds in memory, and refuses one that is too large as not run', async () => {
  const body = Buffer.alloc(400_000, 1)
  assert.is((await call('/keys/scan', { method: 'PUT', body })).body.received, body.length)
  const refused = await call('/keys/scan', { method: 'PUT', body: Buffer.alloc(1_000_001) })
  assert.is(refused.status, 413)
  assert.is(refused.body.outcome, 'not-run')
})

test('a host never passes an answer that was cut short off as complete', async () => {
  let isWhole = true
  try {
    await call('/keys/cut-me')
  } catch {
    isWhole = false
  }
  assert.not(isWhole)
})

test('the peers\' listener refuses whoever does not know the secret', async () => {
  for (const path of ['/dispatch/keys/ammonite', '/control/view', '/alive']) {
    const response = await request(`http://${PEER}${path}`)
    await response.body.dump()
    assert.is(response.statusCode, 403)
  }
})

test('a host refuses two lengths in one request, so that none can be smuggled', async () => {
  const socket = connect(16180, '127.0.0.1')
  socket.write('POST /keys/a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /keys/b HTTP/1.1\r\nHost: h\r\n\r\n')
  const text = await new Promise<string>((resolve) => {
    let received = ''
    socket.on('data', (chunk) => { received += chunk.toString() })
    socket.on('close', () => { resolve(received) })
  })
  assert.match(text, /^HTTP\/1\.1 400/)
})

test('a host shows its state, its metrics and the place of a key to operators', async () => {
  const dump = await (await request(`http://${OPERATOR}/dump`)).body.json() as { view: { durable: boolean }, leadership: { role: string } }
  assert.is(dump.leadership.role, 'leader')
  assert.is(dump.view.durable, true)
  const metrics = await (await request(`http://${OPERATOR}/metrics`)).body.text()
  assert.match(metrics, /gooseberryfold_request_duration_seconds_bucket/)
  const place = await (await request(`http://${OPERATOR}/locate?service=keys&key=ammonite`)).body.json() as { owner: string, dispatcher: string }
  assert.is(place.dispatcher, PEER)
  assert.is(place.owner, (await call('/keys/ammonite')).body.server)
})

test('a host that closes still says what became of a request, when it comes over a connection that was open before', async () => {
  const socket = connect(16180, '127.0.0.1')
  await new Promise((resolve) => { socket.once('connect', resolve) })
  const closing = host.shutDown()
  await delay(SHUTDOWN_MS + 1500)
  socket.write('GET /keys/late HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n')
  const text = await new Promise<string>((resolve) => {
    let received = ''
    socket.on('data', (chunk) => { received += chunk.toString() })
    socket.on('close', () => { resolve(received) })
  })
  await closing
  assert.ok(text.startsWith('HTTP/1.1 200') || text.includes('"outcome"'), text)
})

test.run()
