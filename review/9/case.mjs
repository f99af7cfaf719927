/** One of three servers at a time is in trouble: a small share of its answers has a body without end, in chunks of one byte. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { send } from '../lib-2/clients.mjs'
import { configuration, route } from '../lib-2/configuration.mjs'
import { createServer, pause, runCase, startDeployment } from '../lib-2/harness.mjs'

/** Times at which the server is in trouble, in milliseconds from the start of the traffic, and how long. */
const TROUBLE_AT_MS = Array.from({ length: 8 }, (_, index) => 3000 + index * 9000)
const TROUBLE_MS = 5500

/** Servers; the first two are in trouble in turn. */
const SERVERS = 3
const IN_TROUBLE = 2

/** Of the answers of a server in trouble, one in so many is spoiled: 2 in 100. */
const SPOILED_EVERY = 50

/** Interval between two requests at each host. */
const INTERVAL_MS = 16

const WORK_MS = 30
/** Time that clients wait, and timeout of the route. */
const DEADLINE_MS = 4000

/** Time after which the platform starts a process that has ended again. */
const RESTART_MS = 500

/** One-byte chunks. */
const BLOCK = Buffer.from('1\r\nx\r\n'.repeat(10_000))

await runCase(async (withTrouble) => {
  const deployment = await startDeployment({
    folder: dirname(fileURLToPath(import.meta.url)),
    enforcesMemory: true,
    configuration: configuration([route({ name: 'scans', kind: 'upload', timeoutMs: DEADLINE_MS })])
  })
  const { hosts, log } = deployment
  try {
    /** Index of the server in trouble; -1 if there is none. */
    let inTrouble = -1
    /** Answers of each server during the trouble, and those of them that were spoiled. */
    const answered = Array.from({ length: IN_TROUBLE }, () => 0)
    let spoiled = 0

    /** Sends a body until the caller closes the connection. */
    function sendWithoutEnd (socket, { id, server }) {
      log(`${server} answers ${id} without end`)
      socket.on('error', () => {})
      socket.write(`HTTP/1.1 200 OK\r\nGooseberryfold-Attempt-Id: ${id}\r\nGooseberryfold-Backend-Signature: signed\r\nTransfer-Encoding: chunked\r\n\r\n`)
      const write = () => {
        while (!socket.destroyed) if (!socket.write(BLOCK)) return socket.once('drain', write)
      }
      write()
    }

    for (let index = 0; index < SERVERS; index++) {
      const server = createServer((request, response) => {
        request.resume()
        request.on('end', () => {
          const id = request.headers['gooseberryfold-attempt-id']
          setTimeout(() => {
            if (index === inTrouble && ++answered[index] % SPOILED_EVERY === 0) {
              spoiled++
              return sendWithoutEnd(request.socket, { id, server: `i-${index + 1}` })
            }
            response.writeHead(200, { 'Gooseberryfold-Attempt-Id': id, 'Gooseberryfold-Backend-Signature': 'signed' }).end('done')
          }, WORK_MS)
        })
      })
      await deployment.addServer({ id: `i-${index + 1}`, index, service: 'scans', slots: 6, server })
    }
    await deployment.waitUntilReady()
    await pause(2000)
    for (const host of hosts) {
      const restart = () => { host.child.once('exit', () => setTimeout(() => { if (!isClosing) { host.start(); restart() } }, RESTART_MS)) }
      restart()
    }
    let isClosing = false
    const results = {}
    const timer = setInterval(() => {
      for (const host of hosts) {
        if (host.exit !== null) continue
        send(host, { path: '/scans/1', method: 'POST', body: 'a scan', deadlineMs: DEADLINE_MS }).then(({ status, error }) => {
          const name = status === 0 ? error : status
          results[name] = (results[name] ?? 0) + 1
        })
      }
    }, INTERVAL_MS)
    const startedAt = performance.now()
    for (const [turn, at] of TROUBLE_AT_MS.entries()) {
      await pause(at - (performance.now() - startedAt))
      const next = turn % IN_TROUBLE
      log(`i-${next + 1} ${withTrouble ? 'is' : 'would be'} in trouble`)
      inTrouble = withTrouble ? next : -1
      await pause(TROUBLE_MS)
      inTrouble = -1
      log(`all servers are sound again; so far ${spoiled} of the ${answered.join(' + ')} answers of these two during the trouble were spoiled; process ends: ${hosts.map(({ name, exits }) => `${name} ${exits.length}`).join(', ')}`)
    }
    await pause(4000)
    clearInterval(timer)
    isClosing = true
    const ends = hosts.map(({ exits }) => exits.length)
    const text = `processes ended by themselves: ${hosts.map(({ name, exits }) => `${name} ${exits.length} times (${exits.map(({ signal, code, overMb }) => overMb > 0 ? `${overMb} MB` : signal ?? `code ${code}`).join(', ')})`).join('; ')}; ${spoiled} of the ${answered.join(' + ')} answers of i-1 and i-2 during the trouble had no end; answers to clients: ${JSON.stringify(results)}`
    log(text)
    console.log(text)
    // A tenth of the machines, two at least, three times each.
    return ends.filter((count) => count >= 3).length >= 2 ? 1 : 0
  } finally {
    await deployment.close()
  }
})
