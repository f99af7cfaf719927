/** Tests of the exchange of evidence: each host sees a part of the ends of servers, and all must refuse a request that has ended three. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createFatalRequestRegistry, NO_EVIDENCE, type Evidence, type FatalRequestRegistry } from '../fatal_requests/mod.ts'
import type { EvidenceMessage } from '../replication/mod.ts'
import { decodeEvidence, encodeEvidence } from './encode_evidence.ts'
import { createEvidenceExchange, type EvidenceExchange } from './evidence_exchange.ts'

const test = suite('evidence exchange')

/** Time in which a message passes from a host through the leader to all others, in milliseconds. */
const DELIVERY_MS = 40

interface TestHost {
  readonly registry: FatalRequestRegistry
  readonly exchange: EvidenceExchange
  /** Messages that this host has sent to the leader or published. */
  readonly sent: EvidenceMessage[]
  isCut: boolean
}

/** Hosts whose clocks differ; the first one leads until `leader` says otherwise. */
function createHosts (count: number): { readonly hosts: TestHost[], leader: number } {
  const cluster: { readonly hosts: TestHost[], leader: number } = { hosts: [], leader: 0 }
  for (let index = 0; index < count; index++) {
    const now = (): number => performance.now() + index * 1_000_000
    const registry = createFatalRequestRegistry({ now })
    const isLeading = (): boolean => cluster.leader === index
    const host: TestHost = {
      registry,
      sent: [],
      isCut: false,
      exchange: createEvidenceExchange({
        guard: () => registry,
        isLeading,
        publish (message) {
          host.sent.push(message)
          for (const other of cluster.hosts) if (other !== host && !other.isCut) other.exchange.receive(message)
        },
        send (message) {
          host.sent.push(message)
          const leader = cluster.hosts[cluster.leader]
          if (leader !== undefined && !leader.isCut && !host.isCut) leader.exchange.receive(message)
        },
        now
      })
    }
    cluster.hosts.push(host)
  }
  return cluster
}

/** The end of a server that a host finds out now, under one request that it sent 70 ms ago. */
function findEnd (host: TestHost | undefined, server: string, index: number, fingerprint = 'fatal'): void {
  if (host === undefined) throw new Error('There is no such host')
  const endedAt = performance.now() + index * 1_000_000
  host.exchange.add(host.registry.merge({ ...NO_EVIDENCE, ends: [{ server, bornAt: 1, endedAt, requests: [{ fingerprint, sentAt: endedAt - 70 }] }] }))
}

async function deliver (): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, 2 * DELIVERY_MS) })
}

function refusingHosts (hosts: readonly TestHost[]): number[] {
  return hosts.flatMap(({ registry }, index) => registry.refusalOf('fatal') === null ? [] : [index])
}

test('add() makes all hosts refuse a request, when three hosts have each seen one server end under it', async () => {
  const { hosts } = createHosts(5)
  for (const index of [1, 2, 0]) {
    findEnd(hosts[index], `s${index}`, index)
    await deliver()
  }
  assert.equal(refusingHosts(hosts), [0, 1, 2, 3, 4])
})

test('sendAll() and publishAll() keep what hosts know, when the leader is lost between two ends', async () => {
  const cluster = createHosts(4)
  const { hosts } = cluster
  findEnd(hosts[1], 's1', 1)
  await deliver()
  const [first] = hosts
  if (first !== undefined) first.isCut = true
  cluster.leader = -1
  findEnd(hosts[2], 's2', 2)
  await deliver()
  assert.equal(refusingHosts(hosts), [])
  cluster.leader = 3
  hosts[3]?.exchange.publishAll()
  for (const index of [1, 2]) hosts[index]?.exchange.sendAll()
  await deliver()
  findEnd(hosts[1], 's3', 1)
  await deliver()
  assert.equal(refusingHosts(hosts), [1, 2, 3])
})

test('initialUpdates() makes a host refuse the request at once, when it joins later', async () => {
  const { hosts } = createHosts(3)
  const [leader, , joining] = hosts
  if (leader === undefined || joining === undefined) throw new Error('There are too few hosts')
  joining.isCut = true
  for (let index = 0; index < 3; index++) {
    findEnd(hosts[1], `s${index}`, 1)
    await deliver()
  }
  assert.is(joining.registry.refusalOf('fatal'), null)
  for (const message of leader.exchange.initialUpdates()) joining.exchange.receive(message)
  assert.is.not(joining.registry.refusalOf('fatal'), null)
})

test('receive() passes on nothing, when the leader knows the evidence already', async () => {
  const { hosts } = createHosts(3)
  findEnd(hosts[1], 's1', 1)
  await deliver()
  const published = hosts[0]?.sent.length
  hosts[1]?.exchange.sendAll()
  await deliver()
  assert.is(hosts[0]?.sent.length, published)
})

test('add() sends one message, when many ends become known at once', async () => {
  const { hosts } = createHosts(2)
  for (let server = 0; server < 20; server++) findEnd(hosts[1], `s${server}`, 1, `r${server}`)
  await deliver()
  assert.is(hosts[1]?.sent.length, 1)
  assert.is(hosts[0]?.registry.evidence().ends.length, 20)
})

test('decodeEvidence() restores evidence on another clock', () => {
  const evidence: Evidence = {
    ends: [{ server: 's1', bornAt: 7, endedAt: 900, requests: [{ fingerprint: 'a', sentAt: 830 }] }],
    completions: [{ fingerprint: 'b', at: 950 }],
    refusals: [{ fingerprint: 'c', refusedAt: 800, until: 60_000, times: 2 }]
  }
  assert.equal(decodeEvidence(encodeEvidence(evidence, 1000), 1000), evidence)
  assert.is(decodeEvidence(encodeEvidence(evidence, 1000), 5000).ends[0]?.endedAt, 4900)
})

test.run()
