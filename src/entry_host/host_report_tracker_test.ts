/** Tests of distinguishing a store outage from a network partition. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createHostReportTracker, type HostReportTracker } from './host_report_tracker.ts'

const test = suite('createHostReportTracker')

/** Records reports of three zones with four hosts each until 2000 ms; the lost zones stop at 1000 ms. */
function recordReports (lostZones: readonly string[]): HostReportTracker {
  let now = 0
  const tracker = createHostReportTracker({ now: () => now, reportIntervalMs: () => 120 })
  for (; now <= 2000; now += 120) {
    for (const zone of ['a', 'b', 'c']) {
      for (let host = 0; host < 4; host++) {
        if (now < 1000 || !lostZones.includes(zone)) tracker.recordReport(`${zone}${host}`)
      }
    }
  }
  return tracker
}

test('isMajorityReporting() is true, when all hosts continue to report during a store outage', () => {
  assert.ok(recordReports([]).isMajorityReporting())
})

test('isMajorityReporting() is true, when another zone is cut off', () => {
  assert.ok(recordReports(['a']).isMajorityReporting())
})

test('isMajorityReporting() is false, when the host is in the zone that is cut off', () => {
  assert.not(recordReports(['a', 'b']).isMajorityReporting())
})

test('isMajorityReporting() is true, when there is no other host', () => {
  assert.ok(createHostReportTracker({ now: () => 0, reportIntervalMs: () => 120 }).isMajorityReporting())
})

test.run()
