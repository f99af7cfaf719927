/** Tests of when relays are published: soon after a restart of all hosts, rarely while hosts connect, and at once when one has gone. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { RelayHost } from '../relay/mod.ts'
import { createRelayPublication } from './relay_publication.ts'

const test = suite('createRelayPublication')

function relaysOf (count: number): RelayHost[] {
  return Array.from({ length: count }, (_, index) => ({ host: `h${String(index).padStart(3, '0')}`, zone: 'a', address: `10.0.0.${index}:1`, weight: 1 }))
}

/** Publishes every 120 ms while `connectedAt` returns the connected hosts; returns when, and how many. */
function play (connectedAt: (now: number) => readonly RelayHost[], lengthMs: number): Array<readonly [at: number, hosts: number]> {
  const publication = createRelayPublication(0)
  const published: Array<readonly [number, number]> = []
  for (let now = 0; now <= lengthMs; now += 120) {
    const hosts = publication.next(connectedAt(now), now)
    if (hosts !== null) published.push([now, hosts.length])
  }
  return published
}

test('next() returns all hosts within 0.8 s and once, when 27 hosts connect within 0.4 s after a loss of power', () => {
  const published = play((now) => relaysOf(Math.min(27, Math.ceil(now / 15))), 3000)
  assert.is(published.length, 1)
  assert.is(published[0]?.[1], 27)
  assert.ok((published[0]?.[0] ?? Infinity) <= 800)
})

test('next() returns the hosts that are connected after 1.5 s, when hundreds of hosts connect for longer, and the others once they have', () => {
  const published = play((now) => relaysOf(Math.min(195, Math.ceil(now / 15))), 6000)
  assert.ok((published[0]?.[0] ?? Infinity) <= 1620)
  assert.is(published.at(-1)?.[1], 195)
  assert.ok(published.length <= 3, `Published ${published.length} times`)
})

test('next() returns the remaining hosts at once, when one has gone', () => {
  const published = play((now) => relaysOf(now < 1200 ? 10 : 9), 3000)
  assert.equal(published.at(-1), [1200, 9])
})

test('next() returns null, when nothing has changed', () => {
  const published = play(() => relaysOf(10), 6000)
  assert.is(published.length, 1)
})

test.run()
