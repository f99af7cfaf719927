/** A request that ends each server which runs it, sent again and again. */
import { request as startRequest } from 'node:http'
import { SOAK_KEYS, type SoakBackend } from './backend.ts'
import { pause, pickRandom, removeServerEntry, writeServerEntry, type Environment } from './environment.ts'
import { FATAL_HEADER } from './fatal_header.ts'
import { Guarantees } from './guarantee_checker.ts'

/** Time for which a server runs a fatal request before it ends, in milliseconds. */
const RUN_MS = 70

/** Time after which the entry of a server that has ended lapses, in milliseconds. */
const ENTRY_LAPSE_MS = 1800

/** Time after which another run of a server that has ended starts, in milliseconds. */
export const RESTART_MS = 3500

/** Time between two fatal requests, in milliseconds. */
const INTERVAL_MS = 350

/** Duration of the first series of fatal requests, beside which others are counted, and of later ones, in milliseconds. */
const FIRST_SERIES_MS = 20_000
const SERIES_MS = 5000

/** Number of servers that may end under one request. */
const MAXIMUM_ENDS = 3

/** Share of sound requests that must be served beside a fatal one, in a deployment large enough to do without three servers. */
const MINIMUM_SERVED_SHARE = 0.97
const LARGE_DEPLOYMENT_SERVERS = 20

/** Time for which all hosts are down, and after which they serve again, in milliseconds. */
const POWER_LOSS_MS = 600
const RESTARTED_MS = 6000

/** Key of fatal requests: one that is requested like most others. */
const FATAL_KEY = SOAK_KEYS[40]

/** Retry delay that only requests get that are refused because servers end under them, in seconds. */
const FATAL_RETRY_AFTER_SECONDS = 30

const endsByRequest = new Map<string, number>()

/** Ends a server as a crash does: its connections are reset, and further ones are refused until another run starts. */
export function endServer (environment: Environment, backend: SoakBackend, request: string): void {
  const linkProxy = environment.linkProxies.get(backend.id)
  if (linkProxy?.isListening() !== true) return
  endsByRequest.set(request, (endsByRequest.get(request) ?? 0) + 1)
  backend.hasEnded = true
  linkProxy.stopListening()
  linkProxy.reset()
  backend.reset()
  setTimeout(() => { removeServerEntry(environment, backend) }, ENTRY_LAPSE_MS)
  setTimeout(() => {
    backend.hasEnded = false
    linkProxy.listen()
    writeServerEntry(environment, backend, { state: 'draining' })
    writeServerEntry(environment, backend, { state: 'ready' })
  }, RESTART_MS)
}

/** Makes the servers of a run end under fatal requests. */
export function installFatalRequests (environment: Environment): void {
  for (const backend of environment.backends) backend.onFatal = (request) => { setTimeout(() => { endServer(environment, backend, request) }, RUN_MS) }
}

let sentRequests = 0

/** A request for the path of the fatal request `name`; it is the fatal one if `isFatal` is set. Returns the status, 0 if there is none. */
function send (environment: Environment, { name, isFatal, once }: { readonly name: string, readonly isFatal: boolean, readonly once: boolean }): Promise<number> {
  const { checker } = environment
  const running = environment.hosts.filter((host) => host.isRunning())
  if (running.length === 0) return Promise.resolve(0)
  const host = pickRandom(environment, running)
  const id = `${isFatal ? 'f' : 'o'}${sentRequests++}`
  checker.recordSent(id, { once, body: '' })
  return new Promise((resolve) => {
    const request = startRequest({
      agent: false,
      host: host.ip,
      port: host.callerPort,
      method: once ? 'POST' : 'GET',
      path: `/${once ? 'orders' : 'lookups'}/${name}`,
      headers: { Host: 'soak.example', 'Gooseberryfold-Attempt-Id': id, 'Gooseberryfold-Deadline-Ms': '1000', 'Gooseberryfold-Shard-Key': String(FATAL_KEY), ...(isFatal ? { [FATAL_HEADER]: name } : { Authorization: 'other' }), ...(once ? { 'Content-Length': 0 } : {}) }
    })
    request.setTimeout(2000, () => { request.destroy() })
    request.on('response', (response) => {
      const parts: Buffer[] = []
      response.on('data', (part: Buffer) => { parts.push(part) })
      response.on('end', () => {
        checker.recordResponse(id, { status: response.statusCode ?? 0, body: Buffer.concat(parts).toString(), signed: response.headers['gooseberryfold-backend-signature'] !== undefined })
        resolve(response.statusCode ?? 0)
      })
      if (!isFatal && Number(response.headers['retry-after'] ?? 0) > FATAL_RETRY_AFTER_SECONDS) checker.reportViolation(Guarantees.fatalRequest, `${id}, which ends no server, is refused like a fatal request`)
    })
    request.on('error', () => {})
    request.on('close', () => { resolve(0) })
    request.end()
  })
}

/** Sends a fatal request again and again, and other requests for its path beside it; returns the number of fatal ones. */
async function sendSeries (environment: Environment, options: { readonly name: string, readonly once: boolean, readonly durationMs?: number }): Promise<number> {
  const until = performance.now() + (options.durationMs ?? SERIES_MS)
  const pending: Array<Promise<number>> = []
  while (performance.now() < until) {
    for (const isFatal of [true, false]) pending.push(send(environment, { ...options, isFatal }))
    await pause(INTERVAL_MS)
  }
  await Promise.all(pending)
  return pending.length / 2
}

function checkEnds (environment: Environment, name: string, situation: string): void {
  const ends = endsByRequest.get(name) ?? 0
  if (ends > MAXIMUM_ENDS) environment.checker.reportViolation(Guarantees.fatalRequest, `${ends} servers have ended under request ${name}, ${situation}`)
}

/** Checks that at most three servers end under a fatal request, whatever happens to hosts and store afterwards, and that others are served beside it. */
export async function checkFatalRequests (environment: Environment): Promise<void> {
  const { checker, store } = environment
  const prefix = `fatal-${sentRequests}`
  const before = { ...checker.counts }
  const fatal = await sendSeries(environment, { name: `${prefix}-lookup`, once: false, durationMs: FIRST_SERIES_MS })
  checkEnds(environment, `${prefix}-lookup`, 'without other faults')
  const sent = checker.counts.sent - before.sent - (checker.counts.left - before.left) - fatal
  const share = (checker.counts.served - before.served) / Math.max(1, sent)
  if (environment.backends.length > LARGE_DEPLOYMENT_SERVERS && share < MINIMUM_SERVED_SHARE) checker.reportViolation(Guarantees.fatalRequest, `${Math.round(share * 1000) / 10} % of ${sent} requests are served beside a fatal one`)
  await pause(RESTART_MS)

  pickRandom(environment, environment.hosts).sendSignal('SIGKILL')
  await sendSeries(environment, { name: `${prefix}-lookup`, once: false })
  checkEnds(environment, `${prefix}-lookup`, 'after a host was lost')
  for (const host of environment.hosts) host.start()

  for (const host of environment.hosts) host.sendSignal('SIGKILL')
  await pause(POWER_LOSS_MS)
  for (const host of environment.hosts) host.start()
  await pause(RESTARTED_MS)
  await sendSeries(environment, { name: `${prefix}-lookup`, once: false })
  checkEnds(environment, `${prefix}-lookup`, 'after all hosts were lost')

  store.faults.busy = true
  await sendSeries(environment, { name: `${prefix}-order`, once: true })
  store.faults.busy = false
  checkEnds(environment, `${prefix}-order`, 'while the store was away')
  await pause(RESTART_MS + ENTRY_LAPSE_MS)
}
