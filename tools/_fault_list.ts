/** The faults that are injected into the processes and stand-ins of a cluster. */
import { setTimeout as delay } from 'node:timers/promises'
import type { Cluster, ClusterHost, ClusterServer } from './_cluster.ts'
import { readHostDumps, findHost, findOwner } from './_cluster_state.ts'
import { saveRecords, recordViolation, recordLeaving } from './_fault_checks.ts'

/** Time in which a restarted host must apply its peers' configuration, in milliseconds. */
const RESTART_RECOVERY_MS = 4000

/** Delay until a change appears in the platform's host list, in milliseconds. */
const HOST_LIST_LAG_MS = 1000

/** A fault and the action that ends it. */
export interface Fault {
  readonly name: string
  readonly inject: (cluster: Cluster) => Promise<void>
  readonly undo?: (cluster: Cluster) => Promise<void>
}

let undoActions: Array<() => void> = []

/** Reverts the last fault: restarts processes, undrains servers and lists them as live again. */
export function runUndoActions (): void {
  for (const undo of undoActions) undo()
  undoActions = []
}

async function killHost (cluster: Cluster, host: ClusterHost): Promise<void> {
  host.process.kill('SIGKILL')
  undoActions.push(() => { cluster.startHost(cluster.hosts.indexOf(host)) })
}

async function killServer (cluster: Cluster, server: ClusterServer): Promise<void> {
  await saveRecords(server)
  server.process.kill('SIGKILL')
  undoActions.push(() => { cluster.startServer(server.id) })
}

async function killZone (cluster: Cluster, zone: string): Promise<void> {
  const hosts = cluster.hosts.filter((host) => host.zone === zone)
  const servers = cluster.servers.filter((server) => server.zone === zone)
  for (const server of servers) await killServer(cluster, server)
  for (const host of hosts) await killHost(cluster, host)
  await cluster.updateHostList({ gone: [...hosts.map((host) => host.name), ...servers.map((server) => server.id)] })
}

/** Checks that a host has the newest configuration version of all hosts in force. */
async function hasNewestConfiguration (cluster: Cluster, host: ClusterHost): Promise<boolean> {
  const states = await readHostDumps(cluster)
  const versions = [...states.values()].map((dump) => dump.configuration.version)
  return states.get(host)?.configuration.version === Math.max(...versions)
}

async function freeze (target: ClusterHost | ClusterServer, durationMs: number): Promise<void> {
  target.process.kill('SIGSTOP')
  await delay(durationMs)
  target.process.kill('SIGCONT')
}

/** All faults. */
export const FAULTS: readonly Fault[] = [
  { name: 'none', inject: async () => {} },
  { name: 'SIGKILL of an entry host that does not lead', inject: async (cluster) => { await killHost(cluster, await findHost(cluster, { isLeader: false, zone: 'zone-1' })) } },
  { name: 'SIGKILL of a cell leader', inject: async (cluster) => { await killHost(cluster, await findHost(cluster, { isLeader: true, zone: 'zone-2' })) } },
  { name: 'SIGSTOP of an entry host for 3 s', inject: async (cluster) => { await freeze(await findHost(cluster, { isLeader: false, zone: 'zone-1' }), 3000) } },
  { name: 'SIGSTOP of a cell leader for 3 s', inject: async (cluster) => { await freeze(await findHost(cluster, { isLeader: true, zone: 'zone-1' }), 3000) } },
  { name: 'SIGKILL of a server that checks grants', inject: async (cluster) => { await killServer(cluster, await findOwner(cluster, 'catalogue')) } },
  { name: 'SIGKILL of a server that does not check', inject: async (cluster) => { await killServer(cluster, await findOwner(cluster, 'permits')) } },
  { name: 'SIGSTOP of a server that checks grants, 4 s', inject: async (cluster) => { await freeze(await findOwner(cluster, 'catalogue'), 4000) } },
  { name: 'SIGSTOP of a server that does not check, 4 s', inject: async (cluster) => { await freeze(await findOwner(cluster, 'permits'), 4000) } },
  { name: 'platform down', inject: async (cluster) => { await cluster.setFaults({ cutZones: ['*'] }) }, undo: async (cluster) => { await cluster.setFaults({ cutZones: [] }) } },
  {
    name: 'platform down, then SIGKILL of a cell leader',
    inject: async (cluster) => {
      const leader = await findHost(cluster, { isLeader: true, zone: 'zone-3' })
      await cluster.setFaults({ cutZones: ['*'] })
      await delay(1000)
      await killHost(cluster, leader)
    },
    undo: async (cluster) => { await cluster.setFaults({ cutZones: [] }) }
  },
  {
    name: 'platform down, then restart of an entry host',
    inject: async (cluster) => {
      const host = await findHost(cluster, { isLeader: false, zone: 'zone-2' })
      await cluster.setFaults({ cutZones: ['*'] })
      host.process.kill('SIGKILL')
      await delay(500)
      cluster.startHost(cluster.hosts.indexOf(host))
      await delay(RESTART_RECOVERY_MS)
      if (!await hasNewestConfiguration(cluster, host)) recordViolation()
    },
    undo: async (cluster) => { await cluster.setFaults({ cutZones: [] }) }
  },
  {
    name: 'platform cut from one zone, SIGKILL of a server there',
    inject: async (cluster) => {
      const server = await findOwner(cluster, 'catalogue')
      await cluster.setFaults({ cutZones: [server.zone] })
      await delay(1000)
      await killServer(cluster, server)
    },
    undo: async (cluster) => { await cluster.setFaults({ cutZones: [] }) }
  },
  {
    name: 'lost answers to three writes, SIGKILL of a server',
    inject: async (cluster) => {
      await cluster.setFaults({ loseWriteAnswers: 3 })
      await killServer(cluster, await findOwner(cluster, 'catalogue'))
    }
  },
  { name: 'platform 300 ms slow', inject: async (cluster) => { await cluster.setFaults({ slowMs: 300 }) }, undo: async (cluster) => { await cluster.setFaults({ slowMs: 0 }) } },
  {
    name: 'drain of a server that does not check',
    inject: async (cluster) => {
      const server = await findOwner(cluster, 'permits')
      await cluster.runCommand('drain', server.id)
      recordLeaving(server.id, Date.now())
      undoActions.push(() => { cluster.runCommand('undrain', server.id).catch(() => {}) })
    }
  },
  {
    name: 'server that checks grants is listed as leaving',
    inject: async (cluster) => {
      const { id, service, zone, address } = await findOwner(cluster, 'catalogue')
      await cluster.updateHostList({ servers: [{ id, service, zone, address, state: 'leaving' }] })
      recordLeaving(id, Date.now() + HOST_LIST_LAG_MS)
      undoActions.push(() => { cluster.updateHostList({ servers: [{ id, service, zone, address, state: 'live' }] }).catch(() => {}) })
    }
  },
  {
    name: 'SIGTERM of an entry host that does not lead',
    inject: async (cluster) => {
      const host = await findHost(cluster, { isLeader: false, zone: 'zone-3' })
      host.process.kill('SIGTERM')
      undoActions.push(() => { cluster.startHost(cluster.hosts.indexOf(host)) })
    }
  },
  {
    name: 'loss of a whole availability zone, hosts and servers',
    inject: async (cluster) => { await killZone(cluster, 'zone-3') },
    undo: async (cluster) => {
      await cluster.updateHostList({
        hosts: cluster.hosts.map((host) => ({ host: host.name, zone: host.zone, state: 'live' })),
        servers: cluster.servers.map(({ id, service, zone, address }) => ({ id, service, zone, address, state: 'live' }))
      })
    }
  },
  {
    name: 'SIGTERM of a cell leader',
    inject: async (cluster) => {
      const host = await findHost(cluster, { isLeader: true, zone: 'zone-3' })
      host.process.kill('SIGTERM')
      undoActions.push(() => { cluster.startHost(cluster.hosts.indexOf(host)) })
    }
  }
]
