/**
 * Stand-in for a backend server whose keys are granted to it, as the pages
 * describe it: it runs a request only while it holds the key, accepts grants
 * unless it has seen a higher fencing token on one of their keys, and responds
 * to a release when the work on these keys has ended. A new start holds nothing.
 */
import { createServer } from 'node:http'

/** Parses a time with its unit. */
function parseMs (text) {
  const [, number, unit] = /^([\d.]+)(ms|s)$/.exec(text)
  return Number(number) * (unit === 's' ? 1000 : 1)
}

/**
 * Creates a server that does not listen yet.
 *
 * @param options Identifier, time that a request takes, and callbacks.
 * @returns The server, with its grants.
 */
export function createKeyedServer ({ id, workMs = 20, log, onRun = () => {} }) {
  const now = () => performance.now()
  /** Grants in force; each key belongs to the newest grant that covers it. */
  let grants = []
  let seen = []
  let running = []
  const sockets = new Set()

  const overlaps = (left, right) => left.from <= right.to && right.from <= left.to
  const holdsKey = (key) => grants.some((grant) => grant.from <= key && key <= grant.to && grant.until > now())

  /** Takes a span out of the grants in force. */
  function cut (span) {
    grants = grants.flatMap((grant) => {
      if (!overlaps(grant, span)) return [grant]
      const parts = []
      if (grant.from < span.from) parts.push({ ...grant, to: span.from - 1 })
      if (grant.to > span.to) parts.push({ ...grant, from: span.to + 1 })
      return parts
    })
  }

  async function control (request, response, body) {
    const call = JSON.parse(body)
    const span = { from: call.From, to: call.Target }
    if (request.headers['gooseberryfold-target-instance'] !== id) return response.writeHead(421, { 'Gooseberryfold-Instance-Id': id }).end()
    if (request.url === '/-/grant') {
      if (seen.some((entry) => overlaps(entry, span) && entry.fence > call.fence)) return response.writeHead(409).end()
      seen = [...seen.filter((entry) => !(entry.from >= span.from && entry.to <= span.to)), { ...span, fence: call.fence }]
      cut(span)
      grants.push({ ...span, fence: call.fence, until: now() + parseMs(call.Hold) })
      server.onGrant?.({ ...span, fence: call.fence, holdMs: parseMs(call.Hold) })
      return response.writeHead(200).end()
    }
    cut(span)
    server.onRelease?.(span)
    while (running.some((key) => span.from <= key && key <= span.to)) await new Promise((resolve) => { setTimeout(resolve, 5) })
    response.writeHead(200, { 'Gooseberryfold-Handover': `${id}-${span.from}` }).end()
  }

  const http = createServer((request, response) => {
    const parts = []
    request.on('error', () => {})
    request.on('data', (part) => { parts.push(part) })
    request.on('end', () => {
      const body = Buffer.concat(parts).toString()
      if (request.url.startsWith('/-/')) return control(request, response, body)
      const attempt = request.headers['gooseberryfold-attempt-id']
      if (attempt === undefined) return response.writeHead(200, { 'Gooseberryfold-Instance-Id': id }).end()
      const key = Number(request.headers['gooseberryfold-shard-key'])
      const identity = { 'Gooseberryfold-Attempt-Id': attempt }
      if (request.headers['gooseberryfold-target-instance'] !== id || !holdsKey(key)) return response.writeHead(421, { ...identity, 'Gooseberryfold-Not-Executed': '1', 'Gooseberryfold-Instance-Id': id }).end()
      running.push(key)
      onRun({ id, attempt, key })
      log(`${id} runs ${attempt}, key ${key}`)
      setTimeout(() => {
        running.splice(running.indexOf(key), 1)
        response.writeHead(200, { ...identity, 'Gooseberryfold-Backend-Signature': `signed-${id}` }).end(`done ${attempt}`)
      }, workMs)
    })
  })
  http.on('connection', (socket) => {
    sockets.add(socket)
    socket.once('close', () => { sockets.delete(socket) })
  })

  const server = {
    id,
    http,
    /** Grants that have not expired. */
    held: () => grants.filter(({ until }) => until > now()),
    holdsKey,
    /** Ends the process of the server: all connections are reset, and new ones are refused. */
    async crash () {
      grants = []
      seen = []
      running = []
      const closed = new Promise((resolve) => { http.close(resolve) })
      for (const socket of sockets) socket.resetAndDestroy()
      await closed
    },
    onGrant: null,
    onRelease: null
  }
  return server
}
