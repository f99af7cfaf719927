/** Clients send requests behind one another; some answers of one server have no length and end with their connection. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { configuration, route } from '../lib-2/configuration.mjs'
import { createServer, pause, runCase, startDeployment } from '../lib-2/harness.mjs'
import { connectClient } from '../lib-2/pipelining_client.mjs'

const CLIENTS = 6

/** Requests that a client has open at a time. */
const OPEN_REQUESTS = 8

/** One in so many answers of one of three servers has no length: 5 in 100. */
const UNFRAMED_EVERY = 20

const WORK_MS = 120
const DEADLINE_MS = 4000
const TRAFFIC_MS = 5000

await runCase(async (withTrouble) => {
  const deployment = await startDeployment({
    folder: dirname(fileURLToPath(import.meta.url)),
    configuration: configuration([route({ name: 'pulls', timeoutMs: DEADLINE_MS, goalMs: 2500 })])
  })
  const { hosts, log } = deployment
  try {
    const began = new Map()
    let answers = 0
    let unframed = 0
    for (let index = 0; index < 3; index++) {
      const server = createServer((request, response) => {
        const id = request.headers['gooseberryfold-attempt-id']
        began.set(id, `i-${index + 1}`)
        setTimeout(() => {
          const headers = { 'Gooseberryfold-Attempt-Id': id, 'Gooseberryfold-Backend-Signature': 'signed' }
          if (index === 0 && withTrouble && ++answers % UNFRAMED_EVERY === 0) {
            unframed++
            log(`i-1 answers ${id} without a length, and ends the connection`)
            response.useChunkedEncodingByDefault = false
            response.writeHead(200, { ...headers, Connection: 'close' }).end('done')
          } else response.writeHead(200, headers).end('done')
        }, WORK_MS)
      })
      await deployment.addServer({ id: `i-${index + 1}`, index, service: 'pulls', slots: 8, server })
    }
    await deployment.waitUntilReady()
    await pause(2000)
    const clients = []
    const ending = new AbortController()
    /** Keeps requests open on a connection, and connects again when it has been closed. */
    async function run (host) {
      while (!ending.signal.aborted) {
        const client = connectClient(host)
        clients.push({ client, host })
        while (client.closedAt === null && !ending.signal.aborted) {
          if (client.mayStillSend && client.unanswered().length < OPEN_REQUESTS) client.send('/pulls/1', DEADLINE_MS)
          await pause(10)
        }
      }
    }
    const runs = Array.from({ length: CLIENTS }, (_, index) => run(hosts[index % hosts.length]))
    await pause(TRAFFIC_MS)
    ending.abort()
    await Promise.all(runs)
    await pause(1000)
    let passedOn = 0
    let sent = 0
    let wrong = 0
    for (const { client, host } of clients) {
      sent += client.requests.length
      wrong += client.requests.filter(({ id, answeredId }) => answeredId !== undefined && answeredId !== id).length
      if (client.closedAt === null) {
        client.close()
        continue
      }
      const lost = client.unanswered().filter(({ id }) => began.has(id))
      passedOn += lost.length
      log(`${host.name} has closed a connection; of its ${client.requests.length} requests ${client.unanswered().length} have no answer; passed on to a server: ${lost.map(({ id }) => `${id} to ${began.get(id)}`).join(', ')}`)
    }
    const text = `${sent} requests sent on ${clients.length} connections; ${unframed} of ${answers} answers of i-1 had no length; ${passedOn} requests that had been passed on to a sound server got no answer, as the host closed their connection; answers to another request: ${wrong}`
    log(text)
    console.log(text)
    return passedOn > 3 ? 1 : 0
  } finally {
    await deployment.close()
  }
})
