/**
 * Demonstration: starts stand-ins and nine entry hosts in three availability
 * zones, publishes the two example deployments, and sends requests to every service.
 * With `--check` the exit code is 0 only if every request got a complete response.
 */
import { randomUUID } from 'node:crypto'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import { startCluster, type Cluster, type ClusterService } from './_cluster.ts'

const EXAMPLES = fileURLToPath(new URL('../../examples', import.meta.url))

/** The services of the two deployments, with the sizes of the users' brief. */
export const DEMO_SERVICES: readonly ClusterService[] = [
  { name: 'catalogue', servers: 20, behaviour: { slots: 6, workMs: 5, checksGrants: true } },
  { name: 'orders', servers: 12, behaviour: { slots: 6, workMs: 12, checksGrants: true } },
  { name: 'scans', servers: 6, behaviour: { slots: 6, workMs: 30, checksGrants: true } },
  { name: 'permits', servers: 16, behaviour: { slots: 4, workMs: 5, checksGrants: false } },
  { name: 'fees', servers: 8, behaviour: { slots: 4, workMs: 12, checksGrants: false } },
  { name: 'photos', servers: 6, behaviour: { slots: 4, workMs: 30, checksGrants: false } }
]

/** Number of slices of each keyed service of the examples. */
export const DEMO_SLICES = { catalogue: 320, permits: 256 } as const

const ROUNDS = 60
const UPLOAD_BYTES = 300_000

interface ServerCounts { service: string, server: string, via: Set<string>, responses: number, failures: number }

async function sendOne (cluster: Cluster, service: string, round: number): Promise<{ host: string, server: string, isComplete: boolean }> {
  const host = cluster.hosts[round % cluster.hosts.length]
  if (host === undefined) throw new Error('The cluster has no host')
  const isUpload = service === 'scans' || service === 'photos'
  const isPost = service === 'orders' || service === 'fees'
  const body = isUpload ? Buffer.alloc(UPLOAD_BYTES, round) : isPost ? JSON.stringify({ round }) : undefined
  const path = `/${service}/${service}-key-${round % 37}`
  try {
    const response = await request(`http://${host.callerAddress}${path}`, {
      method: isUpload ? 'PUT' : isPost ? 'POST' : 'GET',
      body,
      headers: isPost ? { 'idempotency-key': randomUUID(), 'content-type': 'application/json' } : {}
    })
    const content = await response.body.json() as { server?: string, path?: string, received?: number }
    const isComplete = response.statusCode === 200 && content.path === path && content.received === (body?.length ?? 0)
    return { host: host.name, server: content.server ?? 'none', isComplete }
  } catch {
    return { host: host.name, server: 'none', isComplete: false }
  }
}

async function sendRounds (cluster: Cluster): Promise<ServerCounts[]> {
  const served = new Map<string, ServerCounts>()
  const requests: Array<Promise<void>> = []
  for (let round = 0; round < ROUNDS; round++) {
    for (const { name } of DEMO_SERVICES) {
      requests.push(sendOne(cluster, name, round).then((result) => {
        const key = `${name} ${result.server}`
        const entry = served.get(key) ?? { service: name, server: result.server, via: new Set<string>(), responses: 0, failures: 0 }
        entry.via.add(result.host)
        if (result.isComplete) entry.responses++
        else entry.failures++
        served.set(key, entry)
      }))
    }
    await delay(10)
  }
  await Promise.all(requests)
  return [...served.values()].sort((left, right) => `${left.service} ${left.server}` < `${right.service} ${right.server}` ? -1 : 1)
}

function print (served: readonly ServerCounts[]): void {
  console.log('service     server         complete  failures  via hosts')
  for (const entry of served) {
    const via = [...entry.via].map((host) => host.split(':')[1]).sort().join(' ')
    console.log(`${entry.service.padEnd(11)} ${entry.server.padEnd(15)} ${String(entry.responses).padStart(7)} ${String(entry.failures).padStart(9)}  ${via}`)
  }
}

async function main (): Promise<void> {
  const isCheck = process.argv.includes('--check')
  const cluster = await startCluster({
    zones: 3, hostsPerZone: 3, services: DEMO_SERVICES, firstPort: 17_000, logFolder: process.env.DEMO_LOGS
  })
  const stop = async (code: number): Promise<void> => {
    await cluster.stop()
    process.exit(code)
  }
  process.on('SIGINT', () => { stop(130).catch(() => process.exit(1)) })
  process.on('SIGTERM', () => { stop(143).catch(() => process.exit(1)) })
  for (const deployment of ['leiria', 'luzon']) {
    const published = await cluster.runCommand('publish', `${EXAMPLES}/${deployment}`)
    console.log(`publish ${deployment}: ${published.output}`)
  }
  if (!await cluster.waitUntilReady(DEMO_SLICES, 30_000)) {
    console.log('The hosts were not ready within 30 s')
    await stop(1)
  }
  console.log(`${cluster.hosts.length} entry hosts in 3 availability zones are serving`)
  const served = await sendRounds(cluster)
  print(served)
  const failures = served.reduce((sum, entry) => sum + entry.failures, 0)
  const responses = served.reduce((sum, entry) => sum + entry.responses, 0)
  console.log(`${responses} complete responses, ${failures} failures`)
  if (isCheck) await stop(failures === 0 && responses === ROUNDS * DEMO_SERVICES.length ? 0 : 1)
  console.log(`Still running. Try: curl -i http://${cluster.hosts[0]?.callerAddress}/catalogue/ammonite`)
  for (;;) {
    await delay(5000)
    const laterCounts = await sendRounds(cluster)
    const failed = laterCounts.reduce((sum, entry) => sum + entry.failures, 0)
    console.log(`${new Date().toISOString()} ${laterCounts.reduce((sum, entry) => sum + entry.responses, 0)} complete responses, ${failed} failures`)
  }
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await main()
