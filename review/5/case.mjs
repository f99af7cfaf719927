/**
 * Entry hosts are stopped and started in turn while they forward lookups, some
 * of which take several times as long as most.
 */
import { createServer } from 'node:http'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { keepAliveAgent, newAttemptId, openBackend, pause, runCase, sendRequest, TROUBLE, waitUntilServing } from '../lib/harness.mjs'

const AUTHORITY = 'catalogue.example'
const SERVICE = 'vitrine'
const BACKENDS = 6
const HOSTS = 4
const REQUEST_INTERVAL_MS = 8
/** Times of the route and of its callers, in milliseconds. */
const ROUTE_TIMEOUT_MS = 1000
const CALLER_TIMEOUT_MS = 2000
/** Answers later than this may be due to the route's timeout, in milliseconds. */
const LATEST_COUNTED_MS = 950
/** Duration of the work on a request, in milliseconds. */
const WORK = { mean: 100, spread: 0.8, tailShare: 0.01, tailFactor: 5, maximum: 760 }
const STOP_INTERVAL_MS = 4000
const ROUNDS = 3
/** Time after SIGTERM in which callers still come to a host, in milliseconds: two of the balancer's questions, a second apart. */
const BALANCER_MS = 2000
/** Time after SIGTERM in which the rule counts, in milliseconds: `Grace` and a second. */
const PLANNED_WORK_MS = 7000

const configuration = {
  Version: 7,
  Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' },
  Listeners: [{ Host: AUTHORITY, Rules: [{ Name: 'r-1', Kind: 'idempotent', LatencyGoal: '300ms', Priority: 2, Match: { Prefix: '/c/' }, Action: { Service: SERVICE, Timeout: `${ROUTE_TIMEOUT_MS}ms`, MaxAttempts: 2 } }] }],
  Clusters: [{ Name: SERVICE, HealthPath: '/health', MaxConns: 295, Protocol: 'h1', Tls: false }]
}

function drawNormal () {
  return Math.sqrt(-2 * Math.log(1 - Math.random())) * Math.cos(2 * Math.PI * Math.random())
}

/** Draws the work on one lookup; it is the same at every backend server. */
function drawWorkMs () {
  const usual = WORK.mean * Math.exp(WORK.spread * drawNormal() - WORK.spread ** 2 / 2)
  return Math.min(WORK.maximum, Math.random() < WORK.tailShare ? usual * WORK.tailFactor : usual)
}

function createBackend (id, { record, workOf, brokenOff }) {
  const server = createServer((request, response) => {
    const attempt = String(request.headers['gooseberryfold-attempt-id'])
    const workMs = workOf.get(attempt) ?? 20
    request.resume()
    request.on('error', () => {})
    response.on('error', () => {})
    record.add(`run ${attempt} at ${id}: ${Math.round(workMs)} ms of work`)
    const timer = setTimeout(() => {
      const body = `read ${attempt}`
      response.writeHead(200, { 'Gooseberryfold-Attempt-Id': attempt, 'Gooseberryfold-Backend-Signature': `s.${id}.${attempt}`, 'Keep-Alive': 'timeout=10', 'Content-Length': body.length }).end(body)
    }, workMs)
    response.on('close', () => {
      if (response.writableFinished) return
      clearTimeout(timer)
      record.add(`broken off ${attempt} at ${id}, at work`)
      brokenOff.add(attempt)
    })
  })
  server.keepAliveTimeout = 10_000
  return { id, server }
}

async function run ({ record, start }) {
  const deployment = await start({ hosts: Array.from({ length: HOSTS }, (_, index) => ({ name: `edge-a-${index + 1}`, zone: 'a' })), configuration })
  const workOf = new Map()
  const brokenOff = new Set()
  for (let index = 0; index < BACKENDS; index++) {
    const { id, server } = createBackend(`i-${index + 1}`, { record, workOf, brokenOff })
    const address = await openBackend(deployment, index, server)
    deployment.store.put('servers', id, { Service: SERVICE, Address: address, Zone: 'a', Version: 'v1', Slots: 6, State: 'ready', WarmupLeft: '0ms', Seq: 1, born: Date.now() })
  }
  await waitUntilServing(deployment, { authority: AUTHORITY, path: '/c/warm' })
  await pause(2000)

  /** When each host got SIGTERM; absent while it is not stopping. */
  const stoppedAt = new Map()
  const agents = new Map(deployment.hosts.map((host) => [host.name, keepAliveAgent()]))
  const violations = []
  const counts = {}

  async function stopAndStart (host) {
    record.add(`SIGTERM to ${host.name}`)
    stoppedAt.set(host.name, performance.now())
    const { child } = host
    const exit = new Promise((resolve) => { child.once('exit', resolve) })
    child.kill('SIGTERM')
    record.add(`${host.name} has ended with code ${await exit}`)
    host.start()
    await pause(1500)
    stoppedAt.delete(host.name)
  }

  async function get (host) {
    const attempt = newAttemptId()
    const sentAt = performance.now()
    const workMs = drawWorkMs()
    workOf.set(attempt, workMs)
    const answer = await sendRequest(host, { method: 'GET', path: `/c/${attempt}`, authority: AUTHORITY, agent: agents.get(host.name), headers: { 'Gooseberryfold-Attempt-Id': attempt, 'Gooseberryfold-Deadline-Ms': String(CALLER_TIMEOUT_MS) }, timeoutMs: 3000 })
    const now = performance.now()
    const signalledAt = stoppedAt.get(host.name) ?? Infinity
    const isDuringStop = now > signalledAt && now < signalledAt + PLANNED_WORK_MS
    const key = `${answer.status}${isDuringStop ? ' while stopping' : ''}`
    counts[key] = (counts[key] ?? 0) + 1
    record.add(`answer ${attempt} of ${host.name}: ${answer.status} after ${Math.round(now - sentAt)} ms, work ${Math.round(workMs)} ms${isDuringStop ? `, ${Math.round(sentAt - signalledAt)} ms after SIGTERM` : ''}`)
    const isOwnAnswer = answer.status >= 500 && answer.headers['gooseberryfold-backend-signature'] === undefined && answer.status !== 503
    const isWithoutAnswer = answer.status === 0 && brokenOff.has(attempt)
    if (!isDuringStop || now - sentAt > LATEST_COUNTED_MS || !brokenOff.has(attempt)) return
    if (isOwnAnswer || isWithoutAnswer) violations.push(`LOST: ${attempt} at ${host.name}, sent ${Math.round(sentAt - signalledAt)} ms after SIGTERM, got ${answer.status} after ${Math.round(now - sentAt)} ms while its backend was at work on ${Math.round(workMs)} ms; the route's timeout is ${ROUTE_TIMEOUT_MS} ms`)
  }

  const phase = { isRolling: true }
  async function roll () {
    await pause(2000)
    for (let round = 0; round < ROUNDS; round++) {
      for (const host of deployment.hosts) {
        if (TROUBLE) stopAndStart(host)
        await pause(STOP_INTERVAL_MS)
      }
    }
    await pause(4000)
    phase.isRolling = false
  }
  roll()
  const pending = []
  for (let number = 0; phase.isRolling; number++) {
    const host = deployment.hosts[number % HOSTS]
    if (performance.now() - (stoppedAt.get(host.name) ?? Infinity) < BALANCER_MS || !stoppedAt.has(host.name)) pending.push(get(host))
    await pause(REQUEST_INTERVAL_MS)
  }
  await Promise.all(pending)
  record.add(`answers by status: ${JSON.stringify(counts)}`)
  for (const violation of violations) record.add(violation)
  return violations
}

runCase(dirname(fileURLToPath(import.meta.url)), run)
