/** Measures the latency that the router adds to a request, and the latency of a control call, on loopback. */
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { createTRPCClient, httpLink } from '@trpc/client'
import { initTRPC } from '@trpc/server'
import { fastifyTRPCPlugin } from '@trpc/server/adapters/fastify'
import fastify from 'fastify'
import { build as buildHistogram } from 'hdr-histogram-js'
import { Agent, request } from 'undici'
import { startCluster, type Cluster } from './_cluster.ts'

/** Throughput and latency of one kind of call. */
export interface PathResult {
  readonly name: string
  readonly calls: number
  readonly failures: number
  readonly callsPerSecond: number
  readonly p50Ms: number
  readonly p99Ms: number
  /** CPU time of all entry hosts for each call, in milliseconds; absent for calls that involve no host. */
  readonly hostCpuMs?: number
}

const EXAMPLES = fileURLToPath(new URL('../../examples', import.meta.url))
const MEASURED_CALLS = 4000
const WARM_UP_CALLS = 1000
const CONTROL_CALLS = 1500
const agent = new Agent({ connections: 64, pipelining: 1 })

async function measure (name: string, call: (index: number) => Promise<boolean>, options: { readonly calls: number, readonly concurrency: number }): Promise<PathResult> {
  const histogram = buildHistogram()
  let failures = 0
  let index = 0
  const runCalls = async (calls: number, isRecorded: boolean): Promise<void> => {
    const end = index + calls
    await Promise.all(Array.from({ length: options.concurrency }, async () => {
      while (index < end) {
        const startedAt = performance.now()
        const isComplete = await call(index++)
        if (!isRecorded) continue
        if (isComplete) histogram.recordValue(Math.round((performance.now() - startedAt) * 1000))
        else failures++
      }
    }))
  }
  await runCalls(WARM_UP_CALLS, false)
  const startedAt = performance.now()
  await runCalls(options.calls, true)
  const seconds = (performance.now() - startedAt) / 1000
  return {
    name,
    calls: histogram.totalCount,
    failures,
    callsPerSecond: histogram.totalCount / seconds,
    p50Ms: histogram.getValueAtPercentile(50) / 1000,
    p99Ms: histogram.getValueAtPercentile(99) / 1000
  }
}

async function get (url: string): Promise<boolean> {
  const response = await request(url, { dispatcher: agent })
  const text = await response.body.text()
  return response.statusCode === 200 && text.includes('served') === false && text.includes('path')
}

/** Reads the CPU time that the hosts have used so far, in milliseconds. */
async function readHostCpuMs (cluster: Cluster): Promise<number> {
  let total = 0
  for (const host of cluster.hosts) {
    const response = await request(`http://${host.operatorAddress}/metrics`)
    const seconds = /^process_cpu_seconds_total ([0-9.]+)/m.exec(await response.body.text())?.[1]
    total += Number(seconds ?? 0) * 1000
  }
  return total
}

/** Measures calls and the hosts' CPU time for each call; the CPU time includes the warm-up calls. */
async function measureWithHostCpu (cluster: Cluster, name: string, options: { readonly call: (index: number) => Promise<boolean>, readonly concurrency: number }): Promise<PathResult> {
  const before = await readHostCpuMs(cluster)
  const result = await measure(name, options.call, { calls: MEASURED_CALLS, concurrency: options.concurrency })
  return { ...result, hostCpuMs: (await readHostCpuMs(cluster) - before) / (MEASURED_CALLS + WARM_UP_CALLS) }
}

/**
 * Measures requests directly to a stand-in and through the router.
 *
 * @param concurrency Number of concurrent requests.
 * @returns One result for each route.
 */
export async function runPathBench (concurrency: number): Promise<PathResult[]> {
  const cluster = await startCluster({
    zones: 1,
    hostsPerZone: 3,
    firstPort: 20_000,
    services: [{ name: 'catalogue', servers: 6, behaviour: { slots: 64, workMs: 0, checksGrants: true } }, { name: 'direct', servers: 1, behaviour: { slots: 1000, workMs: 0, checksGrants: false } }]
  })
  try {
    await cluster.runCommand('publish', `${EXAMPLES}/leiria`)
    await cluster.waitUntilReady({ catalogue: 320 }, 30_000)
    await delay(1000)
    const direct = cluster.servers.find((server) => server.service === 'direct')
    const [host] = cluster.hosts
    const key = (index: number): string => `key-${index % 200}`
    return [
      await measure(`directly to a server, ${concurrency} at once`, async (index) => await get(`http://${direct?.address}/catalogue/${key(index)}`), { calls: MEASURED_CALLS, concurrency }),
      await measureWithHostCpu(cluster, `through one of three hosts, ${concurrency} at once`, {
        call: async (index) => await get(`http://${host?.callerAddress}/catalogue/${key(index)}`), concurrency
      }),
      await measureWithHostCpu(cluster, `through three hosts in turn, ${concurrency} at once`, {
        call: async (index) => await get(`http://${cluster.hosts[index % 3]?.callerAddress}/catalogue/${key(index)}`), concurrency
      })
    ]
  } finally {
    await cluster.stop()
  }
}

/**
 * Measures a small control call over tRPC and as a plain HTTP request, with client and server in one process.
 *
 * @returns One result for each protocol.
 */
export async function runControlBench (): Promise<PathResult[]> {
  const trpc = initTRPC.create()
  const router = trpc.router({ alive: trpc.procedure.query(() => ({ alive: true })) })
  const app = fastify()
  app.get('/alive', async () => ({ alive: true }))
  await app.register(fastifyTRPCPlugin, { prefix: '/control', trpcOptions: { router } })
  const address = await app.listen({ host: '127.0.0.1', port: 0 })
  const client = createTRPCClient<typeof router>({ links: [httpLink({ url: `${address}/control` })] })
  try {
    return [
      await measure('control call over tRPC', async () => (await client.alive.query()).alive, { calls: CONTROL_CALLS, concurrency: 1 }),
      await measure('control call, bare undici to fastify', async () => {
        const response = await request(`${address}/alive`)
        return (await response.body.json() as { alive: boolean }).alive
      }, { calls: CONTROL_CALLS, concurrency: 1 })
    ]
  } finally {
    await app.close()
  }
}
