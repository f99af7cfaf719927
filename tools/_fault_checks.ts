/** Checks of the servers' own records after a fault. */
import type { RunRecord } from '../standins/backend_server.ts'
import type { Cluster, ClusterServer } from './_cluster.ts'
import { readRecords } from './_cluster_state.ts'

/** Time after which a leaving server gets nothing new, in milliseconds. */
const LEAVING_BOUND_MS = 4000

/** Records of servers that were killed. */
const lostRecords = new Map<string, RunRecord[]>()

/** When servers began to leave, in wall-clock milliseconds. */
const leavingSince = new Map<string, number>()

/** Keeps the records of a server that is about to be killed. */
export async function saveRecords (server: ClusterServer): Promise<void> {
  lostRecords.set(server.id, [...(lostRecords.get(server.id) ?? []), ...await readRecords(server)])
}

/** Rules that were seen broken otherwise since the last count. */
let seenBroken = 0

/** Notes a broken rule that no record shows. */
export function recordViolation (): void {
  seenBroken++
}

/** Notes that a server leaves from a moment on. */
export function recordLeaving (server: string, since: number): void {
  leavingSince.set(server, since)
}

/** Finds keys that two servers ran at once, and orders that were run twice. */
export async function countViolations (cluster: Cluster): Promise<number> {
  const byKey = new Map<string, Array<RunRecord & { readonly server: string }>>()
  const orders = new Map<string, number>()
  for (const server of cluster.servers) {
    const all = [...(lostRecords.get(server.id) ?? []), ...await readRecords(server)]
    for (const record of all.filter((candidate) => candidate.committed)) {
      if (record.method === 'POST') orders.set(record.path, (orders.get(record.path) ?? 0) + 1)
      else byKey.set(record.path, [...(byKey.get(record.path) ?? []), { ...record, server: server.id }])
    }
  }
  const overlapping = [...byKey].filter(([, runs]) => hasOverlap(runs))
  for (const [path, runs] of overlapping) console.error(`two servers at once: ${path}: ${JSON.stringify(overlapsOf(runs))}`)
  const overlaps = overlapping.length
  const doubled = [...orders.values()].filter((count) => count > 1).length
  if (doubled > 0) console.error(`orders that ran twice: ${doubled}`)
  const otherwise = seenBroken
  seenBroken = 0
  return overlaps + doubled + otherwise + await countLateWork(cluster)
}

/** Counts the requests that began at a leaving server after the bound. */
async function countLateWork (cluster: Cluster): Promise<number> {
  let late = 0
  for (const [id, since] of leavingSince) {
    const server = cluster.servers.find((candidate) => candidate.id === id)
    if (server === undefined) continue
    late += (await readRecords(server)).filter((record) => record.startedAt > since + LEAVING_BOUND_MS).length
  }
  leavingSince.clear()
  return late
}

type ServerRun = RunRecord & { readonly server: string }

function hasOverlap (runs: readonly ServerRun[]): boolean {
  return overlapsOf(runs).length > 0
}

/** Runs of a key that began at one server before the run at another had ended. */
function overlapsOf (runs: readonly ServerRun[]): ServerRun[][] {
  const ordered = [...runs].sort((left, right) => left.startedAt - right.startedAt)
  return ordered.flatMap((run, index) => {
    const next = ordered[index + 1]
    return next !== undefined && next.server !== run.server && next.startedAt < run.endedAt - 1 ? [[run, next]] : []
  })
}
