/** Reads the state of the hosts and servers of a cluster from their HTTP endpoints. */
import { request } from 'undici'
import type { RunRecord } from '../standins/backend_server.ts'
import type { Cluster, ClusterHost, ClusterServer } from './_cluster.ts'

/** The fields of a host's `/dump` response that the tools use. */
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

/** Reads the state of every host that responds. */
export async function readHostDumps (cluster: Cluster): Promise<Map<ClusterHost, HostDump>> {
  const hostDumps = new Map<ClusterHost, HostDump>()
  await Promise.all(cluster.hosts.map(async (host) => {
    try {
      hostDumps.set(host, await getJson(`http://${host.operatorAddress}/dump`) as HostDump)
    } catch {}
  }))
  return hostDumps
}

/** Reads the owner of each slice, keyed by `service/slice`. */
export async function readOwners (cluster: Cluster): Promise<Map<string, string>> {
  const ownerBySlice = new Map<string, string>()
  for (const dump of (await readHostDumps(cluster)).values()) {
    for (const [service, slices] of Object.entries(dump.view?.owners ?? {})) {
      for (const [slice, server] of Object.entries(slices)) ownerBySlice.set(`${service}/${slice}`, server)
    }
  }
  return ownerBySlice
}

/** Reads the requests that a server has executed; returns an empty list when it does not respond. */
export async function readRecords (server: ClusterServer): Promise<RunRecord[]> {
  try {
    return await getJson(`http://${server.address}/standin/records`) as RunRecord[]
  } catch {
    return []
  }
}

/** Finds a host in a zone that leads its cell or, with `isLeader` false, one that does not. */
export async function findHost (cluster: Cluster, criteria: { readonly isLeader: boolean, readonly zone: string }): Promise<ClusterHost> {
  for (const [host, dump] of await readHostDumps(cluster)) {
    if (host.zone !== criteria.zone || (dump.leadership.role === 'leader') !== criteria.isLeader) continue
    return host
  }
  throw new Error(`No host in ${criteria.zone} has the requested role`)
}

/** Finds the server with the lowest id that owns slices of a service. */
export async function findOwner (cluster: Cluster, service: string): Promise<ClusterServer> {
  const sliceCounts = new Map<string, number>()
  for (const [slice, server] of await readOwners(cluster)) {
    if (slice.startsWith(`${service}/`)) sliceCounts.set(server, (sliceCounts.get(server) ?? 0) + 1)
  }
  const id = [...sliceCounts.keys()].sort()[0]
  const server = cluster.servers.find((candidate) => candidate.id === id)
  if (server === undefined) throw new Error(`No server owns a slice of ${service}`)
  return server
}
