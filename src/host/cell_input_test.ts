/** Tests of the tracker of the platform's list and of the input of a cell's assignment. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { CellView } from '../cell/mod.ts'
import { serviceSchema } from '../configuration/mod.ts'
import type { HostListing } from '../ports/mod.ts'
import { buildCellInput, createHostListTracker } from './cell_input.ts'

const test = suite('createHostListTracker')
const EMPTY_LISTING: HostListing = { hosts: [], servers: [] }
const server = { id: 's-1', service: 'keys', address: '10.0.0.1:80', checksGrants: true, keyed: true, leaving: false }
const service = serviceSchema.parse({ name: 'keys', match: { path: '/keys' }, key: { from: 'path' }, servers: { slots: 1, connections: 1, checks_grants: true } })
const view = { servers: [{ ...server, dispatcher: 'a', token: 2 }] } as unknown as CellView

function listingOf (...hosts: string[]): HostListing {
  return { servers: [], hosts: hosts.map((host) => ({ host, zone: 'z', state: 'live' })) }
}

test('buildCellInput() uses the servers of the view, when the list is outdated', () => {
  const tracker = createHostListTracker()
  tracker.update(EMPTY_LISTING, 0)
  const options = {
    cell: 'z/1', cellsInZone: 1, services: [service], homes: new Map(), drained: new Set<string>(), loads: {}, removedHosts: new Set<string>(), view
  }
  assert.equal(buildCellInput({ ...options, listing: tracker.listing(60_000) }).servers, [server])
  assert.equal(buildCellInput({ ...options, listing: tracker.listing(1000) }).servers, [])
})

test('goneMembers() returns a host only after it was missing for 3 s without a gap, when reading of the list resumes', () => {
  const tracker = createHostListTracker()
  tracker.update(listingOf('a', 'b'), 0)
  tracker.update(listingOf('a'), 60_000)
  assert.equal([...tracker.goneMembers(['a', 'b'], 60_000)], [])
  tracker.update(listingOf('a'), 62_000)
  assert.equal([...tracker.goneMembers(['a', 'b'], 62_000)], [])
  tracker.update(listingOf('a'), 64_000)
  assert.equal([...tracker.goneMembers(['a', 'b'], 64_000)], ['b'])
  tracker.update(listingOf('a', 'b'), 66_000)
  assert.equal([...tracker.goneMembers(['a', 'b'], 66_000)], [])
})

test('goneMembers() returns a member that was never listed only after 3 s of lists without it', () => {
  const tracker = createHostListTracker()
  tracker.update(listingOf('a'), 0)
  tracker.update(listingOf('a'), 2000)
  assert.equal([...tracker.goneMembers(['a', 'c'], 2000)], [])
  tracker.update(listingOf('a'), 4000)
  tracker.goneMembers(['a', 'c'], 4000)
  tracker.update(listingOf('a'), 6000)
  assert.equal([...tracker.goneMembers(['a', 'c'], 6000)], ['c'])
})

test.run()
