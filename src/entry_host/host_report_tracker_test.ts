/** Tests of telling a store that is away from a partition. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createHostReportTracker, type HostReportTracker } from './host_report_tracker.ts'

const test = suite('createHeardHosts')

/** Reports of three zones with four hosts each, until 2000 ms; the silent zones stop at 1000 ms. */
function reportUntil (silentZones: readonly string[]): HostReportTracker {
  let now = 0
  const heard = createHostReportTracker({ now: () => now, reportIntervalMs: () => 120 })
  for (; now <= 2000; now += 120) {
    for (const zone of ['a', 'b', 'c']) {
      for (let host = 0; host < 4; host++) {
        if (now < 1000 || !silentZones.includes(zone)) heard.recordReport(`${zone}${host}`)
      }
    }
  }
  return heard
}

test('hearsMost() is true, when all hosts go on reporting while the store is away', () => {
  assert.ok(reportUntil([]).isMajorityReporting())
})

test('hearsMost() is true, when another zone is cut off', () => {
  assert.ok(reportUntil(['a']).isMajorityReporting())
})

test('hearsMost() is false, when the host is in the zone that is cut off', () => {
  assert.not(reportUntil(['a', 'b']).isMajorityReporting())
})

test('hearsMost() is true, when there is no other host', () => {
  assert.ok(createHostReportTracker({ now: () => 0, reportIntervalMs: () => 120 }).isMajorityReporting())
})

test.run()
