/** What the hosts and servers of a cluster say of themselves. */
import { request } from 'undici'
import type { RunRecord } from '../standins/backend_server.ts'
import type { Cluster, ClusterHost, ClusterServer } from './_cluster.ts'

/** A host's state, as far as it is used here. */
export interface HostDump {
  readonly cell: string
  readonly configuration: { readonly version: number }
  readonly leadership: { readonly role: string }
  readonly view: { readonly owners: Record<string, Record<string, string>>, readonly servers: ReadonlyArray<{ readonly id: string, readonly dispatcher: string | null }> } | null
}

async function getJson (url: string): Promise<unknown> {
  const response = await request(url, { signal: AbortSignal.timeout(1500) })
  return await response.body.json()
}

/** Reads the state of every host that answers. */
export async function readHostDumps (cluster: Cluster): Promise<Map<ClusterHost, HostDump>> {
  const found = new Map<ClusterHost, HostDump>()
  await Promise.all(cluster.hosts.map(async (host) => {
    try {
      found.set(host, await getJson(`http://${host.operatorAddress}/dump`) as HostDump)
    } catch {}
  }))
  return found
}

/** Reads the owner of each slice, by `service/slice`. */
export async function owners (cluster: Cluster): Promise<Map<string, string>> {
  const all = new Map<string, string>()
  for (const dump of (await readHostDumps(cluster)).values()) {
    for (const [service, slices] of Object.entries(dump.view?.owners ?? {})) {
      for (const [slice, server] of Object.entries(slices)) all.set(`${service}/${slice}`, server)
    }
  }
  return all
}

/** Reads the requests that a server has run; none where it does not answer. */
export async function readRecords (server: ClusterServer): Promise<RunRecord[]> {
  try {
    return await getJson(`http://${server.address}/standin/records`) as RunRecord[]
  } catch {
    return []
  }
}

/** Finds a host of a zone that leads, or one that does not. */
export async function findHost (cluster: Cluster, wanted: { readonly isLeader: boolean, readonly zone: string }): Promise<ClusterHost> {
  for (const [host, dump] of await readHostDumps(cluster)) {
    if (host.zone !== wanted.zone || (dump.leadership.role === 'leader') !== wanted.isLeader) continue
    return host
  }
  throw new Error(`No host of ${wanted.zone} has the wanted role`)
}

/** Finds a server that owns slices of a service. */
export async function findOwner (cluster: Cluster, service: string): Promise<ClusterServer> {
  const counts = new Map<string, number>()
  for (const [unit, server] of await owners(cluster)) {
    if (unit.startsWith(`${service}/`)) counts.set(server, (counts.get(server) ?? 0) + 1)
  }
  const id = [...counts.keys()].sort()[0]
  const server = cluster.servers.find((candidate) => candidate.id === id)
  if (server === undefined) throw new Error(`No server owns a slice of ${service}`)
  return server
}
