/** Tests of connections between hosts of different builds: a message that the other one does not know must neither be sent to it nor end the connection. */
import { connect, type AddressInfo, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLogger } from '../logging/mod.ts'
import { createLeaderConnection, createPeerServer, OPTIONAL_KINDS, type EvidenceMessage, type PeerServer, type Report, type Update } from './mod.ts'

const test = suite('peer server')

const EVIDENCE: EvidenceMessage = { kind: 'fatal-requests', ends: [], completions: [['a', 5]], refusals: [] }

const EVACUATIONS: Update = { kind: 'evacuations', era: 1, revision: 2, zones: [['a', 1, 2]] }
const RESIGNED: Update = { kind: 'resigned', holder: 'h1' }

interface Setup {
  readonly peerServer: PeerServer
  readonly port: number
  readonly evidence: EvidenceMessage[]
  readonly reports: Report[]
}

async function pause (): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, 60) })
}

async function withPeerServer (run: (setup: Setup) => Promise<void>, accepts?: readonly string[]): Promise<void> {
  const evidence: EvidenceMessage[] = []
  const reports: Report[] = []
  const peerServer = createPeerServer({
    logger: createLogger({ name: 'test', write: () => {} }),
    initialUpdates: () => [{ kind: 'identity', holder: 'h1', ...(accepts === undefined ? {} : { accepts }) }, EVIDENCE],
    onReport (_host, report) { reports.push(report) },
    onHostDisconnected: () => {},
    onHostIsolated: () => {},
    onServerLeaving: () => {},
    onEvidence (message) { evidence.push(message) },
    onStoreReachable: () => {},
    onLeaseClaimed: () => {}
  })
  await new Promise<void>((resolve) => { peerServer.server.listen(0, '127.0.0.1', resolve) })
  try {
    await run({ peerServer, port: (peerServer.server.address() as AddressInfo).port, evidence, reports })
  } finally {
    peerServer.disconnect()
    peerServer.server.close()
  }
}

/** Connects as a host that writes its messages itself; returns the connection and the kinds of messages that have arrived. */
async function connectRaw (port: number, accepts?: readonly string[]): Promise<{ readonly socket: Socket, readonly kinds: () => string[] }> {
  let received = ''
  const socket = connect(port, '127.0.0.1')
  socket.on('data', (data) => { received += data.toString() })
  socket.on('error', () => {})
  socket.write(`${JSON.stringify({ kind: 'hello', host: 'h2', zone: 'a', version: 0, servers: '', relay: null, ...(accepts === undefined ? {} : { accepts }) })}\n`)
  await pause()
  return { socket, kinds: () => received.trim().split('\n').map((line) => (JSON.parse(line) as Update).kind) }
}

test('publish() leaves out a host of a build that does not accept the kind of message', async () => {
  await withPeerServer(async ({ peerServer, port }) => {
    const [earlier, later] = [await connectRaw(port), await connectRaw(port, OPTIONAL_KINDS)]
    for (const update of [EVIDENCE, EVACUATIONS, RESIGNED]) peerServer.publish(update)
    await pause()
    assert.equal(earlier.kinds(), ['identity', 'resigned'])
    assert.equal(later.kinds(), ['identity', 'fatal-requests', 'fatal-requests', 'evacuations', 'resigned'])
    for (const { socket } of [earlier, later]) socket.destroy()
  })
})

test('a report of a kind that this build does not know leaves the connection open', async () => {
  await withPeerServer(async ({ port, reports, evidence }) => {
    const { socket } = await connectRaw(port, OPTIONAL_KINDS)
    for (const message of [{ kind: 'of-a-later-build', data: 1 }, { kind: 'report', samples: [], keys: [] }, EVIDENCE]) socket.write(`${JSON.stringify(message)}\n`)
    await pause()
    assert.is(socket.destroyed, false)
    assert.equal([reports.length, evidence.length], [1, 1])
    socket.destroy()
  })
})

for (const accepts of [undefined, OPTIONAL_KINDS]) {
  test(`send() ${accepts === undefined ? 'sends no evidence' : 'sends evidence'}, when the other host ${accepts === undefined ? 'is of a build that does not accept it' : 'accepts it'}`, async () => {
    await withPeerServer(async ({ port, evidence, reports }) => {
      const connection = createLeaderConnection({
        host: 'h2', zone: 'a', relay: () => null, isIsolated: () => false, logger: createLogger({ name: 'test', write: () => {} }), now: () => performance.now(), cachedVersions: () => ({ version: 0, servers: '', leaving: [] }), onUpdate: () => {}, onConnectionRefused: () => {}
      })
      connection.follow(`127.0.0.1:${port}`)
      await pause()
      connection.send(EVIDENCE)
      connection.send({ kind: 'report', samples: [], keys: [] })
      await pause()
      connection.follow(null)
      assert.equal([evidence.length, reports.length], [accepts === undefined ? 0 : 1, 1])
    }, accepts)
  })
}

test.run()
