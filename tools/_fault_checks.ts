/** Checks the servers' request records for violations after a fault. */
import type { RunRecord } from '../standins/backend_server.ts'
import type { Cluster, ClusterServer } from './_cluster.ts'
import { readRecords } from './_cluster_state.ts'

/** Time after which a leaving server must not receive new requests, in milliseconds. */
const LEAVING_LIMIT_MS = 4000

/** Records of killed servers, keyed by server id. */
const savedRecords = new Map<string, RunRecord[]>()

/** Times at which servers began to leave, in wall-clock milliseconds, keyed by server id. */
const leavingSince = new Map<string, number>()

/** Saves the records of a server before it is killed. */
export async function saveRecords (server: ClusterServer): Promise<void> {
  savedRecords.set(server.id, [...(savedRecords.get(server.id) ?? []), ...await readRecords(server)])
}

/** Violations since the last count that do not appear in the servers' records. */
let recordedViolations = 0

/** Counts a violation that does not appear in the servers' records. */
export function recordViolation (): void {
  recordedViolations++
}

/** Records the time at which a server begins to leave. */
export function recordLeaving (server: string, since: number): void {
  leavingSince.set(server, since)
}

/** Counts keys that two servers executed at once, orders executed twice, late requests and recorded violations. */
export async function countViolations (cluster: Cluster): Promise<number> {
  const runsByKey = new Map<string, Array<RunRecord & { readonly server: string }>>()
  const orderCounts = new Map<string, number>()
  for (const server of cluster.servers) {
    const all = [...(savedRecords.get(server.id) ?? []), ...await readRecords(server)]
    for (const record of all.filter((candidate) => candidate.committed)) {
      if (record.method === 'POST') orderCounts.set(record.path, (orderCounts.get(record.path) ?? 0) + 1)
      else runsByKey.set(record.path, [...(runsByKey.get(record.path) ?? []), { ...record, server: server.id }])
    }
  }
  const overlapping = [...runsByKey].filter(([, runs]) => hasOverlap(runs))
  for (const [path, runs] of overlapping) console.error(`key executed by two servers at once: ${path}: ${JSON.stringify(findOverlaps(runs))}`)
  const overlaps = overlapping.length
  const duplicatedOrders = [...orderCounts.values()].filter((count) => count > 1).length
  if (duplicatedOrders > 0) console.error(`orders executed twice: ${duplicatedOrders}`)
  const otherViolations = recordedViolations
  recordedViolations = 0
  return overlaps + duplicatedOrders + otherViolations + await countLateRequests(cluster)
}

/** Counts the requests that began at a leaving server after the time limit. */
async function countLateRequests (cluster: Cluster): Promise<number> {
  let late = 0
  for (const [id, since] of leavingSince) {
    const server = cluster.servers.find((candidate) => candidate.id === id)
    if (server === undefined) continue
    late += (await readRecords(server)).filter((record) => record.startedAt > since + LEAVING_LIMIT_MS).length
  }
  leavingSince.clear()
  return late
}

type ServerRun = RunRecord & { readonly server: string }

function hasOverlap (runs: readonly ServerRun[]): boolean {
  return findOverlaps(runs).length > 0
}

/** Finds pairs of runs of a key where the second began at another server before the first had ended. */
function findOverlaps (runs: readonly ServerRun[]): ServerRun[][] {
  const ordered = [...runs].sort((left, right) => left.startedAt - right.startedAt)
  return ordered.flatMap((run, index) => {
    const next = ordered[index + 1]
    return next !== undefined && next.server !== run.server && next.startedAt < run.endedAt - 1 ? [[run, next]] : []
  })
}
