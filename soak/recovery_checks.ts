/** Checks of a soak run that are made after the last fault, without other faults. */
import { countWithin } from '../testing/count_within.ts'
import { pause, pickRandom, writeServerEntry, type Environment } from './environment.ts'
import { checkEvacuation } from './evacuation_check.ts'
import { checkFatalRequests } from './fatal_requests.ts'
import { Guarantees, type GuaranteeChecker } from './guarantee_checker.ts'
import { SOAK_KEYS } from './backend.ts'
import { HOST_MEMORY_MB, type SoakHost } from './hosts.ts'
import { startPipeliningCaller } from './pipelining_caller.ts'

/** Time after the last fault within which requests must be served again, in milliseconds; the platform requires 15 s. */
const RECOVERY_MS = 15_000

/** Time after which a draining server must get no new requests, in milliseconds: the platform's bound plus the store's response time. */
const DRAIN_MS = 2200

/** Time after which a server that says in its responses that it is leaving must get no new requests, in milliseconds: the platform's bound after the first response, which comes within a second. */
const SAID_LEAVING_MS = 3000

/** Time between the stop signals to two hosts, in milliseconds: short enough that their shutdowns overlap. */
const STOP_INTERVAL_MS = 400

/** Time for which a caller sends ahead before its host is stopped, in milliseconds: its responses are on their way then. */
const SENDING_AHEAD_MS = 1500

/** Share of requests that take long while hosts shut down: some of them are in progress at any moment. */
const LONG_WORK_SHARE = 0.1

/** Minimum share of requests that must be served after all faults have been cleared. */
const MINIMUM_SERVED_SHARE = 0.9

/** Time for which a host is suspended, in milliseconds: callers of its first second have left for long enough to count. */
const SUSPENSION_MS = 1500

/** Limit that a server names, as a share of the requests that it gets. */
const LIMIT_SHARE = 0.4

/** Time after which a limit must hold, and in which requests are counted, in milliseconds. */
const LIMIT_DELAY_MS = 3000
const LIMIT_WINDOW_MS = 4000

/** Checks that no host has used more than its memory, whatever servers have sent. */
export function checkMemory (environment: { readonly hosts: readonly SoakHost[], readonly checker: Pick<GuaranteeChecker, 'reportViolation'> }): void {
  for (const host of environment.hosts) {
    const megabytes = Math.round(host.peakMemoryBytes() / 1024 / 1024)
    if (megabytes > HOST_MEMORY_MB) environment.checker.reportViolation(Guarantees.memory, `${host.name} has used ${megabytes} MB`)
  }
}

/** Checks that requests are served again, and what must hold without other faults. */
export async function checkRecovery (environment: Environment): Promise<void> {
  await pause(RECOVERY_MS)
  // A caller that leaves is not owed a response.
  const countOwed = (): number => environment.checker.counts.sent - environment.checker.counts.left
  const owedBefore = countOwed()
  environment.checker.takeServedCount()
  await pause(2000)
  const sent = countOwed() - owedBefore
  const share = environment.checker.takeServedCount() / Math.max(1, sent)
  if (share < MINIMUM_SERVED_SHARE) environment.checker.reportViolation(Guarantees.served, `${Math.round(share * 100)} % of ${sent} requests are served ${RECOVERY_MS} ms after the last fault`)
  await checkCallersLeft(environment)
  await checkLimit(environment)
  await checkSaidLeaving(environment)
  await checkDraining(environment)
  await checkEvacuation(environment)
  await checkFatalRequests(environment)
  await checkGracefulShutdown(environment)
}

/** Checks that no server gets a request whose caller left while the host was suspended. */
async function checkCallersLeft (environment: Environment): Promise<void> {
  for (const backend of environment.backends) backend.checksCallersLeft = true
  const host = pickRandom(environment, environment.hosts)
  host.sendSignal('SIGSTOP')
  await pause(SUSPENSION_MS)
  host.sendSignal('SIGCONT')
  await pause(SUSPENSION_MS)
}

/** Checks without other faults that a server gets at most one and a half times the limit that it names, and five requests. */
async function checkLimit (environment: Environment): Promise<void> {
  const backend = environment.backends.reduce((busiest, candidate) => candidate.arrivals.length > busiest.arrivals.length ? candidate : busiest)
  backend.arrivals = []
  await pause(2000)
  const limit = Math.max(1, backend.arrivals.length / 2 * LIMIT_SHARE)
  backend.limitPerSecond = limit
  await pause(LIMIT_DELAY_MS)
  backend.arrivals = []
  await pause(2 * LIMIT_WINDOW_MS)
  const most = countWithin(backend.arrivals, LIMIT_WINDOW_MS)
  backend.limitPerSecond = null
  if (most > limit * LIMIT_WINDOW_MS / 1000 * 1.5 + 5) environment.checker.reportViolation(Guarantees.limit, `${backend.id} gets ${most} requests in ${LIMIT_WINDOW_MS} ms with a limit of ${limit} a second`)
}

/** Checks without other faults that hosts with overlapping shutdowns respond to every request that they have forwarded, also if it comes late and takes long. */
async function checkGracefulShutdown (environment: Environment): Promise<void> {
  for (const backend of environment.backends) backend.longWorkShare = LONG_WORK_SHARE
  const first = Math.floor(environment.random() * environment.hosts.length)
  await Promise.all(Array.from({ length: Math.floor(environment.hosts.length / 2) }, async (_, index) => {
    const host = environment.hosts[(first + index) % environment.hosts.length]
    await pause(index * STOP_INTERVAL_MS)
    if (host?.isServing() !== true) return
    environment.stoppingHosts.add(host.name)
    const endCaller = startPipeliningCaller(host, { key: SOAK_KEYS[index % SOAK_KEYS.length] ?? 0, checker: environment.checker })
    await pause(SENDING_AHEAD_MS)
    host.sendSignal('SIGTERM')
    await pause(STOP_INTERVAL_MS)
    // A second signal changes nothing.
    host.sendSignal('SIGTERM')
    const code = await host.waitForExit()
    await pause(100)
    endCaller()
    environment.stoppingHosts.delete(host.name)
    if (code !== 0) environment.checker.reportViolation(Guarantees.graceful, `${host.name} ended with code ${String(code)}`)
  }))
}

/** Checks without other faults that a server gets no new requests some time after it has said in its responses that it is leaving, while its entry says that it is ready. */
async function checkSaidLeaving (environment: Environment): Promise<void> {
  const backend = pickRandom(environment, environment.backends)
  backend.saysLeaving = true
  // Each host sends a request within this time, or learns it from the leader.
  await pause(SAID_LEAVING_MS)
  backend.drainDeadline = performance.now()
  await pause(DRAIN_MS)
  backend.drainDeadline = Infinity
  backend.saysLeaving = false
  // Another run of the server.
  writeServerEntry(environment, backend, { state: 'draining' })
  writeServerEntry(environment, backend, { state: 'ready' })
}

/** Checks without other faults that a draining server gets no new requests after its drain deadline. */
async function checkDraining (environment: Environment): Promise<void> {
  const backend = pickRandom(environment, environment.backends)
  writeServerEntry(environment, backend, { state: 'draining' })
  backend.drainDeadline = performance.now() + DRAIN_MS
  await pause(DRAIN_MS + 1500)
  backend.drainDeadline = Infinity
  writeServerEntry(environment, backend, { state: 'ready' })
}
