/** A host is stopped while a client, which sends requests behind one another, reads the answers slowly. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { configuration, route } from '../lib-2/configuration.mjs'
import { createServer, pause, runCase, startDeployment } from '../lib-2/harness.mjs'
import { connectClient } from '../lib-2/pipelining_client.mjs'

const CLIENTS = 4

/** Requests that a client has open at a time: pull clients have some tens. */
const OPEN_REQUESTS = 20

/** Length of an answer, the longest of the site files. */
const ANSWER_BYTES = 30_000

/** A client reads 32 KiB at a time, about 320 KiB/s. */
const READ_INTERVAL_MS = 100

const WORK_MS = 120
const DEADLINE_MS = 4000

await runCase(async (withTrouble) => {
  const deployment = await startDeployment({
    folder: dirname(fileURLToPath(import.meta.url)),
    configuration: configuration([route({ name: 'pulls', timeoutMs: DEADLINE_MS, goalMs: 2500 })])
  })
  const { hosts, log } = deployment
  try {
    const began = new Set()
    const body = Buffer.alloc(ANSWER_BYTES, 'a')
    for (let index = 0; index < 3; index++) {
      const server = createServer((request, response) => {
        const id = request.headers['gooseberryfold-attempt-id']
        began.add(id)
        setTimeout(() => { response.writeHead(200, { 'Gooseberryfold-Attempt-Id': id, 'Gooseberryfold-Backend-Signature': 'signed', 'Content-Length': ANSWER_BYTES }).end(body) }, WORK_MS)
      })
      await deployment.addServer({ id: `i-${index + 1}`, index, service: 'pulls', slots: 20, server })
    }
    await deployment.waitUntilReady()
    await pause(2000)
    const [host] = hosts
    const clients = Array.from({ length: CLIENTS }, () => connectClient(host, { readIntervalMs: READ_INTERVAL_MS }))
    const timer = setInterval(() => {
      for (const client of clients) if (client.mayStillSend && client.unanswered().length < OPEN_REQUESTS) client.send('/pulls/1', DEADLINE_MS)
    }, 50)
    await pause(3000)
    const signalledAt = performance.now()
    if (withTrouble) {
      log(`${host.name} gets SIGTERM`)
      host.child.kill('SIGTERM')
    }
    await pause(5000)
    clearInterval(timer)
    await pause(3000)
    let lost = 0
    for (const client of clients) {
      const passedOn = client.unanswered().filter(({ id, sentAt }) => began.has(id) && client.closedAt !== null && client.closedAt - sentAt < DEADLINE_MS)
      lost += passedOn.length
      log(`${client.requests.length} requests sent, ${client.requests.length - client.unanswered().length} answered; the connection ${client.closedAt === null ? 'is open' : `ended ${Math.round(client.closedAt - signalledAt)} ms after the signal`}${client.error === null ? '' : ` (${client.error})`}; passed on to a server, within their time and without a whole answer: ${passedOn.map(({ id }) => id).join(', ')}`)
      client.close()
    }
    const text = `${clients.reduce((sum, { requests }) => sum + requests.length, 0)} requests sent on ${clients.length} connections; ${lost} that had been passed on to a sound server got no whole answer before their connection ended`
    log(text)
    console.log(text)
    return lost > 0 ? 1 : 0
  } finally {
    await deployment.close()
  }
})
