/** Tests of the home cells of slices. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { propertyParameters } from '../../testing/arbitrary_steps.ts'
import type { HostListing } from '../ports/mod.ts'
import { moveHomes, planHomes } from './plan_homes.ts'

const test = suite('planHomes')
const SIZES = { service: 'catalogue', slices: 64, cellsInZone: 1 }

function listingOf (zones: readonly number[]): HostListing {
  return {
    hosts: [],
    servers: zones.map((zone, index) => ({ id: `s${index}`, service: 'catalogue', address: '10.0.0.1:80', zone: `zone-${zone}`, state: 'live' }))
  }
}

const zones = fc.array(fc.integer({ min: 1, max: 4 }), { minLength: 1, maxLength: 20 })

test('planHomes() gives every slice a home in proportion to the servers, for any zones', () => {
  fc.assert(fc.property(zones, (serverZones) => {
    const homes = planHomes(listingOf(serverZones), SIZES)
    assert.is(homes?.homeOfSlice.length, SIZES.slices)
    for (const [index, cell] of (homes?.cells ?? []).entries()) {
      const share = SIZES.slices * serverZones.filter((zone) => `zone-${zone}/1` === cell).length / serverZones.length
      const assigned = homes?.homeOfSlice.filter((home) => home === index).length ?? 0
      assert.ok(Math.abs(assigned - share) <= 1, `${cell} has ${assigned} slices for a share of ${share}`)
    }
  }), propertyParameters(100))
})

test('moveHomes() moves only the slices of the gone cell, when a zone is lost', () => {
  fc.assert(fc.property(zones, fc.integer({ min: 1, max: 4 }), (serverZones, lost) => {
    const listing = listingOf(serverZones)
    const before = planHomes(listing, SIZES)
    const goneCells = new Set([`zone-${lost}/1`])
    const after = before === null ? null : moveHomes(before, listing, { ...SIZES, goneCells })
    if (before === null || after === null) {
      const isNeeded = serverZones.includes(lost) && serverZones.some((zone) => zone !== lost)
      assert.not(isNeeded)
      return
    }
    for (let slice = 0; slice < SIZES.slices; slice++) {
      const from = before.cells[before.homeOfSlice[slice] ?? 0] ?? ''
      const to = after.cells[after.homeOfSlice[slice] ?? 0] ?? ''
      if (goneCells.has(from)) assert.not(goneCells.has(to))
      else assert.is(to, from)
    }
  }), propertyParameters(100))
})

test.run()
