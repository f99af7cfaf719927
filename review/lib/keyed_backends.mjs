/**
 * Backend servers that hold keys, as the users' pages describe them, and the
 * checks of the rule OWNER over all of them.
 */
import { createServer } from 'node:http'

const KEYS = 65_536

/** Time for which two servers may hold the same key, in milliseconds. */
const MAXIMUM_OVERLAP_MS = 500

/** Violations of one kind that are recorded. */
const MAXIMUM_RECORDED = 10

function parseHold (text) {
  const [, number, unit] = /^(\d+(?:\.\d+)?)(ms|s)$/.exec(text)
  return Number(number) * (unit === 's' ? 1000 : 1)
}

/** Checks OWNER over all servers of one service. */
export function createOwnerChecker (record) {
  const servers = []
  const violations = []
  /** Number of violations of each kind; few of each are recorded. */
  const reported = new Map()
  const overlapSince = new Float64Array(KEYS)
  /** Highest token with which each server had a key is kept by the server; this is the highest of all. */
  const highestToken = new Float64Array(KEYS)
  const highestHolder = new Array(KEYS)

  function report (kind, text) {
    const count = (reported.get(kind) ?? 0) + 1
    reported.set(kind, count)
    if (count > MAXIMUM_RECORDED) return
    record.add(`OWNER: ${text}`)
    violations.push(`OWNER: ${text}`)
  }

  const timer = setInterval(() => {
    const now = performance.now()
    for (let key = 0; key < KEYS; key++) {
      let holders = 0
      for (const server of servers) if (server.isUp && server.heldUntil[key] > now) holders++
      if (holders < 2) overlapSince[key] = 0
      else if (overlapSince[key] === 0) overlapSince[key] = now
      else if (now - overlapSince[key] > MAXIMUM_OVERLAP_MS) report('overlap', `key ${key} has been held by ${servers.filter((server) => server.isUp && server.heldUntil[key] > now).map((server) => server.id).join(' and ')} for over ${MAXIMUM_OVERLAP_MS} ms`)
    }
  }, 100)
  timer.unref()

  return {
    violations,
    add (server) { servers.push(server) },
    onGrant (server, { from, to, token }) {
      const now = performance.now()
      for (const other of servers) {
        if (other === server || !other.isUp) continue
        for (const work of other.running) {
          if (work.key >= from && work.key <= to && work.heldUntil > now) report('at work', `${server.id} is given key ${work.key} with token ${token} while ${other.id} is at work on it (${work.attempt}), ${Math.round(work.heldUntil - now)} ms before its hold runs out`)
        }
      }
      for (let key = from; key <= to; key++) {
        if (token <= highestToken[key] && highestHolder[key] !== server.id && highestHolder[key] !== undefined) report('token', `${server.id} takes key ${key} with token ${token}; ${highestHolder[key]} had it with ${highestToken[key]}`)
        if (token > highestToken[key]) {
          highestToken[key] = token
          highestHolder[key] = server.id
        }
      }
    },
    onBegin (server, key) {
      const now = performance.now()
      for (const other of servers) {
        if (other === server || !other.isUp || !(other.heldUntil[key] > now)) continue
        const since = Math.max(server.heldSince[key], other.heldSince[key])
        if (other.lastBegin[key] >= since) report('both begin', `${server.id} and ${other.id} hold key ${key} and both begin requests on it`)
      }
      server.lastBegin[key] = now
    }
  }
}

/**
 * Creates a server that holds keys. It does not listen yet.
 *
 * @param options Identity, record, checker, duration of a request, and `afterAnswer(request, answer)`, called after each answer.
 */
export function createKeyedBackend ({ id, record, checker, workMs, afterAnswer = () => {} }) {
  const seenToken = new Float64Array(KEYS)
  const sockets = new Set()
  const backend = {
    id,
    isUp: true,
    heldUntil: new Float64Array(KEYS),
    heldSince: new Float64Array(KEYS),
    lastBegin: new Float64Array(KEYS).fill(-1),
    running: new Set(),
    sockets,
    answers: 0,
    runs: 0
  }
  checker.add(backend)

  function answer (request, response, status, headers, body = '') {
    backend.answers++
    // Servers echo the identifier of a request in every response.
    const attempt = request.headers['gooseberryfold-attempt-id']
    if (attempt !== undefined) headers = { ...headers, 'Gooseberryfold-Attempt-Id': attempt }
    response.writeHead(status, { 'Content-Length': Buffer.byteLength(body), ...headers })
    response.end(body)
    afterAnswer(request, { status, headers, body })
  }

  function grant (call) {
    const { From: from, Target: to, fence: token } = call
    const now = performance.now()
    for (let key = from; key <= to; key++) if (token < seenToken[key]) return 409
    checker.onGrant(backend, { from, to, token })
    const until = now + parseHold(call.Hold)
    for (let key = from; key <= to; key++) {
      seenToken[key] = token
      if (!(backend.heldUntil[key] > now)) backend.heldSince[key] = now
      backend.heldUntil[key] = until
    }
    return 200
  }

  async function release (call) {
    const { From: from, Target: to, fence: token } = call
    for (let key = from; key <= to; key++) {
      seenToken[key] = Math.max(seenToken[key], token)
      backend.heldUntil[key] = 0
    }
    while ([...backend.running].some((work) => work.key >= from && work.key <= to)) await new Promise((resolve) => { setTimeout(resolve, 2) })
  }

  async function handle (request, response, body) {
    if (request.headers['gooseberryfold-target-instance'] !== undefined && request.headers['gooseberryfold-target-instance'] !== id) return answer(request, response, 421, { 'Gooseberryfold-Not-Executed': '1', 'Gooseberryfold-Instance-Id': id })
    if (request.url === '/-/grant') {
      const call = JSON.parse(body)
      const status = grant(call)
      record.add(`grant ${call.From}-${call.Target} fence ${call.fence} at ${id}: ${status}`)
      return answer(request, response, status, {})
    }
    if (request.url === '/-/release') {
      const call = JSON.parse(body)
      await release(call)
      record.add(`release ${call.From}-${call.Target} fence ${call.fence} at ${id}: work has ended`)
      return answer(request, response, 200, { 'Gooseberryfold-Handover': `h${call.fence}` })
    }
    if (request.url === '/health') return answer(request, response, 200, { 'Gooseberryfold-Instance-Id': id })
    const attempt = String(request.headers['gooseberryfold-attempt-id'])
    const key = Number(request.headers['gooseberryfold-shard-key'])
    const common = { 'Gooseberryfold-Attempt-Id': attempt, 'Keep-Alive': 'timeout=10' }
    const now = performance.now()
    if (!(backend.heldUntil[key] > now)) return answer(request, response, 421, { ...common, 'Gooseberryfold-Not-Executed': '1' })
    checker.onBegin(backend, key)
    const work = { key, attempt, heldUntil: backend.heldUntil[key] }
    backend.running.add(work)
    backend.runs++
    record.add(`run ${attempt} key ${key} at ${id}`)
    await new Promise((resolve) => { setTimeout(resolve, workMs()) })
    backend.running.delete(work)
    answer(request, response, 200, { ...common, 'Gooseberryfold-Backend-Signature': `s.${id}.${attempt}` }, `read ${attempt}`)
  }

  backend.server = createServer((request, response) => {
    const parts = []
    request.on('error', () => {})
    response.on('error', () => {})
    request.on('data', (part) => { parts.push(part) })
    request.on('end', () => { handle(request, response, Buffer.concat(parts).toString()) })
  })
  backend.server.keepAliveTimeout = 10_000
  backend.server.on('connection', (socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { sockets.delete(socket) })
  })
  return backend
}
