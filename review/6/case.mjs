/**
 * A backend server crashes and comes back. Later the servers of its service are
 * replaced one after the other, and it is the second that leaves.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { send } from '../lib-2/clients.mjs'
import { configuration, route } from '../lib-2/configuration.mjs'
import { createServer, pause, runCase, startDeployment } from '../lib-2/harness.mjs'
import { createKeyedServer } from '../lib-2/keyed_server.mjs'
import { observeOwnership } from '../lib-2/ownership.mjs'

const SERVERS = 7

/** Time for which the crashed server is down; the site files have 5 s and more. */
const DOWN_MS = 3000

/** Interval between two requests for one key at each host. */
const REQUEST_INTERVAL_MS = 2000

/** Time for which a server that leaves goes on serving: `Drain`, and a little longer. */
const SERVES_ON_MS = 3500

await runCase(async (withTrouble) => {
  const deployment = await startDeployment({
    folder: dirname(fileURLToPath(import.meta.url)),
    configuration: configuration([route({ name: 'ledger' }), route({ name: 'lookups' })], { clusters: [{ Name: 'ledger', Sharded: true, Warm: '3s', Grants: 'direct' }] })
  })
  const { hosts, log, store } = deployment
  const up = new Set()
  try {
    let started = 0
    async function startKeyedServer (index) {
      const server = createKeyedServer({ id: `i-${++started}`, log })
      server.entry = await deployment.addServer({ id: server.id, index, service: 'ledger', server: server.http })
      up.add(server)
      log(`${server.id} starts at ${server.entry.entry.Address} in ${server.entry.entry.Zone}`)
      return server
    }
    /** The server's entry is removed; it serves on for some time and then ends. */
    async function leave (server) {
      server.entry.stopBeat()
      store.remove('servers', server.id)
      server.onRelease = ({ from, to }) => { log(`${server.id} gets a release of ${from} to ${to}`) }
      log(`the entry of ${server.id} is removed; it holds ${server.held().length} ranges and serves on for ${SERVES_ON_MS} ms`)
      await pause(SERVES_ON_MS)
      up.delete(server)
      await server.crash()
      log(`${server.id} has ended`)
    }

    const servers = []
    for (let index = 0; index < SERVERS; index++) servers.push(await startKeyedServer(index))
    for (let index = 0; index < 3; index++) {
      const lookups = createServer((request, response) => {
        setTimeout(() => { response.writeHead(200, { 'Gooseberryfold-Attempt-Id': request.headers['gooseberryfold-attempt-id'], 'Gooseberryfold-Backend-Signature': 'signed' }).end('done') }, 20)
      })
      await deployment.addServer({ id: `l-${index + 1}`, index: 20 + index, service: 'lookups', server: lookups })
    }
    await deployment.waitUntilReady()
    await pause(3500)
    const [crashing] = servers
    const replacedFirst = servers.at(-1)
    const key = crashing.held()[0].from
    log(`requests for key ${key}, which ${crashing.id} holds, reach each host every ${REQUEST_INTERVAL_MS} ms`)
    const statuses = {}
    function requestKey () {
      for (const host of hosts) {
        send(host, { path: '/ledger/1', key }).then(({ id, status, error }) => {
          log(`${host.name}: ${id} is answered ${status}${error === null ? '' : ` (${error})`}`)
          statuses[status] = (statuses[status] ?? 0) + 1
        })
      }
    }
    requestKey()
    const keyed = setInterval(requestKey, REQUEST_INTERVAL_MS)
    const others = setInterval(() => { for (const host of hosts) send(host, { path: '/lookups/1' }) }, 100)
    const observation = observeOwnership(up, log)
    await pause(REQUEST_INTERVAL_MS - 100)
    if (withTrouble) {
      log(`${crashing.id} crashes`)
      up.delete(crashing)
      crashing.entry.stopBeat()
      await crashing.crash()
      await pause(DOWN_MS)
      await new Promise((resolve) => { crashing.http.listen(crashing.entry.address.port, crashing.entry.address.host, resolve) })
      Object.assign(crashing.entry.entry, { born: Date.now(), Seq: 1 })
      crashing.entry.startBeat()
      up.add(crashing)
      log(`${crashing.id} is back, with the same identifier`)
    } else await pause(DOWN_MS)
    await pause(6000)
    log(`${crashing.id} holds ${crashing.held().length} ranges`)
    for (const [index, server] of [replacedFirst, crashing].entries()) {
      await startKeyedServer(10 + index)
      await pause(3000)
      await leave(server)
      await pause(2000)
    }
    await pause(3000)
    const { longestMs, pair, keys, sampled } = observation.stop()
    clearInterval(keyed)
    clearInterval(others)
    const text = `two servers that were up (${pair === null ? 'none' : pair.join(', ')}) held the same keys for up to ${longestMs} ms; for over 500 ms: ${keys} of ${sampled} sampled keys; statuses of requests with the key: ${JSON.stringify(statuses)}`
    log(text)
    console.log(text)
    for (const host of hosts) for (const line of deployment.outputOf(host, 400).filter((candidate) => /event=server-(ended|restarted|gone)/.test(candidate))) log(`${host.name} writes: ${line}`)
    return longestMs > 500 ? 1 : 0
  } finally {
    await deployment.close()
  }
})
