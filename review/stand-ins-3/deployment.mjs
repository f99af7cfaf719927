/** A small deployment: a store, entries of servers, and entry hosts. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { findNetwork, Host, waitUntilReady } from './hosts.mjs'
import { Store } from './store.mjs'

export const ZONES = ['luzon-a', 'luzon-b', 'luzon-c']

const HEARTBEAT_MS = 1500

/** A line of the record for each event. */
export class Record {
  #lines = []
  #startedAt = performance.now()
  add (kind, details = {}) { this.#lines.push(`${((performance.now() - this.#startedAt) / 1000).toFixed(3)} ${kind} ${JSON.stringify(details)}`) }
  text () { return `${this.#lines.join('\n')}\n` }
}

/** Writes the entry of a server, every heartbeat. */
export class Heart {
  #seq = 0
  #timer
  constructor (store, { id, service, address, zone, slots, born = Date.now() }) {
    this.entry = { Service: service, Address: address, Zone: zone, Version: 'v1', Slots: slots, State: 'ready', WarmupLeft: '0ms', born }
    this.id = id
    this.store = store
    this.beat()
    this.#timer = setInterval(() => { this.beat() }, HEARTBEAT_MS)
  }

  beat () { this.store.put('servers', this.id, { ...this.entry, Seq: ++this.#seq }) }

  stop () { clearInterval(this.#timer) }
}

/** Configuration with one route a service. */
export function configuration (services) {
  return {
    Version: 1,
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' },
    Listeners: services.map(({ name, kind = 'idempotent', timeout = '2000ms', goal = '500ms', attempts = 2 }) => ({
      Host: `${name}.example`,
      Rules: [{ Name: `r-${name}`, Kind: kind, LatencyGoal: goal, Priority: 1, Match: { Prefix: `/${name}/` }, Action: { Service: name, Timeout: timeout, MaxAttempts: attempts } }]
    })),
    Clusters: services.map(({ name }) => ({ Name: name, HealthPath: '/health', MaxConns: 244, Protocol: 'h1', Tls: false }))
  }
}

/** Starts the store and the entry hosts, one in each zone in turn. */
export async function startDeployment ({ hosts: count, services }) {
  const folder = mkdtempSync(join(tmpdir(), 'gooseberryfold-'))
  const ips = await findNetwork(count + 1)
  const store = new Store()
  await store.listen(ips[count])
  store.put('op', 'config', configuration(services))
  const hosts = []
  for (let index = 0; index < count; index++) {
    hosts.push(await Host.start({ name: `edge-${index + 1}`, ip: ips[index], zone: ZONES[index % ZONES.length], storeAddress: store.address, folder }))
  }
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => { Promise.all(hosts.map((host) => host.end())).then(() => process.exit(2)) })
  }
  return {
    store,
    hosts,
    serverIp: ips[count],
    async waitUntilReady () {
      const ready = await Promise.all(hosts.map((host) => waitUntilReady(host, 15_000)))
      if (!ready.every(Boolean)) throw new Error('Not every entry host became ready')
    },
    async end () {
      await Promise.all(hosts.map((host) => host.end()))
      store.close()
      rmSync(folder, { recursive: true, force: true })
    }
  }
}
