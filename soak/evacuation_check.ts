/** Check of a soak run that no request runs on servers of an evacuated zone, also if the leader is killed halfway. */
import { pause, ZONES, type Environment } from './environment.ts'
import { Guarantees } from './guarantee_checker.ts'

/** Time after which no request may reach the servers of the zone, in milliseconds; the platform's bound. */
const EVACUATE_MS = 5000

/** Time after the order at which the leader is killed, in milliseconds: some hosts know of the order, others may not. */
const LEADER_KILL_MS = 400

/** Time for which requests are counted after the bound, and within which the zone gets requests again after its return, in milliseconds. */
const OBSERVED_MS = 3000
const RETURN_MS = 4000

/** Minimum share of requests that the other zones serve. */
const MINIMUM_SERVED_SHARE = 0.9

/** Checks without other faults that a zone is evacuated in time, that the other zones serve, and that it gets requests again after the end. Hosts of an earlier build know of no evacuations. */
export async function checkEvacuation (environment: Environment): Promise<void> {
  const { hosts, store, checker } = environment
  if (hosts.some((host) => host.isEarlierBuild())) return
  const zoneIndex = environment.version % ZONES.length
  const evacuated = environment.backends.filter((_, index) => index % ZONES.length === zoneIndex)
  const row = `evacuate/${ZONES[zoneIndex]}`
  store.put('op', row, {})
  for (const backend of evacuated) backend.evacuationDeadline = performance.now() + EVACUATE_MS
  await pause(LEADER_KILL_MS)
  const { holder = '' } = JSON.parse(store.get('gooseberryfold', 'lease') || '{}') as { readonly holder?: string }
  const leader = hosts.find((host) => holder.startsWith(`${host.name}/`))
  leader?.sendSignal('SIGKILL')
  leader?.waitForExit().then(() => { leader.start() }, () => {})
  await pause(EVACUATE_MS - LEADER_KILL_MS)
  const countOwed = (): number => checker.counts.sent - checker.counts.left
  const owedBefore = countOwed()
  checker.takeServedCount()
  await pause(OBSERVED_MS)
  const sent = countOwed() - owedBefore
  const share = checker.takeServedCount() / Math.max(1, sent)
  if (share < MINIMUM_SERVED_SHARE) checker.reportViolation(Guarantees.evacuated, `${Math.round(share * 100)} % of ${sent} requests are served while ${row} is in force`)
  for (const backend of evacuated) {
    backend.evacuationDeadline = Infinity
    backend.arrivals = []
  }
  store.remove('op', row)
  await pause(RETURN_MS)
  if (evacuated.every((backend) => backend.arrivals.length === 0)) checker.reportViolation(Guarantees.evacuated, `no server of the zone gets requests ${RETURN_MS} ms after the end of ${row}`)
}
